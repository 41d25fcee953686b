package stoatrill.net;

/**
 * Counts the memory in bytes that is taken by the input of all clients until it can be read as commands, and decides
 * how much may be kept for one of them. For the event loop's thread alone.
 */
final class InputBudget {
    /** Bytes that may be kept for one client as long as all clients together keep less than the shared limit. */
    private static final long CLIENT_LIMIT_BYTES = 1 << 20;
    /** Total of bytes from which on each client is held to its share; at most about twice as much is ever kept. */
    private static final long SHARED_LIMIT_BYTES = 3 << 20;
    /** Total of bytes from which on the client that keeps most of an incomplete message is ended. */
    private static final long TOTAL_LIMIT_BYTES = 6 << 20;

    /** The least that is read at once, so that many clients with small shares don't cost a system call a message. */
    private static final long LEAST_READ_BYTES = 4096;

    private long totalBytes;

    /** Adds to the memory taken for all clients; negative if some of it has been given up. */
    void add(long bytes) {
        totalBytes += bytes;
    }

    /**
     * Whether more input may be kept for a client. One that nothing is kept for may always be read.
     *
     * @param clientBytes bytes that are kept for this client
     * @param clientCount number of clients
     */
    boolean hasRoom(long clientBytes, int clientCount) {
        return clientBytes == 0 || clientBytes < clientLimit(clientCount);
    }

    /**
     * How many bytes may be read from a client now. A client below its share may be read whatever the others keep.
     *
     * @param clientBytes bytes that are kept for this client
     * @param clientCount number of clients
     * @param isMessageIncomplete whether those bytes are a part of one message, which only its rest can complete
     * @return 0 if the client must wait
     */
    int readableBytes(long clientBytes, int clientCount, boolean isMessageIncomplete) {
        if (hasRoom(clientBytes, clientCount)) {
            return (int) Math.max(LEAST_READ_BYTES, clientLimit(clientCount) - clientBytes);
        }
        return isMessageIncomplete && !isExhausted() ? Integer.MAX_VALUE : 0;
    }

    /** The number of bytes that may be kept for one client now. */
    long clientLimit(int clientCount) {
        return totalBytes < SHARED_LIMIT_BYTES
                ? CLIENT_LIMIT_BYTES
                : Math.min(CLIENT_LIMIT_BYTES, SHARED_LIMIT_BYTES / Math.max(1, clientCount));
    }

    /** Whether so much is kept that no client may be read beyond its share until some of it is handled or given up. */
    boolean isExhausted() {
        return totalBytes >= TOTAL_LIMIT_BYTES;
    }
}
