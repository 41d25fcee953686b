package stoatrill.net;

/**
 * Lets a limited number of log lines of one kind pass in an interval, so that a peer that causes an event over and over
 * does not flood the log. Takes no memory. Not thread-safe.
 */
final class LogThrottle {
    private final int lineLimit;
    private final long intervalNanos;
    private long intervalBeganAt;
    private int lineCount;

    /**
     * Creates a throttle whose first interval begins with the first line.
     *
     * @param lineLimit lines that pass in an interval, at least 1
     * @param intervalNanos length of an interval
     */
    LogThrottle(int lineLimit, long intervalNanos) {
        this.lineLimit = lineLimit;
        this.intervalNanos = intervalNanos;
    }

    /** Whether a line may be written now, in nanoseconds of {@link System#nanoTime}. */
    boolean permits(long now) {
        if (lineCount == 0 || now - intervalBeganAt >= intervalNanos) {
            intervalBeganAt = now;
            lineCount = 0;
        }
        if (lineCount >= lineLimit) {
            return false;
        }
        lineCount++;
        return true;
    }
}
