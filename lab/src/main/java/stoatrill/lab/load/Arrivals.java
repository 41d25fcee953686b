package stoatrill.lab.load;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * Open-loop arrivals: a Poisson process whose rate swings slowly and jumps, drawn by thinning (Lewis and Shedler,
 * 1979). They don't wait for answers.
 */
public final class Arrivals {

    private record Jump(long from, long to, long ramp, double times) {}

    private final double rate;
    private final double swing;
    private final long period;
    private final long start;
    private final UniformRandomProvider random;
    private final ZigguratSampler.Exponential gaps;
    private final List<Jump> jumps = new ArrayList<>();
    private double most;

    /** {@code rate} a second on average, swinging by a part of itself once a {@code period}. */
    public Arrivals(double rate, double swing, long period, long start, UniformRandomProvider random) {
        this.rate = rate;
        this.swing = swing;
        this.period = period;
        this.start = start;
        this.random = random;
        this.gaps = ZigguratSampler.Exponential.of(random);
        this.most = rate * (1 + swing);
    }

    /** The rate is multiplied between two times; it rises and falls over {@code ramp} on either side. */
    public void jump(long from, long to, long ramp, double times) {
        jumps.add(new Jump(from, to, Math.max(1, ramp), times));
        most *= Math.max(1, times);
    }

    /** The rate at a time, in arrivals a second. */
    public double rate(long at) {
        double now = rate * (1 + swing * Math.sin(2 * Math.PI * (at - start) / period));
        for (Jump j : jumps) {
            double in = Math.min((double) (at - j.from()) / j.ramp(), (double) (j.to() - at) / j.ramp());
            now *= 1 + (j.times() - 1) * Math.max(0, Math.min(1, in));
        }
        return now;
    }

    /** The time of the first arrival after a time. */
    public long next(long after) {
        double at = after;
        do {
            at += gaps.sample() * 1e9 / most;
        } while (random.nextDouble() * most > rate((long) at));
        return Math.max(after + 1, (long) at);
    }
}
