package stoatrill.io;

/**
 * For how long calls that fail are made again on one connection: guards against waiting for ever on one that fails in
 * a way nobody has documented. Used by one thread.
 */
final class Repeats {
    /** Longer than any shortage that passes is expected to last, and shorter than most clients wait. */
    private static final long PATIENCE_NANOS = 2_000_000_000L;

    private boolean failing;
    private long since;

    /** A call was made to the end: whatever failed before has passed. */
    void succeeded() {
        failing = false;
    }

    /** A call has failed at that time of the monotonic clock; false if it has been failing for too long. */
    boolean mayRepeat(long now) {
        if (!failing) {
            failing = true;
            since = now;
        }
        return now - since < PATIENCE_NANOS;
    }
}
