package stoatrill.lab.scale.footprint;

import java.io.IOException;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;
import stoatrill.lab.scale.fit.SlopeFit;

/** Writes a table as CSV (runs, and fits) and as Markdown (both). */
public final class TableWriter {
    private TableWriter() {}

    /** Writes {@code NAME.csv}, {@code NAME-fits.csv} and {@code NAME.md} into a folder. */
    public static void write(Table table, Path folder) throws IOException {
        Files.createDirectories(folder);
        Files.writeString(folder.resolve(table.name() + ".csv"), csv(runs(table)));
        Files.writeString(folder.resolve(table.name() + "-fits.csv"), csv(fits(table)));
        Files.writeString(folder.resolve(table.name() + ".md"), markdown(table));
    }

    /** The runs, a column each, and the fits. */
    public static String markdown(Table table) {
        return "# By " + table.sizeLabel() + "\n\n" + table.setting() + "\n\n" + markdown(transposed(runs(table)))
                + "\nA line through each, by least squares. The residual is the largest distance of a run from the"
                + " line, relative to the run's figure; the exponent is that of the power law that fits best.\n\n"
                + markdown(fits(table));
    }

    private static List<List<String>> runs(Table table) {
        List<List<String>> lines = new ArrayList<>();
        List<String> head = new ArrayList<>(List.of(table.sizeLabel()));
        table.figures().forEach(figure -> head.add(label(figure)));
        lines.add(head);
        for (Row row : table.rows()) {
            List<String> line = new ArrayList<>(List.of(number(row.size())));
            for (Figure figure : table.figures()) {
                Double value = row.figures().get(figure);
                line.add(value == null ? "" : number(value));
            }
            lines.add(line);
        }
        return lines;
    }

    private static List<List<String>> fits(Table table) {
        List<List<String>> lines = new ArrayList<>();
        String atDesign = "line at " + table.designSize();
        lines.add(List.of("figure", "intercept", "slope", "residual", "exponent", "growth", atDesign, "extrapolated"));
        for (Map.Entry<Figure, SlopeFit> entry : table.fits().entrySet()) {
            SlopeFit fit = entry.getValue();
            lines.add(List.of(
                    label(entry.getKey()),
                    number(fit.intercept()),
                    number(fit.slope()),
                    number(fit.largestRelativeResidual()),
                    number(fit.exponent()),
                    fit.growth().name().toLowerCase(Locale.ROOT),
                    number(fit.at(table.designSize())),
                    number(Math.max(1, fit.extrapolation(table.designSize()))) + " times"));
        }
        return lines;
    }

    private static String label(Figure figure) {
        return figure.unit().isEmpty() ? figure.label() : figure.label() + " [" + figure.unit() + "]";
    }

    /** Four digits, and all before the point. */
    static String number(double value) {
        if (value == Math.rint(value) || Math.abs(value) >= 1000) {
            return String.format(Locale.ROOT, "%.0f", value);
        }
        return String.format(Locale.ROOT, "%.4g", value);
    }

    private static String csv(List<List<String>> lines) throws IOException {
        StringWriter text = new StringWriter();
        CSVFormat format = CSVFormat.DEFAULT.builder().setRecordSeparator("\n").get();
        try (CSVPrinter printer = new CSVPrinter(text, format)) {
            printer.printRecords(lines);
        }
        return text.toString();
    }

    private static List<List<String>> transposed(List<List<String>> lines) {
        List<List<String>> columns = new ArrayList<>();
        for (int i = 0; i < lines.get(0).size(); i++) {
            int column = i;
            columns.add(lines.stream().map(line -> line.get(column)).toList());
        }
        return columns;
    }

    private static String markdown(List<List<String>> lines) {
        String rule = "|" + " --- |".repeat(lines.get(0).size()) + "\n";
        String head = line(lines.get(0));
        return head + rule + lines.stream().skip(1).map(TableWriter::line).collect(Collectors.joining());
    }

    private static String line(List<String> cells) {
        return "| " + String.join(" | ", cells) + " |\n";
    }
}
