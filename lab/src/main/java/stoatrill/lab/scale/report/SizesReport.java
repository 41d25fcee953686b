package stoatrill.lab.scale.report;

import java.io.IOException;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import stoatrill.lab.scale.Figure;
import stoatrill.lab.scale.ScaleResult;
import stoatrill.lab.scale.fit.Sample;
import stoatrill.lab.scale.fit.SlopeFit;

/**
 * A scenario's figures over the sizes of an axis, with a fit of each: {@code SCENARIO-by-AXIS.csv}, its {@code
 * -fits.csv}, a page with both as {@code .md}, and plots of times and costs as {@code .png}.
 */
public final class SizesReport {
    private static final int WIDTH = 760;
    private static final int HEIGHT = 420;

    private final Axis axis;
    private final List<ScaleResult> results;
    private final Map<String, String> units = new LinkedHashMap<>();
    private final Map<String, List<Sample>> samples = new LinkedHashMap<>();

    /** A report of runs of one scenario, at two sizes or more. */
    public SizesReport(Axis axis, List<ScaleResult> results) {
        this.axis = axis;
        this.results = List.copyOf(results);
        for (ScaleResult result : results) {
            for (Figure figure : result.figures()) {
                units.put(figure.name(), figure.unit());
                if (Double.isFinite(figure.value())) {
                    samples.computeIfAbsent(figure.name(), name -> new ArrayList<>())
                            .add(new Sample(axis.of(result.sizes()), figure.value()));
                }
            }
        }
    }

    /** Writes all files into a folder, which is made if need be. */
    public void write(Path folder) throws IOException {
        Files.createDirectories(folder);
        String name = results.get(0).scenario().word() + "-by-" + axis.word();
        text(folder.resolve(name + ".csv"), figures());
        text(folder.resolve(name + "-fits.csv"), fits());
        text(folder.resolve(name + ".md"), page(name));
        plot(folder.resolve(name + "-times.png"), "s", figure -> "s".equals(units.get(figure)));
        plot(folder.resolve(name + "-costs.png"), "B/s, 1/s, % of a core", SizesReport::isCost);
    }

    private static boolean isCost(String figure) {
        return figure.endsWith("router: control bytes in")
                || figure.endsWith("router: list calls")
                || figure.endsWith("router: processor, whole process")
                || figure.endsWith("discovery: bytes out")
                || figure.endsWith("discovery: processor");
    }

    private static void text(Path file, String text) throws IOException {
        Files.writeString(file, text, StandardCharsets.UTF_8);
    }

    private static CSVPrinter printer(StringWriter text) throws IOException {
        return new CSVPrinter(
                text, CSVFormat.DEFAULT.builder().setRecordSeparator("\n").get());
    }

    private String figures() throws IOException {
        StringWriter text = new StringWriter();
        try (CSVPrinter csv = printer(text)) {
            csv.printRecord(axis.word(), "figure", "unit", "value");
            for (ScaleResult result : results) {
                for (Figure figure : result.figures()) {
                    csv.printRecord(
                            axis.of(result.sizes()), figure.name(), figure.unit(), RunReport.number(figure.value()));
                }
            }
        }
        return text.toString();
    }

    private String fits() throws IOException {
        StringWriter text = new StringWriter();
        try (CSVPrinter csv = printer(text)) {
            csv.printRecord(
                    "figure",
                    "unit",
                    "intercept",
                    "slope",
                    "r_squared",
                    "largest_relative_residual",
                    "exponent",
                    "growth",
                    "largest_size");
            for (Map.Entry<String, List<Sample>> entry : samples.entrySet()) {
                if (entry.getValue().size() >= 2) {
                    SlopeFit fit = SlopeFit.of(entry.getValue());
                    csv.printRecord(
                            entry.getKey(),
                            units.get(entry.getKey()),
                            RunReport.number(fit.intercept()),
                            RunReport.number(fit.slope()),
                            RunReport.number(fit.rSquared()),
                            RunReport.number(fit.largestRelativeResidual()),
                            RunReport.number(fit.exponent()),
                            fit.growth().name().toLowerCase(Locale.ROOT),
                            RunReport.number(fit.largestSize()));
                }
            }
        }
        return text.toString();
    }

    private String page(String name) {
        StringBuilder page = new StringBuilder();
        page.append("# ").append(results.get(0).scenario().title()).append(", by ");
        page.append(axis.word()).append("\n\nThe largest run: ");
        page.append(RunReport.sizes(results.get(results.size() - 1).sizes()));
        page.append("\n\n![times](").append(name).append("-times.png)\n![costs](");
        page.append(name).append("-costs.png)\n\n| figure | unit |");
        results.forEach(
                result -> page.append(' ').append(axis.of(result.sizes())).append(" |"));
        page.append(" intercept | slope | R^2 | worst residual | exponent | growth |\n|");
        page.append(" --- |".repeat(results.size() + 8)).append('\n');
        units.keySet().forEach(figure -> row(page, figure));
        return page.toString();
    }

    private void row(StringBuilder page, String figure) {
        List<Sample> measured = samples.getOrDefault(figure, List.of());
        page.append("| ").append(figure).append(" | ").append(units.get(figure)).append(" |");
        for (ScaleResult result : results) {
            String value = measured.stream()
                    .filter(sample -> sample.size() == axis.of(result.sizes()))
                    .map(sample -> RunReport.number(sample.figure()))
                    .findFirst()
                    .orElse("-");
            page.append(' ').append(value).append(" |");
        }
        if (measured.size() < 2) {
            page.append(" - | - | - | - | - | - |\n");
            return;
        }
        SlopeFit fit = SlopeFit.of(measured);
        page.append(' ').append(RunReport.number(fit.intercept()));
        page.append(" | ").append(RunReport.number(fit.slope()));
        page.append(" | ").append(RunReport.number(fit.rSquared()));
        page.append(" | ").append(RunReport.number(fit.largestRelativeResidual()));
        page.append(" | ").append(RunReport.number(fit.exponent()));
        page.append(" | ").append(fit.growth().name().toLowerCase(Locale.ROOT)).append(" |\n");
    }

    private interface Choice {
        boolean takes(String figure);
    }

    private void plot(Path file, String unit, Choice choice) throws IOException {
        XYChart chart = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .xAxisTitle(axis.word())
                .yAxisTitle(unit)
                .build();
        chart.getStyler().setMarkerSize(4);
        chart.getStyler().setXAxisLogarithmic(true);
        chart.getStyler().setYAxisLogarithmic(true);
        samples.forEach((figure, measured) -> {
            boolean drawable = measured.stream().allMatch(sample -> sample.figure() > 0);
            if (choice.takes(figure) && drawable && !figure.equals("measured for")) {
                chart.addSeries(
                        figure,
                        measured.stream().mapToDouble(Sample::size).toArray(),
                        measured.stream().mapToDouble(Sample::figure).toArray());
            }
        });
        if (!chart.getSeriesMap().isEmpty()) {
            Files.write(file, BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG));
        }
    }
}
