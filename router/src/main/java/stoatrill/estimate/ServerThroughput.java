package stoatrill.estimate;

/**
 * The answers a second that this router gets from each server of a set, in the mean over the set. Older answers count
 * less. Time in which the set is empty does not count, so the estimate holds its value until there are servers again.
 * Times are in nanoseconds. Not thread-safe.
 */
public final class ServerThroughput {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double timeConstantNanos;
    private final double leastSpanNanos;

    /** Answers for each server, and the time in which they came, both decayed. */
    private double answersPerServer;

    private double spanNanos;
    private long answerCount;

    /** The time since the last answer, without that in which the set was empty. */
    private long silenceNanos;

    /** When the time was last advanced; before any call, no time has passed. */
    private long advancedAt = Long.MAX_VALUE;

    /**
     * Creates an estimate without any answer, which begins with the first call.
     *
     * @param timeConstantNanos positive: the weight of an answer decays by a factor of {@code e} in it
     * @param leastSpanNanos positive: the span over which answers are averaged at least
     */
    public ServerThroughput(double timeConstantNanos, double leastSpanNanos) {
        this.timeConstantNanos = timeConstantNanos;
        this.leastSpanNanos = leastSpanNanos;
    }

    /** Records an answer of one of {@code serverCount} servers, at least 1. */
    public void recordAnswer(int serverCount, long now) {
        advance(serverCount, now);
        answersPerServer += 1.0 / serverCount;
        answerCount++;
        silenceNanos = 0;
    }

    /** Records that there have been {@code serverCount} servers, 0 or more, since the last call. */
    public void advance(int serverCount, long now) {
        if (serverCount > 0 && advancedAt < now) {
            double decay = Math.exp((advancedAt - now) / timeConstantNanos);
            answersPerServer *= decay;
            spanNanos = spanNanos * decay + timeConstantNanos * (1 - decay);
            silenceNanos += now - advancedAt;
        }
        advancedAt = now;
    }

    /** The answers a second from each server as of the last call; 0 without any answer. */
    public double perSecond() {
        return answersPerServer * NANOS_PER_SECOND / Math.max(spanNanos, leastSpanNanos);
    }

    /** The number of answers ever recorded. */
    public long answerCount() {
        return answerCount;
    }

    /** For how long none of the servers has answered; time in which there are none does not count. */
    public long silenceNanos() {
        return silenceNanos;
    }
}
