package stoatrill.lab.scale.faketime;

import java.util.List;

/**
 * What the run of one axis came to.
 *
 * @param axis its name
 * @param title a heading
 * @param assumptions what the model takes for granted, a sentence each
 * @param tables the measured figures
 * @param fits their lines, and what they come to at the size to design for
 */
record AxisReport(
        String axis, String title, List<String> assumptions, List<FigureTable> tables, List<FittedFigure> fits) {}
