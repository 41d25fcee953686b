package stoatrill.estimate;

/**
 * How much work a request of a class is, compared with the mean of the answers of late. The time that servers take for
 * an answer stands for its work. Times are in nanoseconds. Not thread-safe.
 */
public final class RelativeWork {
    /** Answers of a class over which its time is averaged. */
    private static final int AVERAGED_COUNT = 256;

    private final double timeConstantNanos;
    private final boolean[] isCompared;
    private final double[] classNanos;
    private final long[] classCounts;

    /** The answers and their times, both decayed alike. */
    private double decayedCount;

    private double decayedNanos;
    private long recordedAt;

    /**
     * Creates a comparison without any answer.
     *
     * @param timeConstantNanos positive: the weight of an answer in the mean decays by a factor of {@code e} in it
     * @param isCompared the classes, by index, that are compared; a request of another one counts as one of the mean
     */
    public RelativeWork(double timeConstantNanos, boolean... isCompared) {
        this.timeConstantNanos = timeConstantNanos;
        this.isCompared = isCompared.clone();
        this.classNanos = new double[isCompared.length];
        this.classCounts = new long[isCompared.length];
    }

    /** Records that an answer of a class took so long. */
    public void record(int classIndex, double nanos, long now) {
        if (!isCompared[classIndex]) {
            return;
        }
        double decay = decayedCount == 0 ? 0 : Math.exp((recordedAt - now) / timeConstantNanos);
        decayedCount = decayedCount * decay + 1;
        decayedNanos = decayedNanos * decay + nanos;
        recordedAt = now;
        classCounts[classIndex]++;
        classNanos[classIndex] += (nanos - classNanos[classIndex]) / Math.min(AVERAGED_COUNT, classCounts[classIndex]);
    }

    /**
     * The work of a request of the class as a multiple of the mean, at least 1: the time of a light request is mostly
     * that of the network.
     *
     * @param usualNanos the time assumed for a class of which no answer is recorded
     */
    public double of(int classIndex, double usualNanos) {
        if (!isCompared[classIndex] || decayedNanos == 0) {
            return 1;
        }
        double nanos = classCounts[classIndex] == 0 ? usualNanos : classNanos[classIndex];
        return Math.max(1, nanos * decayedCount / decayedNanos);
    }
}
