package stoatrill.lab.scale;

/**
 * One measured figure.
 *
 * @param name what it is; the same at every size, so that it can be fitted over them
 * @param unit its unit
 * @param value the figure itself
 */
public record Figure(String name, String unit, double value) {}
