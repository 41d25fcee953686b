package stoatrill.estimate;

/**
 * An exponentially smoothed average that decays towards a baseline while no sample arrives. Smoothing is by time, so it
 * means the same at any rate of samples. Times are in nanoseconds. Not thread-safe.
 */
public final class DecayingAverage {
    private final double timeConstantNanos;
    private final double weightLimit;
    private double value;
    private long sampledAt;

    /**
     * Creates an average as of time 0.
     *
     * @param initial the initial value
     * @param timeConstantNanos in nanoseconds, positive: the weight of a sample decays by a factor of {@code e} in it
     * @param weightLimit the largest weight of one sample, however long ago the last one was; from 0 to 1
     */
    public DecayingAverage(double initial, double timeConstantNanos, double weightLimit) {
        this.value = initial;
        this.timeConstantNanos = timeConstantNanos;
        this.weightLimit = weightLimit;
    }

    /** Returns the value at a time, which has decayed from the last sample towards {@code baseline}. */
    public double valueAt(long now, double baseline) {
        return baseline + (value - baseline) * Math.exp((sampledAt - now) / timeConstantNanos);
    }

    /**
     * Adds a sample.
     *
     * @param baseline the value towards which the average has decayed since the last sample
     */
    public void addSample(double sample, long now, double baseline) {
        double current = valueAt(now, baseline);
        double weight = Math.min(weightLimit, 1 - Math.exp((sampledAt - now) / timeConstantNanos));
        value = current + weight * (sample - current);
        sampledAt = now;
    }
}
