package stoatrill.lab.run;

import com.google.gson.GsonBuilder;
import java.io.IOException;
import java.io.StringWriter;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.internal.chartpart.Chart;
import org.knowm.xchart.style.markers.SeriesMarkers;
import stoatrill.lab.policy.Policy;

/** Tables, plots and one page that holds them all; the same results give the same bytes. */
public final class Report {
    private Report() {}

    /** Writes {@code days.csv}, {@code summary.json} and {@code report.html} into a folder. */
    public static void write(Path folder, Experiment e, Results results, List<Claim.Verdict> verdicts)
            throws IOException {
        Files.createDirectories(folder);
        text(folder.resolve("days.csv"), days(results));
        text(folder.resolve("summary.json"), summary(e, results, verdicts));
        text(folder.resolve("report.html"), page(e, results, verdicts));
    }

    private static void text(Path file, String text) throws IOException {
        try (Writer w = Files.newBufferedWriter(file, StandardCharsets.UTF_8)) {
            w.write(text);
        }
    }

    /** One line a day, as {@code compare} reads it too. */
    public static String days(Results results) throws IOException {
        StringWriter text = new StringWriter();
        try (CSVPrinter csv = new CSVPrinter(
                text, CSVFormat.DEFAULT.builder().setRecordSeparator("\n").get())) {
            List<String> head = new ArrayList<>(List.of("policy", "seed"));
            for (Metric m : Metric.values()) {
                head.add(m.word());
            }
            csv.printRecord(head);
            for (Results.Day d : results.days()) {
                List<String> row = new ArrayList<>(List.of(Claim.word(d.policy()), Long.toString(d.seed())));
                d.figures().values().forEach(v -> row.add(String.format(Locale.ROOT, "%.6f", v)));
                csv.printRecord(row);
            }
        }
        return text.toString();
    }

    private static String summary(Experiment e, Results results, List<Claim.Verdict> verdicts) {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("experiment", e.name());
        List<Object> claims = new ArrayList<>();
        for (Claim.Verdict v : verdicts) {
            Map<String, Object> claim = new LinkedHashMap<>();
            claim.put("claim", v.claim().toString());
            claim.put("holds", v.held());
            claim.put("figure", v.figure());
            claim.put("against", v.against());
            claims.add(claim);
        }
        all.put("claims", claims);
        Map<String, Object> policies = new LinkedHashMap<>();
        for (Policy p : results.policies()) {
            Map<String, Object> figures = new LinkedHashMap<>();
            for (Metric m : Metric.values()) {
                figures.put(m.word(), List.of(results.mean(p, m), Results.halfWidth(results.of(p, m))));
            }
            policies.put(Claim.word(p), figures);
        }
        all.put("mean and half width of 95 %", policies);
        return new GsonBuilder()
                        .setPrettyPrinting()
                        .disableHtmlEscaping()
                        .serializeSpecialFloatingPointValues()
                        .create()
                        .toJson(all)
                + "\n";
    }

    // ---- The page ----

    private static String page(Experiment e, Results results, List<Claim.Verdict> verdicts) throws IOException {
        StringBuilder h = new StringBuilder("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>")
                .append(escape(e.name()))
                .append("</title><style>body{font-family:sans-serif;max-width:62em;margin:2em auto}"
                        + "table{border-collapse:collapse}td,th{border:1px solid #ccc;"
                        + "padding:.2em .6em;text-align:right}"
                        + "td:first-child{text-align:left}.no{color:#b00020;font-weight:bold}"
                        + "</style></head><body>\n<h1>")
                .append(escape(e.name()))
                .append("</h1>\n<p>")
                .append(escape(e.about()))
                .append("</p>\n");
        h.append("<h2>Claims</h2>\n<table><tr><th>claim</th><th>holds</th><th>figure</th><th>against</th></tr>\n");
        for (Claim.Verdict v : verdicts) {
            h.append("<tr><td>")
                    .append(escape(v.claim().toString()))
                    .append(v.held() ? "</td><td>yes" : "</td><td class=\"no\">no")
                    .append("</td><td>")
                    .append(Results.number(v.figure()))
                    .append("</td><td>")
                    .append(Results.number(v.against()))
                    .append("</td></tr>\n");
        }
        h.append("</table>\n<h2>Means over the seeds, and half the width of their 95 % interval</h2>\n"
                + "<table><tr><th></th>");
        results.policies().forEach(p -> h.append("<th>").append(Claim.word(p)).append("</th>"));
        h.append("</tr>\n");
        for (Metric m : Metric.values()) {
            h.append("<tr><td>").append(m.word()).append("</td>");
            for (Policy p : results.policies()) {
                h.append("<td>")
                        .append(Results.number(results.mean(p, m)))
                        .append(" ± ")
                        .append(Results.number(Results.halfWidth(results.of(p, m))))
                        .append("</td>");
            }
            h.append("</tr>\n");
        }
        h.append("</table>\n");
        picture(h, "Worth served over time, mean of the seeds", served(results));
        Results.Day first = results.days().get(0);
        picture(h, "Time to an answer by class, first seed of " + Claim.word(first.policy()), latency(first));
        picture(h, "Load per node, first seed of " + Claim.word(first.policy()), load(first));
        picture(h, "Refusals and failures by cause, share of tries", causes(results));
        return h.append("</body></html>\n").toString();
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }

    private static void picture(StringBuilder h, String title, Chart<?, ?> chart) throws IOException {
        byte[] png = BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG);
        h.append("<h2>")
                .append(escape(title))
                .append("</h2>\n<img alt=\"")
                .append(escape(title))
                .append("\" src=\"data:image/png;base64,")
                .append(Base64.getEncoder().encodeToString(png))
                .append("\">\n");
    }

    private static XYChart plot(String x, String y) {
        XYChart chart = new XYChartBuilder()
                .width(900)
                .height(360)
                .xAxisTitle(x)
                .yAxisTitle(y)
                .build();
        chart.getStyler().setMarkerSize(4);
        return chart;
    }

    private static void line(XYChart chart, String name, double[] x, double[] y) {
        if (x.length > 0) {
            chart.addSeries(name, x, y).setMarker(SeriesMarkers.NONE);
        }
    }

    private static double[] count(int n) {
        double[] x = new double[n];
        for (int i = 0; i < n; i++) {
            x[i] = i;
        }
        return x;
    }

    private static XYChart served(Results results) {
        XYChart chart = plot("second of the day", "worth served / asked");
        for (Policy p : results.policies()) {
            List<Results.Day> days =
                    results.days().stream().filter(d -> d.policy() == p).toList();
            int seconds = days.get(0).asked().length - 1;
            double[] y = new double[seconds];
            for (int s = 0; s < seconds; s++) {
                double asked = 0;
                double earned = 0;
                for (Results.Day d : days) {
                    asked += d.asked()[s];
                    earned += d.earned()[s];
                }
                y[s] = asked == 0 ? 1 : earned / asked;
            }
            line(chart, Claim.word(p), count(seconds), y);
        }
        return chart;
    }

    private static XYChart latency(Results.Day day) {
        XYChart chart = plot("quantile, per cent", "ms");
        day.quantiles().forEach((kind, values) -> chart.addSeries(kind, Runner.quantiles(), values));
        return chart;
    }

    private static XYChart load(Results.Day day) {
        XYChart chart = plot("second of the day", "part of capacity");
        int nodes = day.nodeLoad()[0] == null ? 0 : day.nodeLoad()[0].length;
        int seconds = 0;
        while (seconds < day.nodeLoad().length && day.nodeLoad()[seconds] != null) {
            seconds++;
        }
        boolean few = nodes <= 12;
        for (int n = 0; n < (few ? nodes : 3); n++) {
            double[] y = new double[seconds];
            for (int s = 0; s < seconds; s++) {
                double[] sorted = day.nodeLoad()[s].clone();
                if (!few) {
                    java.util.Arrays.sort(sorted);
                }
                y[s] = sorted[few ? n : n * (nodes - 1) / 2];
            }
            line(chart, few ? "n" + n : List.of("least", "median", "most").get(n), count(seconds), y);
        }
        return chart;
    }

    private static CategoryChart causes(Results results) {
        CategoryChart chart = new CategoryChartBuilder()
                .width(900)
                .height(360)
                .yAxisTitle("share of tries")
                .build();
        List<Metric> causes = List.of(
                Metric.REFUSED_AT_ONCE, Metric.REFUSED_LATER, Metric.FAILED, Metric.ROUTER_DOWN, Metric.ROUTER_LOST);
        for (Policy p : results.policies()) {
            chart.addSeries(
                    Claim.word(p),
                    causes.stream().map(Metric::word).toList(),
                    causes.stream().map(m -> results.mean(p, m)).toList());
        }
        return chart;
    }

    /** Draws a sweep: a line for each policy, with its confidence interval, over the values in their order. */
    public static void sweep(
            Path folder, String key, List<String> values, Metric metric, Map<String, List<double[]>> lines)
            throws IOException {
        XYChart chart = plot(key + ": " + String.join(", ", values), metric.word());
        lines.forEach((name, points) -> chart.addSeries(
                name,
                points.stream().mapToDouble(p -> p[0]).toArray(),
                points.stream().mapToDouble(p -> p[1]).toArray(),
                points.stream().mapToDouble(p -> p[2]).toArray()));
        Files.write(folder.resolve("sweep.png"), BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG));
    }

    /** Writes the table and the plot of speeds; these are the machine's and differ from run to run. */
    public static void speeds(Path folder, List<Runner.Speed> all) throws IOException {
        Files.createDirectories(folder);
        StringBuilder csv = new StringBuilder("routers,nodes,groups,requests,cpu_s,requests_per_s,heap_bytes\n");
        for (Runner.Speed s : all) {
            csv.append(String.format(
                    Locale.ROOT,
                    "%d,%d,%d,%d,%.3f,%.0f,%d%n",
                    s.routers(),
                    s.nodes(),
                    s.groups(),
                    s.requests(),
                    s.cpu(),
                    s.requests() / s.cpu(),
                    s.heap()));
        }
        text(folder.resolve("speed.csv"), csv.toString());
        XYChart chart = plot("routers", "simulated requests per second of a core");
        chart.addSeries(
                "speed",
                all.stream().mapToDouble(Runner.Speed::routers).toArray(),
                all.stream().mapToDouble(s -> s.requests() / s.cpu()).toArray());
        Files.write(folder.resolve("speed.png"), BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG));
    }
}
