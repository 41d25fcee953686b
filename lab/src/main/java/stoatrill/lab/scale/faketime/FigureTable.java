package stoatrill.lab.scale.faketime;

import java.util.ArrayList;
import java.util.List;
import stoatrill.lab.scale.fit.Sample;

/**
 * Figures by size: the first column is the size, each further one a figure.
 *
 * @param name of the file that it is written to
 * @param about what was run, in a sentence
 * @param columns the names of all columns with their units
 * @param rows as many figures as there are columns, each
 */
record FigureTable(String name, String about, List<String> columns, List<List<Double>> rows) {

    /** An empty table. */
    static FigureTable of(String name, String about, String... columns) {
        return new FigureTable(name, about, List.of(columns), new ArrayList<>());
    }

    /** Adds a row; its figures are as many as the columns. */
    void add(double... figures) {
        if (figures.length != columns.size()) {
            throw new IllegalArgumentException(figures.length + " figures for " + columns.size() + " columns");
        }
        List<Double> row = new ArrayList<>();
        for (double figure : figures) {
            row.add(figure);
        }
        rows.add(row);
    }

    /** A column over the first one, without figures that could not be had. */
    List<Sample> samples(String column) {
        int at = place(column);
        return rows.stream()
                .filter(row -> Double.isFinite(row.get(at)))
                .map(row -> new Sample(row.get(0), row.get(at)))
                .toList();
    }

    /** The figure of a column in the row of a size, which must be there. */
    double figure(double size, String column) {
        int at = place(column);
        return rows.stream()
                .filter(row -> row.get(0) == size)
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no row of size " + size))
                .get(at);
    }

    private int place(String column) {
        int at = columns.indexOf(column);
        if (at < 0) {
            throw new IllegalArgumentException("no column \"" + column + "\"");
        }
        return at;
    }
}
