package stoatrill.lab.scale.faketime;

import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;
import stoatrill.lab.scale.fit.SlopeFit;

/** Writes a report as Markdown, and each of its tables and its fits as CSV. The same report gives the same bytes. */
final class ReportFiles {
    private static final CSVFormat CSV =
            CSVFormat.DEFAULT.builder().setRecordSeparator('\n').get();
    private static final double SHOWN_WHOLE = 1_000;
    private static final List<String> FIT_COLUMNS = List.of(
            "table",
            "figure",
            "intercept",
            "slope",
            "r2",
            "largest residual",
            "exponent",
            "growth",
            "largest size",
            "wanted size",
            "extrapolated by",
            "at wanted size",
            "how",
            "bound",
            "times bound");

    private ReportFiles() {}

    /** Writes {@code AXIS.md}, {@code AXIS-fits.csv} and a CSV file for each table. */
    static void write(Path folder, AxisReport report, long seed) throws IOException {
        Files.createDirectories(folder);
        Files.writeString(folder.resolve(report.axis() + ".md"), markdown(report, seed), StandardCharsets.UTF_8);
        for (FigureTable table : report.tables()) {
            csv(
                    folder.resolve(table.name() + ".csv"),
                    table.columns(),
                    table.rows().stream().map(ReportFiles::cells).toList());
        }
        csv(
                folder.resolve(report.axis() + "-fits.csv"),
                FIT_COLUMNS,
                report.fits().stream().map(ReportFiles::cells).toList());
    }

    /** The report as a page. */
    static String markdown(AxisReport report, long seed) {
        StringBuilder page = new StringBuilder("# " + report.title() + "\n\n");
        page.append("Run: `bin/stoatrill lab scale-model ")
                .append(report.axis())
                .append(" --seed ")
                .append(seed)
                .append("`, on simulated time; the same seed gives the same bytes.\n\n");
        report.assumptions().forEach(line -> page.append("- ").append(line).append('\n'));
        for (FigureTable table : report.tables()) {
            page.append("\n## ").append(table.name()).append("\n\n");
            page.append(table.about()).append("\n\n");
            rows(
                    page,
                    table.columns(),
                    table.rows().stream().map(ReportFiles::cells).toList());
        }
        page.append("\n## Fits\n\n");
        rows(page, FIT_COLUMNS, report.fits().stream().map(ReportFiles::cells).toList());
        return page.toString();
    }

    private static void rows(StringBuilder page, List<String> columns, List<List<String>> rows) {
        row(page, columns);
        row(page, columns.stream().map(column -> "---").toList());
        rows.forEach(cells -> row(page, cells));
    }

    private static void row(StringBuilder page, List<String> cells) {
        page.append("| ").append(String.join(" | ", cells)).append(" |\n");
    }

    private static void csv(Path file, List<String> columns, List<List<String>> rows) throws IOException {
        try (BufferedWriter out = Files.newBufferedWriter(file, StandardCharsets.UTF_8);
                CSVPrinter printer = new CSVPrinter(out, CSV)) {
            printer.printRecord(columns);
            printer.printRecords(rows);
        }
    }

    private static List<String> cells(List<Double> row) {
        return row.stream().map(ReportFiles::number).toList();
    }

    private static List<String> cells(FittedFigure figure) {
        SlopeFit fit = figure.fit();
        return List.of(
                figure.table(),
                figure.figure(),
                number(fit.intercept()),
                number(fit.slope()),
                number(fit.rSquared()),
                number(fit.largestRelativeResidual()),
                number(fit.exponent()),
                fit.growth().name().toLowerCase(Locale.ROOT),
                number(fit.largestSize()),
                number(figure.designSize()),
                number(Math.max(1, fit.extrapolation(figure.designSize()))),
                number(figure.atDesign()),
                figure.measured() ? "measured" : "by the line",
                number(figure.bound()),
                number(figure.timesBound()));
    }

    private static String number(double value) {
        if (!Double.isFinite(value)) {
            return "-";
        }
        if (value == Math.rint(value) || Math.abs(value) >= SHOWN_WHOLE) {
            return String.format(Locale.ROOT, "%.0f", value);
        }
        return String.format(Locale.ROOT, Math.abs(value) >= 1 ? "%.2f" : "%.4f", value);
    }
}
