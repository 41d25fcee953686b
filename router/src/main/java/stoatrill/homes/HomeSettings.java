package stoatrill.homes;

/**
 * The number of homes that a group has in a zone, and the bound on uneven load.
 *
 * @param homesPerGroup the number of homes of a group, 1 to {@value #MAX_HOMES_PER_GROUP}
 * @param loadFactor the most groups that a router may be home to, as a multiple of the mean, 1 to
 *     {@value #MAX_LOAD_FACTOR}; at 1 loads are as even as whole numbers allow, above 1 fewer groups move when a router
 *     leaves or joins
 */
public record HomeSettings(int homesPerGroup, double loadFactor) {
    /** The largest number of homes of a group. */
    public static final int MAX_HOMES_PER_GROUP = 1_024;
    /** The largest load factor. */
    public static final double MAX_LOAD_FACTOR = 1_024;
    /** Two homes per group and a load factor of 1.25. */
    public static final HomeSettings DEFAULT = new HomeSettings(2, 1.25);

    /**
     * Checks the settings.
     *
     * @throws InvalidHomesException if one is out of its range
     */
    public HomeSettings {
        if (homesPerGroup < 1 || homesPerGroup > MAX_HOMES_PER_GROUP) {
            throw new InvalidHomesException(
                    InvalidHomesException.Problem.HOMES_PER_GROUP,
                    "homes per group are " + homesPerGroup + ", not 1 to " + MAX_HOMES_PER_GROUP);
        }
        if (!(loadFactor >= 1 && loadFactor <= MAX_LOAD_FACTOR)) {
            throw new InvalidHomesException(
                    InvalidHomesException.Problem.LOAD_FACTOR,
                    "the load factor is " + loadFactor + ", not 1 to " + MAX_LOAD_FACTOR);
        }
    }
}
