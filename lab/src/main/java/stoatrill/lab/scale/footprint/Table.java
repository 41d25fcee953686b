package stoatrill.lab.scale.footprint;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import stoatrill.lab.scale.fit.Sample;
import stoatrill.lab.scale.fit.SlopeFit;

/**
 * The runs along one axis.
 *
 * @param name of the files that it is written to
 * @param sizeLabel what the axis varies, in words
 * @param setting what was the same in all runs, in a sentence
 * @param designSize the size that the lines are read at
 * @param rows one a run, in the order they were made
 */
public record Table(String name, String sizeLabel, String setting, int designSize, List<Row> rows) {

    /** Keeps a copy of the rows. */
    public Table {
        rows = List.copyOf(rows);
    }

    /** The figures that some run has, in their order. */
    public List<Figure> figures() {
        return List.of(Figure.values()).stream()
                .filter(figure -> rows.stream().anyMatch(row -> row.figures().containsKey(figure)))
                .toList();
    }

    /** A line through each fitted figure that was measured at two sizes or more. */
    public Map<Figure, SlopeFit> fits() {
        Map<Figure, SlopeFit> fits = new TreeMap<>();
        for (Figure figure : figures()) {
            List<Sample> samples = samples(figure);
            if (figure.fitted() && samples.stream().map(Sample::size).distinct().count() > 1) {
                fits.put(figure, SlopeFit.of(samples));
            }
        }
        return fits;
    }

    private List<Sample> samples(Figure figure) {
        return rows.stream()
                .filter(row -> row.figures().containsKey(figure))
                .map(row -> new Sample(row.size(), row.figures().get(figure)))
                .toList();
    }
}
