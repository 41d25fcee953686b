package stoatrill.lab.scale.fit;

import java.util.List;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * A line through a figure over sizes by least squares, and the exponent of the power law that fits it best.
 * Immutable and safe for use by several threads.
 *
 * @param intercept the line's figure at size 0
 * @param slope the line's change of the figure for each one more of the size
 * @param rSquared the line's coefficient of determination, 0 to 1; 1 if the figure is the same at all sizes
 * @param largestRelativeResidual the largest |measured - line| / |measured|; figures of 0 are left out
 * @param exponent the slope of ln(figure) over ln(size): 1 in proportion, 0 constant, 2 with the square; NaN
 *     unless all figures are above 0
 * @param largestSize the largest size that was measured
 * @param growth what the figure does as the size grows
 */
public record SlopeFit(
        double intercept,
        double slope,
        double rSquared,
        double largestRelativeResidual,
        double exponent,
        double largestSize,
        Growth growth) {

    private static final double FLAT_SHARE = 0.1;
    private static final double PROPORTIONAL_FROM = 0.9;
    private static final double PROPORTIONAL_TO = 1.1;

    /**
     * Fits the samples, which may come in any order.
     *
     * @param samples at least two, at two or more different sizes
     * @return the fit
     * @throws IllegalArgumentException if there are fewer than two different sizes
     */
    public static SlopeFit of(List<Sample> samples) {
        if (samples.stream().mapToDouble(Sample::size).distinct().count() < 2) {
            throw new IllegalArgumentException("a fit needs two different sizes at least");
        }
        SimpleRegression line = new SimpleRegression();
        samples.forEach(sample -> line.addData(sample.size(), sample.figure()));
        double exponent = exponentOf(samples);
        double rSquared = line.getTotalSumSquares() > 0 ? line.getRSquare() : 1;
        return new SlopeFit(
                line.getIntercept(),
                line.getSlope(),
                rSquared,
                largestRelativeResidual(samples, line),
                exponent,
                samples.stream().mapToDouble(Sample::size).max().orElseThrow(),
                growthOf(samples, line, exponent));
    }

    /**
     * Returns the line's figure at a size.
     *
     * @param size a size; above {@link #largestSize()} the result is extrapolated
     * @return the figure that the line gives there
     */
    public double at(double size) {
        return intercept + slope * size;
    }

    /**
     * Returns how far a size lies beyond what was measured.
     *
     * @param size the size that a figure is wanted for
     * @return size / largest size measured; above 1 it is extrapolated by that factor
     */
    public double extrapolation(double size) {
        return size / largestSize;
    }

    private static double exponentOf(List<Sample> samples) {
        if (samples.stream().anyMatch(sample -> sample.figure() <= 0)) {
            return Double.NaN;
        }
        SimpleRegression power = new SimpleRegression();
        samples.forEach(sample -> power.addData(Math.log(sample.size()), Math.log(sample.figure())));
        return power.getSlope();
    }

    private static double largestRelativeResidual(List<Sample> samples, SimpleRegression line) {
        return samples.stream()
                .filter(sample -> sample.figure() != 0)
                .mapToDouble(sample -> Math.abs((sample.figure() - line.predict(sample.size())) / sample.figure()))
                .max()
                .orElse(0);
    }

    private static Growth growthOf(List<Sample> samples, SimpleRegression line, double exponent) {
        double smallest = samples.stream().mapToDouble(Sample::size).min().orElseThrow();
        double largest = samples.stream().mapToDouble(Sample::size).max().orElseThrow();
        double mean = samples.stream()
                .mapToDouble(sample -> Math.abs(sample.figure()))
                .average()
                .orElseThrow();
        double change = line.getSlope() * (largest - smallest);
        if (Math.abs(change) <= FLAT_SHARE * mean) {
            return Growth.FLAT;
        }
        if (change < 0) {
            return Growth.FALLING;
        }
        if (exponent > PROPORTIONAL_TO) {
            return Growth.SUPERLINEAR;
        }
        return exponent < PROPORTIONAL_FROM ? Growth.SUBLINEAR : Growth.LINEAR;
    }
}
