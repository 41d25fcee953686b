package stoatrill.standins.fleet;

/** Adds up what comes in each second and keeps the most that one second had. Used by one thread. */
public final class PeakSecond {
    private static final long SECOND = 1_000_000_000L;
    private long second = Long.MIN_VALUE;
    private long inSecond;
    private long peak;

    /** Adds {@code amount} at a time, in nanoseconds of a clock that never goes back. */
    public void add(long now, long amount) {
        long at = Math.floorDiv(now, SECOND);
        if (at != second) {
            second = at;
            inSecond = 0;
        }
        inSecond += amount;
        peak = Math.max(peak, inSecond);
    }

    /** The most of any second since the last {@link #reset}. */
    public long peak() {
        return peak;
    }

    /** Begins anew. */
    public void reset() {
        peak = 0;
        inSecond = 0;
    }
}
