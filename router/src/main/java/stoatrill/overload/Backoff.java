package stoatrill.overload;

import java.util.SplittableRandom;

/**
 * Exponential backoff with jitter. The interval is measured from call to call, so the wait after a long call is
 * shorter. The jitter factor of 0.5 to 1.5 keeps callers apart that failed at the same time. Times are in nanoseconds.
 * Not thread-safe.
 */
public final class Backoff {
    /** The wait doubles with each further failure, up to this number of times. */
    private static final int DOUBLINGS_LIMIT = 2;

    private static final double MIN_JITTER_FACTOR = 0.5;

    /** The largest factor by which a wait may exceed its mean. */
    public static final double MAX_JITTER_FACTOR = 1.5;

    private final long firstWait;
    private final double longestInterval;
    private int failureCount;

    /**
     * Creates a backoff without failures.
     *
     * @param firstWait the mean wait after the first failure, positive
     * @param longestInterval the mean time from call to call after further failures; at least {@code firstWait} is used
     */
    public Backoff(long firstWait, double longestInterval) {
        this.firstWait = firstWait;
        this.longestInterval = Math.max((double) firstWait, longestInterval);
    }

    /** Resets the backoff after a successful call or a change of the callee: the next failure counts as the first. */
    public void reset() {
        failureCount = 0;
    }

    /** Returns how long to wait after a failed call that began {@code sinceCall} ago. */
    public long nextWait(long sinceCall, SplittableRandom random) {
        double jitter = MIN_JITTER_FACTOR + random.nextDouble();
        int doublings = Math.min(failureCount++, DOUBLINGS_LIMIT);
        double interval = Math.min((double) (firstWait << doublings), longestInterval);
        return (long) (Math.max((double) firstWait, interval - sinceCall / jitter) * jitter);
    }
}
