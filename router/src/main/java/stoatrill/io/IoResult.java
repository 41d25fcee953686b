package stoatrill.io;

/**
 * The result of a call on a connection.
 *
 * @param bytes number of bytes transferred; above 0 for progress of a read or write, else 0
 * @param reason the system's message on a failure; empty without one
 */
public record IoResult(Outcome outcome, int bytes, String reason) {
    static final IoResult DONE = new IoResult(Outcome.PROGRESS, 0, "");
    static final IoResult NOTHING_NOW = new IoResult(Outcome.WOULD_BLOCK, 0, "");
    static final IoResult END_OF_STREAM = new IoResult(Outcome.END_OF_STREAM, 0, "");
    static final IoResult INTERRUPTED = new IoResult(Outcome.TEMPORARY_FAILURE, 0, "interrupted");

    static IoResult progress(int bytes) {
        return new IoResult(Outcome.PROGRESS, bytes, "");
    }

    static IoResult failed(Outcome outcome, Throwable cause) {
        return new IoResult(outcome, 0, String.valueOf(cause.getMessage()));
    }
}
