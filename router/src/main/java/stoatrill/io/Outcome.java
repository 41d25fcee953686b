package stoatrill.io;

/** What a system call came to. Callers switch over it without a default, so that none is forgotten. */
public enum Outcome {
    /** It did what it was asked to, at least in part. */
    PROGRESS,
    /** There is nothing to be had, or no room, at this moment; the selector tells when that changes. */
    NOTHING_NOW,
    /** The peer has ended its sending, after all that it had to say. */
    END_OF_STREAM,
    /** The connection is of no more use: it was reset, or could not be made. */
    BROKEN,
    /** The call failed for a reason that passes (interrupted, no memory, no descriptor): it is to be made again. */
    NO_RESOURCE,
    /** The call can never succeed: what it was made on is closed. */
    FATAL
}
