package stoatrill.lab.run;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.descriptive.DescriptiveStatistics;
import stoatrill.lab.policy.Policy;
import stoatrill.lab.world.Audit;

/** The figures of an experiment by policy and seed, always in the same order. */
public final class Results {

    /** One day: its figures, its course by the second, its nodes' load and the breaks of rules that were kept. */
    @SuppressWarnings("ArrayRecordComponent") // series for tables and plots; never compared
    public record Day(
            Policy policy,
            long seed,
            Map<Metric, Double> figures,
            double[] asked,
            double[] earned,
            double[][] nodeLoad,
            Map<String, double[]> quantiles,
            List<Audit.Breach> breaches) {}

    private final List<Day> days = new ArrayList<>();

    void add(Day day) {
        days.add(day);
    }

    public List<Day> days() {
        return days;
    }

    /** The policies that were played. */
    public List<Policy> policies() {
        return days.stream().map(Day::policy).distinct().toList();
    }

    public List<Double> of(Policy policy, Metric metric) {
        return days.stream()
                .filter(d -> d.policy() == policy)
                .map(d -> d.figures().get(metric))
                .toList();
    }

    public double mean(Policy policy, Metric metric) {
        return of(policy, metric).stream()
                .mapToDouble(Double::doubleValue)
                .average()
                .orElse(Double.NaN);
    }

    /** Half the width of the 95 % confidence interval of a mean, by Student's t; 0 for a single value. */
    public static double halfWidth(List<Double> values) {
        if (values.size() < 2) {
            return 0;
        }
        DescriptiveStatistics s = new DescriptiveStatistics();
        values.forEach(s::addValue);
        return new TDistribution(values.size() - 1).inverseCumulativeProbability(0.975)
                * s.getStandardDeviation()
                / Math.sqrt(values.size());
    }

    /** Holds a claim against these figures. */
    public Claim.Verdict check(Claim claim) {
        return claim.check(this);
    }

    /** The same, with a policy's days standing in for another's as well. */
    public Results as(Policy played, Policy named) {
        Results both = new Results();
        for (Day d : days) {
            if (d.policy() == played) {
                both.add(new Day(
                        named,
                        d.seed(),
                        d.figures(),
                        d.asked(),
                        d.earned(),
                        d.nodeLoad(),
                        d.quantiles(),
                        d.breaches()));
            }
        }
        days.forEach(both::add);
        return both;
    }

    static Map<Metric, Double> figures(stoatrill.lab.world.World world) {
        Map<Metric, Double> figures = new EnumMap<>(Metric.class);
        for (Metric m : Metric.values()) {
            figures.put(m, m.of(world));
        }
        return figures;
    }

    /** A figure with as many digits as say something, the same everywhere. */
    static String number(double value) {
        String text = String.format(Locale.ROOT, "%.4f", value);
        return text.contains(".") ? text.replaceAll("0+$", "").replaceAll("\\.$", "") : text;
    }
}
