package stoatrill.lab.cli;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import stoatrill.cli.Commands;
import stoatrill.lab.policy.Policy;
import stoatrill.lab.run.Claim;
import stoatrill.lab.run.Experiment;
import stoatrill.lab.run.Metric;
import stoatrill.lab.run.Report;
import stoatrill.lab.run.Results;
import stoatrill.lab.run.Runner;

/** Plays an experiment and checks its claims. */
@Command(
        name = "run",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class,
        description = "Plays an experiment and checks what it claims.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:every claim holds", "1:a claim does not hold", "2:wrong usage, or a file that can't be used"
        })
final class Run implements Callable<Integer> {
    @Parameters(paramLabel = "NAME", description = "an experiment's name, or the path of its file")
    private String name;

    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "the first seed (default: 1)")
    private long seed;

    @Option(names = "--seeds", paramLabel = "K", description = "how many seeds (default: as the file says)")
    private Integer seeds;

    @Option(
            names = "--scale",
            paramLabel = "F",
            defaultValue = "1",
            description = "times as many routers, nodes and groups (default: 1)")
    private double scale;

    @Option(names = "--out", paramLabel = "DIR", description = "where tables, plots and the report go")
    private Path out;

    @Option(names = "--threads", paramLabel = "T", description = "days played at once (default: all cores)")
    private int threads = Runtime.getRuntime().availableProcessors();

    @Option(names = "--set", paramLabel = "KEY=VALUE", description = "a setting of the model to play with")
    private Map<String, String> settings = new LinkedHashMap<>();

    @Option(names = "--policies", split = ",", paramLabel = "P", description = "only these policies, and no claims")
    private List<Policy> policies;

    @Option(
            names = "--without",
            description = "without the subsystem that the file names: contracts, or the decision module")
    private boolean without;

    @Option(names = "--speed", description = "also measure speed and memory at the sizes that the file names")
    private boolean speed;

    @Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        if (threads < 1 || scale <= 0 || (seeds != null && seeds < 1)) {
            throw new CommandLine.ParameterException(spec.commandLine(), "--threads, --scale and --seeds are above 0");
        }
        PrintWriter to = spec.commandLine().getOut();
        Experiment e = Experiment.read(Files.find(name), settings);
        scale(e, scale);
        List<Policy> played = policies != null ? policies : e.policies();
        boolean instead = without && !e.withoutContracts();
        if (without && e.withoutContracts()) {
            e.plan().contracts = null;
        }
        int many = seeds != null ? seeds : e.seeds();
        Results results = Runner.play(
                e.plan(),
                instead ? instead(played, e.without()) : played,
                seed,
                many,
                threads,
                Files.progress(e.name()));
        if (instead) {
            results = results.as(e.without(), Policy.DECIDE);
        }
        to.println(table(results, played));
        List<Claim.Verdict> verdicts = new ArrayList<>();
        if (policies == null) {
            for (Claim c : e.claims()) {
                Claim.Verdict v = results.check(c);
                verdicts.add(v);
                to.println((v.held() ? "holds  " : "FAILS  ") + c + ": " + figure(v.figure()) + " against "
                        + figure(v.against()));
            }
        }
        results.days().stream()
                .flatMap(d ->
                        d.breaches().stream().limit(5).map(b -> "broken " + d.policy() + " seed=" + d.seed() + " " + b))
                .limit(20)
                .forEach(to::println);
        if (out != null) {
            Report.write(out, e, results, verdicts);
        }
        if (speed) {
            Speeds.measure(e, seed, out, to);
        }
        long held = verdicts.stream().filter(Claim.Verdict::held).count();
        to.println(e.name() + " seed=" + seed + " claims=" + verdicts.size() + " held=" + held + main(results));
        return held == verdicts.size() ? 0 : 1;
    }

    /** Multiplies the size of what is played. */
    static void scale(Experiment e, double scale) {
        e.plan().routers = (int) Math.max(1, Math.round(e.plan().routers * scale));
        e.plan().groups = (int) Math.max(1, Math.round(e.plan().groups * scale));
        e.plan().nodes = (int) Math.max(e.plan().groups, Math.round(e.plan().nodes * scale));
        e.plan().rate *= scale;
    }

    private static List<Policy> instead(List<Policy> played, Policy stands) {
        return played.stream()
                .map(p -> p == Policy.DECIDE ? stands : p)
                .distinct()
                .toList();
    }

    private static String main(Results results) {
        StringBuilder text = new StringBuilder();
        for (Policy p : results.policies()) {
            text.append(' ')
                    .append(p.name().toLowerCase(Locale.ROOT))
                    .append('=')
                    .append(figure(results.mean(p, Metric.SCORE)));
        }
        return text.toString();
    }

    static String figure(double value) {
        return String.format(Locale.ROOT, Math.abs(value) >= 1000 ? "%.0f" : "%.3f", value);
    }

    private static String table(Results results, List<Policy> played) {
        StringBuilder text = new StringBuilder(String.format(Locale.ROOT, "%-16s", "mean, 95 %"));
        played.forEach(
                p -> text.append(String.format(Locale.ROOT, "%18s", p.name().toLowerCase(Locale.ROOT))));
        for (Metric m : Metric.values()) {
            text.append(String.format(Locale.ROOT, "%n%-16s", m.word()));
            for (Policy p : played) {
                text.append(String.format(
                        Locale.ROOT,
                        "%10s ±%6s",
                        figure(results.mean(p, m)),
                        figure(Results.halfWidth(results.of(p, m)))));
            }
        }
        return text.toString();
    }
}
