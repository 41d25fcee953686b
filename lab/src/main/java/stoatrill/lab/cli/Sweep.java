package stoatrill.lab.cli;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import stoatrill.cli.Commands;
import stoatrill.lab.policy.Policy;
import stoatrill.lab.run.Experiment;
import stoatrill.lab.run.Metric;
import stoatrill.lab.run.Report;
import stoatrill.lab.run.Results;
import stoatrill.lab.run.Runner;

/** Plays an experiment over the values of one or two settings of its model. */
@Command(
        name = "sweep",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class,
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:all went well", "1:it failed", "2:wrong usage, or a file that can't be used"},
        description = "Plays an experiment over values of one or two settings, with confidence intervals.")
final class Sweep implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "NAME", description = "an experiment's name, or the path of its file")
    private String name;

    @Option(
            names = "--over",
            paramLabel = "KEY=A,B,...",
            required = true,
            arity = "1",
            description = "a setting of the model and its values; once or twice")
    private List<String> over = new ArrayList<>();

    @Option(names = "--metric", defaultValue = "SCORE", paramLabel = "M", description = "the figure (default: score)")
    private Metric metric;

    @Option(names = "--policies", split = ",", paramLabel = "P", description = "the policies (default: as the file)")
    private List<Policy> policies;

    @Option(names = "--seed", defaultValue = "1", paramLabel = "N", description = "the first seed (default: 1)")
    private long seed;

    @Option(names = "--seeds", paramLabel = "K", description = "how many seeds (default: as the file says)")
    private Integer seeds;

    @Option(names = "--out", paramLabel = "DIR", description = "where sweep.csv and its plot go")
    private Path out;

    @Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        Map<String, List<String>> keys = new LinkedHashMap<>();
        for (String each : over) {
            int equals = each.indexOf('=');
            if (equals <= 0 || equals == each.length() - 1 || keys.size() == 2) {
                throw new CommandLine.ParameterException(
                        spec.commandLine(), "--over takes KEY=A,B,... and stands once or twice, not \"" + each + "\"");
            }
            keys.put(
                    each.substring(0, equals),
                    List.of(each.substring(equals + 1).split(",")));
        }
        PrintWriter to = spec.commandLine().getOut();
        List<String> names = List.copyOf(keys.keySet());
        StringWriter text = new StringWriter();
        Map<String, List<double[]>> plotted = new LinkedHashMap<>();
        try (CSVPrinter csv = new CSVPrinter(
                text, CSVFormat.DEFAULT.builder().setRecordSeparator("\n").get())) {
            List<String> head = new ArrayList<>(names);
            head.addAll(List.of("policy", metric.word(), "half_width_95"));
            csv.printRecord(head);
            int place = 0;
            for (String first : keys.get(names.get(0))) {
                for (String second : names.size() < 2 ? List.of("") : keys.get(names.get(1))) {
                    Map<String, String> settings = new LinkedHashMap<>();
                    settings.put(names.get(0), first);
                    if (names.size() > 1) {
                        settings.put(names.get(1), second);
                    }
                    Experiment e = Experiment.read(Files.find(name), settings);
                    List<Policy> played = policies != null ? policies : e.policies();
                    Results r = Runner.play(
                            e.plan(),
                            played,
                            seed,
                            seeds != null ? seeds : e.seeds(),
                            Runtime.getRuntime().availableProcessors(),
                            Files.progress(settings.toString()));
                    for (Policy p : played) {
                        String policy = p.name().toLowerCase(Locale.ROOT);
                        double mean = r.mean(p, metric);
                        double half = Results.halfWidth(r.of(p, metric));
                        List<String> row = new ArrayList<>(settings.values());
                        row.addAll(List.of(policy, Run.figure(mean), Run.figure(half)));
                        csv.printRecord(row);
                        plotted.computeIfAbsent(
                                        policy + (second.isEmpty() ? "" : " " + names.get(1) + "=" + second),
                                        k -> new ArrayList<>())
                                .add(new double[] {place, mean, half});
                    }
                    to.println(settings
                            + played.stream()
                                    .map(p -> "  " + p.name().toLowerCase(Locale.ROOT) + " "
                                            + Run.figure(r.mean(p, metric)) + " ± "
                                            + Run.figure(Results.halfWidth(r.of(p, metric))))
                                    .reduce("", String::concat));
                    to.flush();
                }
                place++;
            }
        }
        if (out != null) {
            java.nio.file.Files.createDirectories(out);
            java.nio.file.Files.writeString(out.resolve("sweep.csv"), text.toString(), StandardCharsets.UTF_8);
            Report.sweep(out, names.get(0), keys.get(names.get(0)), metric, plotted);
        }
        return 0;
    }
}
