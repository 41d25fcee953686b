package stoatrill.core;

/**
 * Converts between the wall clock, in which peers state times, and the module's monotonic clock. No other class does.
 * The module's clock starts at the wall clock's value and afterwards follows only the monotonic source.
 */
public final class Clocks {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private final long monotonicOffset;
    private long aheadOfWallNanos;

    /** Both readings are in nanoseconds and taken at the same time. */
    public Clocks(long wall, long monotonic) {
        this.monotonicOffset = wall - monotonic;
    }

    /** The module's time for a reading of the monotonic source. */
    public long toModuleTime(long monotonic) {
        return monotonicOffset + monotonic;
    }

    /**
     * Updates the offset between the clocks from a new pair of readings, because the wall clock may step or drift.
     * Returns by how much the wall clock has advanced more than the monotonic one since the last pair.
     */
    public long resync(long wall, long monotonic) {
        long previousAhead = aheadOfWallNanos;
        aheadOfWallNanos = toModuleTime(monotonic) - wall;
        return previousAhead - aheadOfWallNanos;
    }

    /** The module's time for Unix milliseconds. */
    public long fromWallMillis(long millis) {
        return millis * NANOS_PER_MILLI + aheadOfWallNanos;
    }

    /** The module's time for Unix seconds, rounded down: a position is a lower bound. */
    public long fromWallSeconds(double seconds) {
        long wholeSeconds = (long) Math.floor(seconds);
        return wholeSeconds * 1_000_000_000L
                + (long) Math.floor(Math.nextDown(seconds - wholeSeconds) * 1e9)
                + aheadOfWallNanos;
    }
}
