package stoatrill.contract;

import java.math.BigInteger;

/**
 * A token bucket on integers (Turner, "New directions in communications", 1986) with a rate and a burst. In any span it
 * admits at most the burst plus the rate times the span, and stays exact over years. Times are in nanoseconds and must
 * not go back. Not thread-safe.
 */
final class RateBucket {
    private static final long NANOS_PER_DAY = 86_400_000_000_000L;

    /** The cost of one request. The cost, gain, capacity and level are integers in the same smallest unit. */
    private final long requestCost;

    /** What each nanosecond adds. */
    private final long gainPerNano;

    private final long capacity;
    private long level;
    private long filledAt;

    /**
     * Creates a full bucket. {@code perDay} and {@code burst} are at least 1.
     *
     * @throws ArithmeticException if they can't be counted exactly together
     */
    RateBucket(long perDay, long burst, long now) {
        long divisor = BigInteger.valueOf(NANOS_PER_DAY)
                .gcd(BigInteger.valueOf(perDay))
                .longValue();
        requestCost = NANOS_PER_DAY / divisor;
        gainPerNano = perDay / divisor;
        capacity = Math.multiplyExact(requestCost, burst);
        level = capacity;
        filledAt = now;
    }

    /** Whether this rate and burst can be counted exactly together. */
    static boolean canCountExactly(long perDay, long burst) {
        long divisor = BigInteger.valueOf(NANOS_PER_DAY)
                .gcd(BigInteger.valueOf(perDay))
                .longValue();
        return burst <= Long.MAX_VALUE / 2 / (NANOS_PER_DAY / divisor);
    }

    private void refill(long now) {
        long elapsed = Math.max(0, now - filledAt);
        long missing = capacity - level;
        // Avoids an overflow of the product: after that time the bucket is full in any case.
        level = elapsed >= missing / gainPerNano + 1 ? capacity : level + elapsed * gainPerNano;
        filledAt = Math.max(filledAt, now);
    }

    /** Whether there is room for a request now. Takes nothing. */
    boolean hasRoom(long now) {
        refill(now);
        return level >= requestCost;
    }

    /** Takes one request. If {@link #hasRoom} was false for the same time, the bucket goes into debt. */
    void take() {
        level = Math.max(Long.MIN_VALUE / 2, level - requestCost);
    }

    /** Refunds one request that was refused elsewhere or never ran. */
    void refund() {
        level = Math.min(capacity, level + requestCost);
    }

    /** Returns the first time at which there is room for a request if none is taken until then. */
    long readyAt(long now) {
        refill(now);
        return level >= requestCost ? now : now + (requestCost - level + gainPerNano - 1) / gainPerNano;
    }

    /** Carries over the spending of a previous bucket, so that a reload keeps it. A smaller bucket is at most empty. */
    void carryOver(RateBucket previous, long now) {
        previous.refill(now);
        refill(now);
        long spent = (previous.capacity - previous.level) / previous.requestCost;
        level = spent >= capacity / requestCost ? 0 : capacity - spent * requestCost;
    }
}
