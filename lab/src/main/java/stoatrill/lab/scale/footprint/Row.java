package stoatrill.lab.scale.footprint;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * The figures of one run.
 *
 * @param size what the axis varies, above 0
 * @param figures what was measured, in the order of {@link Figure}
 */
public record Row(double size, Map<Figure, Double> figures) {

    /** Keeps a copy in the figures' order. */
    public Row {
        figures = Collections.unmodifiableMap(new TreeMap<>(figures));
    }
}
