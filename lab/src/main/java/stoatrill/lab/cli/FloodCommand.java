package stoatrill.lab.cli;

import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import stoatrill.cli.Commands;
import stoatrill.lab.flood.FloodSoak;

/** Floods a real router by random plans, one for each seed, and prints one line for each. */
@Command(
        name = "flood",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class,
        description = "Floods a real router on loopback with messages, crowds and clients that leave, beside pauses, "
                + "hanging nodes and signals, and ends it under a flood; prints one line for each seed.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:every invariant held", "1:one did not", "2:wrong usage"})
final class FloodCommand implements Callable<Integer> {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int LISTED_LIMIT_COUNT = 5;

    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "the first seed (default: 1)")
    private long seed;

    @Option(names = "--seeds", paramLabel = "N", defaultValue = "1", description = "how many seeds, one after another")
    private int seeds;

    @Option(names = "--seconds", paramLabel = "S", defaultValue = "8", description = "how long floods go on, each")
    private double seconds;

    @Option(names = "--out", paramLabel = "DIR", description = "where settings and logs go")
    private Path out;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        PrintWriter print = spec.commandLine().getOut();
        Path root = out == null ? Files.createTempDirectory("stoatrill-flood") : Files.createDirectories(out);
        boolean clean = true;
        for (long s = seed; s < seed + seeds; s++) {
            Path dir = Files.createDirectories(root.resolve("seed" + s));
            FloodSoak.Result result = FloodSoak.play(s, (long) (seconds * NANOS_PER_SECOND), dir);
            print.println(line(result));
            print(print, "lost", result.lost());
            print(print, "lost after the restart", result.lostAfterRestart());
            print(print, "ran twice", result.ranTwice());
            print(print, "logged", result.troubles());
            print.flush();
            clean &= result.clean();
        }
        return clean ? 0 : 1;
    }

    private static String line(FloodSoak.Result result) {
        return String.format(
                Locale.ROOT,
                "flood seed=%d faults=%d probes=%d lost=%d turned-away=%d ran-twice=%d resident-kib=%d ended-in-time=%b"
                        + " clean=%b",
                result.seed(),
                result.faultCount(),
                result.probeCount(),
                result.lost().size(),
                result.turnedAwayCount(),
                result.ranTwice().size(),
                result.residentKib(),
                result.endedInTime(),
                result.clean());
    }

    private static void print(PrintWriter print, String rule, List<String> by) {
        if (!by.isEmpty()) {
            print.println(
                    "  " + rule + " " + by.size() + ": " + by.subList(0, Math.min(LISTED_LIMIT_COUNT, by.size())));
        }
    }
}
