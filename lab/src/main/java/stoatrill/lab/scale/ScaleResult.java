package stoatrill.lab.scale;

import java.util.List;

/**
 * What one scenario came to at one size.
 *
 * @param scenario what was played
 * @param sizes how large
 * @param figures what was measured, in the order of the report
 */
public record ScaleResult(Scenario scenario, Sizes sizes, List<Figure> figures) {}
