package stoatrill.lab.cli;

import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVRecord;
import org.apache.commons.math3.stat.inference.TTest;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import stoatrill.cli.Commands;
import stoatrill.lab.run.Metric;
import stoatrill.lab.run.Results;

/** Plays the same days with two builds, or with two settings, and says whether the difference is beyond chance. */
@Command(
        name = "compare",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class,
        description = "Pairs two builds' jars, or two settings, over the same seeds.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:done, whatever the difference",
            "1:a side failed",
            "2:wrong usage, or a file that can't be used"
        })
final class Compare implements Callable<Integer> {
    private static final double SURE = 0.05;

    @Parameters(
            index = "0",
            paramLabel = "A",
            description = "a router's jar, or KEY=VALUE, or - for this build as it is")
    private String a;

    @Parameters(index = "1", paramLabel = "B", description = "the other one")
    private String b;

    @Option(
            names = "--on",
            paramLabel = "NAME",
            defaultValue = "baseline",
            description = "the experiment (default: baseline)")
    private String name;

    @Option(names = "--seed", defaultValue = "1", paramLabel = "N", description = "the first seed (default: 1)")
    private long seed;

    @Option(names = "--seeds", defaultValue = "20", paramLabel = "K", description = "how many pairs (default: 20)")
    private int seeds;

    @Option(names = "--metric", defaultValue = "SCORE", paramLabel = "M", description = "the figure (default: score)")
    private Metric metric;

    @Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        if (seeds < 2) {
            throw new CommandLine.ParameterException(spec.commandLine(), "--seeds is 2 at least: pairs are compared");
        }
        Map<Long, Double> ofA = play(a);
        Map<Long, Double> ofB = play(b);
        double[] left = ofA.values().stream().mapToDouble(Double::doubleValue).toArray();
        double[] right = ofB.values().stream().mapToDouble(Double::doubleValue).toArray();
        List<Double> difference = new ArrayList<>();
        ofA.forEach((s, v) -> difference.add(ofB.get(s) - v));
        double mean =
                difference.stream().mapToDouble(Double::doubleValue).average().orElse(0);
        boolean same = difference.stream().allMatch(d -> d == 0);
        double p = same ? 1 : new TTest().pairedTTest(left, right);
        PrintWriter to = spec.commandLine().getOut();
        to.println(String.format(Locale.ROOT, "A %s: %s %.4f", a, metric.word(), mean(left)));
        to.println(String.format(Locale.ROOT, "B %s: %s %.4f", b, metric.word(), mean(right)));
        to.println(String.format(
                Locale.ROOT,
                "B - A: %+.4f ± %.4f over %d pairs, p = %.4f: %s",
                mean,
                Results.halfWidth(difference),
                difference.size(),
                p,
                p < SURE ? (mean > 0 ? "B is ahead" : "A is ahead") : "not beyond chance"));
        return 0;
    }

    private static double mean(double[] values) {
        return java.util.Arrays.stream(values).average().orElse(Double.NaN);
    }

    /** Plays one side in a process of its own, so that another build's classes stand before this one's. */
    private Map<Long, Double> play(String side) throws IOException, InterruptedException {
        Path folder = java.nio.file.Files.createTempDirectory("stoatrill-compare");
        try {
            List<String> command = new ArrayList<>();
            command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
            String path = jars();
            boolean jar = side.endsWith(".jar") || java.nio.file.Files.isDirectory(Path.of(side));
            if (jar && !java.nio.file.Files.exists(Path.of(side))) {
                throw new IOException(side + ": there is no such jar; build it first");
            }
            command.addAll(List.of(
                    "-cp",
                    jar ? side + File.pathSeparator + path : path,
                    "stoatrill.lab.LabMain",
                    "lab",
                    "run",
                    Files.find(name).toAbsolutePath().toString(),
                    "--seed",
                    Long.toString(seed),
                    "--seeds",
                    Integer.toString(seeds),
                    "--policies",
                    "decide",
                    "--out",
                    folder.toString()));
            if (!jar && !side.equals("-")) {
                command.addAll(List.of("--set", side));
            }
            Process p = new ProcessBuilder(command).redirectErrorStream(true).start();
            String said = new String(p.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            if (p.waitFor() != 0) {
                throw new IOException("playing " + side + " failed: "
                        + said.strip().lines().findFirst().orElse("?"));
            }
            Map<Long, Double> figures = new LinkedHashMap<>();
            String csv = java.nio.file.Files.readString(folder.resolve("days.csv"), StandardCharsets.UTF_8);
            for (CSVRecord r : CSVFormat.DEFAULT
                    .builder()
                    .setHeader()
                    .setSkipHeaderRecord(true)
                    .get()
                    .parse(new StringReader(csv))) {
                figures.put(Long.parseLong(r.get("seed")), Double.parseDouble(r.get(metric.word())));
            }
            return figures;
        } finally {
            for (String file : List.of("days.csv", "summary.json", "report.html")) {
                java.nio.file.Files.deleteIfExists(folder.resolve(file));
            }
            java.nio.file.Files.deleteIfExists(folder);
        }
    }

    /** This build's class path with the jars that a jar's manifest names, since another jar is to stand first. */
    private static String jars() {
        String path = System.getProperty("java.class.path");
        Path lib = Path.of(path.split(File.pathSeparator, 0)[0]).resolveSibling("lib");
        return java.nio.file.Files.isDirectory(lib) ? path + File.pathSeparator + lib.resolve("*") : path;
    }
}
