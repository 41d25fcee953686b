package stoatrill.core;

/**
 * The one place where the wall clock, in which peers state times, meets the module's monotonic clock. The
 * module's clock starts at the wall clock's value and from then on follows the monotonic source alone.
 */
public final class Clocks {
    private static final long MILLI = 1_000_000L;
    private final long origin;
    private long ahead;

    /** Both readings are in nanoseconds and were taken together. */
    public Clocks(long wall, long monotonic) {
        this.origin = wall - monotonic;
    }

    /** The module's time for a reading of the monotonic source. */
    public long now(long monotonic) {
        return origin + monotonic;
    }

    /**
     * Takes a new pair of readings; guards against a wall clock that is stepped or drifts. Returns by how much the wall
     * clock has gone ahead of the monotonic one since the last pair.
     */
    public long compare(long wall, long monotonic) {
        long before = ahead;
        ahead = now(monotonic) - wall;
        return before - ahead;
    }

    /** The module's time for Unix milliseconds. */
    public long fromWallMillis(long millis) {
        return millis * MILLI + ahead;
    }

    /** The module's time for Unix seconds, rounded down: a position is a lower bound. */
    public long fromWallSeconds(double seconds) {
        long whole = (long) Math.floor(seconds);
        return whole * 1_000_000_000L + (long) Math.floor(Math.nextDown(seconds - whole) * 1e9) + ahead;
    }
}
