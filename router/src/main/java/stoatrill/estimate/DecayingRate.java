package stoatrill.estimate;

/**
 * A rate of events, smoothed exponentially over time. An event counts fully when it occurs and its weight decays by a
 * factor of {@code e} per time constant, so the estimate means the same at any rate. Not thread-safe.
 */
public final class DecayingRate {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double timeConstantNanos;
    private double ratePerSecond;
    private long lastEventAt;

    /**
     * Creates a rate of zero.
     *
     * @param timeConstantNanos in nanoseconds, positive
     */
    public DecayingRate(double timeConstantNanos) {
        this.timeConstantNanos = timeConstantNanos;
    }

    /** Records one event at a time in nanoseconds, which is not before that of the last event. */
    public void recordEvent(long now) {
        ratePerSecond = perSecond(now) + NANOS_PER_SECOND / timeConstantNanos;
        lastEventAt = now;
    }

    /** Returns the events a second as of a time in nanoseconds. */
    public double perSecond(long now) {
        return ratePerSecond * Math.exp((lastEventAt - now) / timeConstantNanos);
    }
}
