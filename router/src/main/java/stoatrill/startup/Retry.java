package stoatrill.startup;

import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;

/** Does again for a bounded time what fails for a moment, with pauses that double. */
public final class Retry {
    private static final long FIRST_PAUSE_NANOS = 5_000_000L;
    private static final long LONGEST_PAUSE_NANOS = 200_000_000L;

    private Retry() {}

    /** Something that may fail. */
    public interface Attempt<T, E extends Exception> {
        /** Does it once. */
        T run() throws E;
    }

    /**
     * Does it until it succeeds, for so long at most.
     *
     * @param nanos how long to go on, by the monotonic clock
     * @param passes whether a failure is one that may pass
     * @return what the attempt that succeeded gave
     * @throws E the last failure, once the time is over, or one that does not pass
     */
    public static <T, E extends Exception> T within(
            long nanos, java.util.function.Predicate<? super Exception> passes, Attempt<T, E> attempt) throws E {
        return within(nanos, passes, attempt, System::nanoTime);
    }

    static <T, E extends Exception> T within(
            long nanos,
            java.util.function.Predicate<? super Exception> passes,
            Attempt<T, E> attempt,
            LongSupplier clock)
            throws E {
        long began = clock.getAsLong();
        long pause = FIRST_PAUSE_NANOS;
        while (true) {
            try {
                return attempt.run();
            } catch (Exception e) {
                if (!passes.test(e) || clock.getAsLong() - began >= nanos) {
                    throw e;
                }
            }
            LockSupport.parkNanos(pause);
            pause = Math.min(LONGEST_PAUSE_NANOS, 2 * pause);
        }
    }
}
