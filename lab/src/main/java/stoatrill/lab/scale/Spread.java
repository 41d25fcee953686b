package stoatrill.lab.scale;

import java.util.List;

/**
 * How times are spread, in seconds.
 *
 * @param median the middle one
 * @param p99 what 99 of 100 are within
 * @param last the longest
 * @param missing how many routers never came to know
 */
record Spread(double median, double p99, double last, long missing) {
    private static final double NANOS = 1e9;

    /** The spread of what lies at or after {@code since}; negative times stand for routers that never knew. */
    static Spread of(List<Long> atNanos, long since) {
        double[] seconds = atNanos.stream()
                .filter(at -> at >= 0)
                .mapToDouble(at -> (at - since) / NANOS)
                .sorted()
                .toArray();
        long missing = (long) atNanos.size() - seconds.length;
        if (seconds.length == 0) {
            return new Spread(Double.NaN, Double.NaN, Double.NaN, missing);
        }
        return new Spread(quantile(seconds, 0.5), quantile(seconds, 0.99), seconds[seconds.length - 1], missing);
    }

    private static double quantile(double[] sorted, double part) {
        int rank = (int) Math.ceil(part * sorted.length);
        return sorted[Math.max(0, rank - 1)];
    }

    /** The spread as figures. */
    List<Figure> figures(String name) {
        return List.of(
                new Figure(name + ", p50", "s", median),
                new Figure(name + ", p99", "s", p99),
                new Figure(name + ", last", "s", last),
                new Figure(name + ", routers that never knew", "routers", (double) missing));
    }
}
