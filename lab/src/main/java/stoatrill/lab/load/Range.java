package stoatrill.lab.load;

import org.apache.commons.rng.UniformRandomProvider;

/** A figure that each day draws anew between two bounds, both in the same unit. */
public record Range(double least, double most) {

    /** Always the same figure. */
    public static Range of(double value) {
        return new Range(value, value);
    }

    /** One draw, evenly between the bounds; exactly one number is taken from the source. */
    public double draw(UniformRandomProvider random) {
        return least + (most - least) * random.nextDouble();
    }

    public double middle() {
        return (least + most) / 2;
    }
}
