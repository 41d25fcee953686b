package stoatrill.lab.run;

import java.util.List;
import java.util.Locale;
import stoatrill.lab.policy.Policy;
import stoatrill.settings.BlockReader;
import stoatrill.settings.Directive;
import stoatrill.settings.Quantity;
import stoatrill.settings.Word;

/**
 * What an experiment claims: a figure of one policy against a bound, or against a figure of another, by a margin.
 * Means over the seeds are held against each other; {@code is} must hold on every seed.
 */
public record Claim(
        Metric metric, Policy policy, Relation relation, double bound, Metric other, Policy than, double margin) {
    private static final String FORM =
            "claim METRIC POLICY above|below|is NUMBER, or claim METRIC POLICY above|below METRIC POLICY [by NUMBER]";

    /** How the two sides are held against each other. */
    public enum Relation {
        ABOVE,
        BELOW,
        IS
    }

    /** Whether it held, and the figures that say so. */
    public record Verdict(Claim claim, boolean held, double figure, double against) {}

    static Claim read(BlockReader in, Directive d) {
        List<Word> w = in.checkedWords(d, 4, 7, FORM);
        if (w == null) {
            return null;
        }
        Metric metric = in.enumValue(w.get(0), Metric.class, Metric.SCORE);
        Policy policy = in.enumValue(w.get(1), Policy.class, Policy.DECIDE);
        Relation relation = in.enumValue(w.get(2), Relation.class, Relation.ABOVE);
        if (w.size() == 4) {
            return new Claim(metric, policy, relation, number(in, w.get(3)), null, null, 0);
        }
        if (w.size() == 6
                || relation == Relation.IS
                || (w.size() == 7 && !w.get(5).text().equals("by"))) {
            in.addProblem(d.position(), "this claim can't be read; write: " + FORM);
            return null;
        }
        return new Claim(
                metric,
                policy,
                relation,
                0,
                in.enumValue(w.get(3), Metric.class, Metric.SCORE),
                in.enumValue(w.get(4), Policy.class, Policy.DECIDE),
                w.size() == 7 ? number(in, w.get(6)) : 0);
    }

    private static double number(BlockReader in, Word w) {
        return in.quantity(w, Quantity.NUMBER, -1_000_000_000_000L, 1_000_000_000_000L, 0) / 1e3;
    }

    Verdict check(Results results) {
        double figure = results.mean(policy, metric);
        double against = other == null ? bound : results.mean(than, other);
        boolean held =
                switch (relation) {
                    case ABOVE -> figure > against + margin;
                    case BELOW -> figure < against - margin;
                    case IS -> results.of(policy, metric).stream().allMatch(v -> v == bound);
                };
        return new Verdict(this, held, figure, against);
    }

    @Override
    public String toString() {
        return metric.word() + " " + word(policy) + " " + relation.name().toLowerCase(Locale.ROOT) + " "
                + (other == null
                        ? Results.number(bound)
                        : other.word() + " " + word(than) + (margin == 0 ? "" : " by " + Results.number(margin)));
    }

    static String word(Policy policy) {
        return policy.name().toLowerCase(Locale.ROOT);
    }
}
