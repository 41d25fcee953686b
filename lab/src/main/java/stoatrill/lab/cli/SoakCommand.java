package stoatrill.lab.cli;

import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import stoatrill.cli.Commands;
import stoatrill.lab.rig.Checker;
import stoatrill.lab.rig.RunLine;
import stoatrill.lab.rig.Soak;

/** Plays random faults that overlap on real routers, by seeds, and prints one line for each. */
@Command(
        name = "soak",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class,
        description =
                "Plays random faults that overlap (system calls, clocks, pauses, ends, connections, discovery) on "
                        + "real routers, stand-in nodes and clients on loopback, and prints one line for each seed.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:every invariant held", "1:one did not", "2:wrong usage, or no C compiler"})
final class SoakCommand implements Callable<Integer> {
    private static final double NANOS_A_MINUTE = 60e9;

    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "the first seed (default: 1)")
    private long seed;

    @Option(names = "--seeds", paramLabel = "N", defaultValue = "1", description = "how many seeds, one after another")
    private int seeds;

    @Option(names = "--minutes", paramLabel = "M", defaultValue = "0.5", description = "how long faults go on, each")
    private double minutes;

    @Option(names = "--routers", paramLabel = "N", defaultValue = "24", description = "routers (default: 24)")
    private int routers;

    @Option(names = "--nodes", paramLabel = "N", defaultValue = "5", description = "nodes (default: 5)")
    private int nodes;

    @Option(names = "--out", paramLabel = "DIR", description = "where histories and logs go")
    private Path out;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        PrintWriter print = spec.commandLine().getOut();
        Path root = out == null ? Files.createTempDirectory("stoatrill-soak") : Files.createDirectories(out);
        RunLine run = RunLine.find(Path.of(System.getProperty("stoatrill.root", "")));
        boolean clean = true;
        for (long s = seed; s < seed + seeds; s++) {
            Path dir = Files.createDirectories(root.resolve("seed" + s));
            Soak.Result result = Soak.play(run, s, routers, nodes, (long) (minutes * NANOS_A_MINUTE), dir);
            print.println(line(result));
            broken(result).forEach(each -> print.println("  " + each));
            print.flush();
            clean &= result.clean();
        }
        return clean ? 0 : 1;
    }

    private static String line(Soak.Result result) {
        Checker.Verdict v = result.verdict();
        return String.format(
                Locale.ROOT,
                "soak seed=%d faults=%d failed-calls=%d requests=%d ok=%d refused=%d errors=%d excused=%d sent-again=%d"
                        + " clean=%b",
                result.seed(),
                result.faults(),
                result.failedCalls(),
                v.requests(),
                v.ok(),
                v.refused(),
                v.errors(),
                v.excused(),
                v.repeated(),
                result.clean());
    }

    /** Each rule that was broken, with what broke it. */
    private static List<String> broken(Soak.Result result) {
        Checker.Verdict v = result.verdict();
        List<String> broken = new ArrayList<>();
        add(broken, "no final answer", v.noFinalAnswer());
        add(broken, "foreign value", v.foreign());
        add(broken, "closed under a request", v.closedUnder());
        add(broken, "ran twice", v.ranTwice());
        add(broken, "stale", v.stale());
        add(broken, "to leaving", v.toLeaving());
        add(broken, "ended by itself", v.endedByItself());
        add(broken, "logged", v.logged());
        add(broken, "leaks", result.leaks());
        return broken;
    }

    private static void add(List<String> broken, String rule, List<String> by) {
        if (!by.isEmpty()) {
            broken.add(rule + " " + by.size() + ": " + by.subList(0, Math.min(5, by.size())));
        }
    }
}
