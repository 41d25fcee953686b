package stoatrill.core;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Converts between the wall clock, in which peers state times, and the module's monotonic clock. No other class does.
 * The module's clock starts at the wall clock's value and afterwards follows only the monotonic source. Not
 * thread-safe.
 */
public final class Clocks {
    /** A change of the difference between the clocks, in nanoseconds, from which on it counts as a step. */
    public static final long STEP_NANOS = 50_000_000L;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** The steps whose difference before them is kept. */
    private static final int KEPT_STEPS_COUNT = 16;

    private final long monotonicOffset;
    private long aheadOfWallNanos;

    /** The differences before the last steps of the wall clock: the peers' clocks may not have been stepped. */
    private final Deque<Long> formerAheadOfWallNanos = new ArrayDeque<>();

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
        long stepNanos = previousAhead - aheadOfWallNanos;
        if (Math.abs(stepNanos) > STEP_NANOS) {
            keepFormer(previousAhead);
        }
        return stepNanos;
    }

    private void keepFormer(long aheadNanos) {
        if (formerAheadOfWallNanos.size() == KEPT_STEPS_COUNT) {
            formerAheadOfWallNanos.removeFirst();
        }
        formerAheadOfWallNanos.addLast(aheadNanos);
    }

    /** The module's time for Unix milliseconds. */
    public long fromWallMillis(long millis) {
        return millis * NANOS_PER_MILLI + aheadOfWallNanos;
    }

    /**
     * The module's time for a peer's start, stated in Unix milliseconds; {@code now} at most. After a step of the wall
     * clock it is not known whether the peer's clock was stepped too. Of the times that both cases give, it is the
     * latest that is not in the future, since a server must not count as warm too early.
     */
    public long startFromWallMillis(long millis, long now) {
        long latest = Long.MIN_VALUE;
        for (long aheadNanos : formerAheadOfWallNanos) {
            latest = laterStart(latest, millis * NANOS_PER_MILLI + aheadNanos, now);
        }
        latest = laterStart(latest, fromWallMillis(millis), now);
        return latest == Long.MIN_VALUE ? now : Math.min(now, latest);
    }

    private static long laterStart(long latest, long candidate, long now) {
        return candidate <= now + STEP_NANOS ? Math.max(latest, candidate) : latest;
    }

    /** The module's time for Unix seconds, rounded down: a position is a lower bound. */
    public long fromWallSeconds(double seconds) {
        long wholeSeconds = (long) Math.floor(seconds);
        return wholeSeconds * 1_000_000_000L
                + (long) Math.floor(Math.nextDown(seconds - wholeSeconds) * 1e9)
                + aheadOfWallNanos;
    }
}
