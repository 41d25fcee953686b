package stoatrill.io;

/** The outcome of a system call. Callers switch over it without a default, so that every case is handled. */
public enum Outcome {
    /** The call succeeded, at least in part. */
    PROGRESS,
    /** The call would block: there is no data or no room at the moment; the selector reports when that changes. */
    WOULD_BLOCK,
    /** The peer has shut down its sending side after all its data. */
    END_OF_STREAM,
    /** The connection can no longer be used: it was reset, or could not be established. */
    BROKEN,
    /** The call failed temporarily (interrupted, no memory, no descriptor) and is to be retried. */
    TEMPORARY_FAILURE,
    /** The call can never succeed: the channel is closed, or the file is missing or unusable. */
    PERMANENT_FAILURE
}
