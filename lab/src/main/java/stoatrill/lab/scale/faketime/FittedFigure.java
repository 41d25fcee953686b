package stoatrill.lab.scale.faketime;

import stoatrill.lab.scale.fit.SlopeFit;

/**
 * A figure with its line over the sizes that were run.
 *
 * @param table where its samples stand
 * @param figure the column's name
 * @param fit the line
 * @param designSize the size that the figure is wanted for
 * @param atDesign the figure there: as measured if that size was run, else as the line gives it
 * @param measured whether that size was run
 * @param bound what the figure is held to; NaN if nothing
 */
record FittedFigure(
        String table, String figure, SlopeFit fit, double designSize, double atDesign, boolean measured, double bound) {

    /** A figure that no bound is given for. */
    static FittedFigure of(FigureTable table, String column, double designSize) {
        return of(table, column, designSize, Double.NaN);
    }

    /** A figure of a table, for a size, against a bound. */
    static FittedFigure of(FigureTable table, String column, double designSize, double bound) {
        SlopeFit fit = SlopeFit.of(table.samples(column));
        boolean measured = table.rows().stream().anyMatch(row -> row.get(0) == designSize);
        double atDesign = measured ? table.figure(designSize, column) : fit.at(designSize);
        return new FittedFigure(table.name(), column, fit, designSize, atDesign, measured, bound);
    }

    /** How many times its bound the figure is; NaN without a bound. */
    double timesBound() {
        return atDesign / bound;
    }
}
