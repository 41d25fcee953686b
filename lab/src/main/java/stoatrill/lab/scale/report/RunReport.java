package stoatrill.lab.scale.report;

import java.io.IOException;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;
import stoatrill.lab.scale.Figure;
import stoatrill.lab.scale.ScaleResult;
import stoatrill.lab.scale.Sizes;

/** One run's figures as {@code SCENARIO.csv} and {@code SCENARIO.md}. */
public final class RunReport {
    private RunReport() {}

    /** Writes both files into a folder, which is made if need be. */
    public static void write(Path folder, ScaleResult result) throws IOException {
        Files.createDirectories(folder);
        String name = result.scenario().word();
        Files.writeString(folder.resolve(name + ".csv"), csv(result), StandardCharsets.UTF_8);
        Files.writeString(folder.resolve(name + ".md"), markdown(result), StandardCharsets.UTF_8);
    }

    private static String csv(ScaleResult result) throws IOException {
        StringWriter text = new StringWriter();
        try (CSVPrinter csv = new CSVPrinter(
                text, CSVFormat.DEFAULT.builder().setRecordSeparator("\n").get())) {
            csv.printRecord("scenario", "routers", "servers", "figure", "unit", "value");
            for (Figure figure : result.figures()) {
                csv.printRecord(
                        result.scenario().word(),
                        result.sizes().routers(),
                        result.sizes().servers(),
                        figure.name(),
                        figure.unit(),
                        number(figure.value()));
            }
        }
        return text.toString();
    }

    private static String markdown(ScaleResult result) {
        StringBuilder page = new StringBuilder();
        page.append("# ").append(result.scenario().title()).append("\n\n");
        page.append(sizes(result.sizes())).append("\n\n| figure | unit | value |\n| --- | --- | --- |\n");
        for (Figure figure : result.figures()) {
            page.append("| ").append(figure.name());
            page.append(" | ").append(figure.unit());
            page.append(" | ").append(number(figure.value())).append(" |\n");
        }
        return page.toString();
    }

    /** The sizes of a run in a sentence. */
    static String sizes(Sizes sizes) {
        return String.format(
                Locale.ROOT,
                "%d hollow and %d real routers, %d servers in %d groups over %d zones, %d hollow routers a process, "
                        + "seed %d.",
                sizes.routers(),
                sizes.realRouters(),
                sizes.servers(),
                sizes.groups(),
                sizes.zones(),
                sizes.perProcess(),
                sizes.seed());
    }

    /** A figure with four significant digits, and whole numbers from 1,000 on. */
    public static String number(double value) {
        if (!Double.isFinite(value)) {
            return "-";
        }
        if (value == Math.rint(value) || Math.abs(value) >= 1_000) {
            return String.format(Locale.ROOT, "%.0f", value);
        }
        return String.format(Locale.ROOT, "%.4g", value);
    }
}
