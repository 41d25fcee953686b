package stoatrill.net;

/**
 * Counts the bytes of answers that clients have not read yet, over all clients. This bounds the memory taken by clients
 * that send requests and don't read the answers: past a limit, a client with more than its share unread gets no further
 * values. For the event loop's thread alone.
 */
final class UnreadAnswers {
    /** Total of bytes from which on each client is held to its share; at most about twice as much is ever kept. */
    private static final long SHARED_LIMIT_BYTES = 12L << 20;

    private long totalBytes;

    /** Adds to the unread bytes of all clients; negative if a client has read some. */
    void add(long bytes) {
        totalBytes += bytes;
    }

    /**
     * Whether a value may be kept for a client. One with nothing unread always gets it, since it reads its answers.
     *
     * @param unreadBytes bytes that this client already has unread
     * @param valueBytes size of the value
     * @param clientCount number of clients
     */
    boolean hasRoom(long unreadBytes, long valueBytes, int clientCount) {
        return unreadBytes == 0
                || totalBytes + valueBytes <= SHARED_LIMIT_BYTES
                || unreadBytes + valueBytes <= SHARED_LIMIT_BYTES / Math.max(1, clientCount);
    }
}
