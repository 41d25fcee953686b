package stoatrill.io;

/**
 * Bounds the time for which failing calls on one connection are retried, so that a connection whose calls fail in an
 * undocumented way does not wait forever. Not thread-safe.
 */
final class RetryWindow {
    /** Longer than a temporary shortage is expected to last, and shorter than most clients wait. */
    private static final long RETRY_WINDOW_NANOS = 2_000_000_000L;

    private boolean isFailing;
    private long firstFailureAt;

    /** Records a successful call, which ends a series of failures. */
    void recordSuccess() {
        isFailing = false;
    }

    /** Records a failed call at a time of the monotonic clock; returns false if calls have failed for too long. */
    boolean mayRetry(long now) {
        if (!isFailing) {
            isFailing = true;
            firstFailureAt = now;
        }
        return now - firstFailureAt < RETRY_WINDOW_NANOS;
    }
}
