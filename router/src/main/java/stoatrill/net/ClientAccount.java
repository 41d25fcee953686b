package stoatrill.net;

/**
 * What one client takes: the input that is kept for it, the answers that it has not read, and its part of the event
 * loop's turns. The bytes count in the totals of all clients until {@link #close}. Not thread-safe.
 */
final class ClientAccount {
    private final InputBudget inputBudget;
    private final UnreadAnswers unreadAnswers;
    private final TurnAccount turn = new TurnAccount();
    private int unparsedBytes;
    /** Memory that the unparsed bytes take, as counted in {@link #inputBudget}. */
    private int inputBufferBytes;
    /** As counted in {@link #unreadAnswers}. */
    private long unreadBytes;

    /** Opens an account of a client without input or answers; the totals are those of all clients. */
    ClientAccount(InputBudget inputBudget, UnreadAnswers unreadAnswers) {
        this.inputBudget = inputBudget;
        this.unreadAnswers = unreadAnswers;
    }

    /**
     * Brings the account up to date.
     *
     * @param unparsed received bytes that have not been read as a command yet
     * @param inputBuffer memory that these bytes take
     * @param unread bytes of answers that the client has not read, or that wait for answers before them
     */
    void update(int unparsed, int inputBuffer, long unread) {
        inputBudget.add(inputBuffer - inputBufferBytes);
        unreadAnswers.add(unread - unreadBytes);
        unparsedBytes = unparsed;
        inputBufferBytes = inputBuffer;
        unreadBytes = unread;
    }

    /** Takes the client's bytes out of the totals. */
    void close() {
        update(0, 0, 0);
    }

    /** Received bytes that have not been read as a command yet. */
    int unparsedBytes() {
        return unparsedBytes;
    }

    /** Bytes of answers that the client has not read, or that wait for answers before them. */
    long unreadBytes() {
        return unreadBytes;
    }

    /** Whether further input may be kept for the client. */
    boolean hasInputRoom(int clientCount) {
        return inputBudget.hasRoom(unparsedBytes, clientCount);
    }

    /** How many bytes may be read from the client now; see {@link InputBudget#readableBytes}. */
    int readableBytes(int clientCount, boolean isMessageIncomplete) {
        return inputBudget.readableBytes(unparsedBytes, clientCount, isMessageIncomplete);
    }

    /** What the client may cost of the event loop's turns. */
    TurnAccount turn() {
        return turn;
    }
}
