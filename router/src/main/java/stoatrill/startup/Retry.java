package stoatrill.startup;

import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;

/** Retries a transient failure for a bounded time, with exponential backoff. */
public final class Retry {
    private static final long INITIAL_PAUSE_NANOS = 5_000_000L;
    private static final long MAX_PAUSE_NANOS = 200_000_000L;

    private Retry() {}

    /** An operation that may fail. */
    public interface Operation<T, E extends Exception> {
        /** Performs the operation once. */
        T run() throws E;
    }

    /**
     * Repeats an operation until it succeeds or the time limit has passed.
     *
     * @param limitNanos the time after which no failure is retried, by the monotonic clock
     * @param isTransient whether a failure may be transient and is worth a retry
     * @return the result of the run that succeeded
     * @throws E the last failure after the time limit, or a failure that is not transient
     */
    public static <T, E extends Exception> T within(
            long limitNanos, java.util.function.Predicate<? super Exception> isTransient, Operation<T, E> operation)
            throws E {
        return within(limitNanos, isTransient, operation, System::nanoTime);
    }

    static <T, E extends Exception> T within(
            long limitNanos,
            java.util.function.Predicate<? super Exception> isTransient,
            Operation<T, E> operation,
            LongSupplier clock)
            throws E {
        long startedAt = clock.getAsLong();
        long pauseNanos = INITIAL_PAUSE_NANOS;
        while (true) {
            try {
                return operation.run();
            } catch (Exception e) {
                if (!isTransient.test(e) || clock.getAsLong() - startedAt >= limitNanos) {
                    throw e;
                }
            }
            LockSupport.parkNanos(pauseNanos);
            pauseNanos = Math.min(MAX_PAUSE_NANOS, 2 * pauseNanos);
        }
    }
}
