package stoatrill.lab.scale.fit;

/** How a figure grows with a size, told from its fits. */
public enum Growth {
    /** The line's change over all sizes is under a tenth of the mean figure. */
    FLAT,
    /** Falls as the size grows. */
    FALLING,
    /** Grows more slowly than in proportion: by a fixed part beside the slope, or by an exponent under 1. */
    SUBLINEAR,
    /** Grows in proportion to the size. */
    LINEAR,
    /** Grows faster than the size. */
    SUPERLINEAR
}
