package stoatrill.lab.scale.fit;

/**
 * One measured figure at one size.
 *
 * @param size how many of what is varied, above 0
 * @param figure what was measured there, in the figure's own unit
 */
public record Sample(double size, double figure) {

    /** Checks that the size is above 0 and both are finite. */
    public Sample {
        if (!(size > 0) || Double.isInfinite(size)) {
            throw new IllegalArgumentException("size must be above 0 and finite: " + size);
        }
        if (!Double.isFinite(figure)) {
            throw new IllegalArgumentException("figure must be finite: " + figure);
        }
    }
}
