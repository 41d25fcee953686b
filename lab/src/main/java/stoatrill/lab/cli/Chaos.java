package stoatrill.lab.cli;

import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.function.BooleanSupplier;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import stoatrill.cli.Commands;
import stoatrill.lab.rig.Checker;
import stoatrill.lab.rig.Player;
import stoatrill.lab.rig.Rig;
import stoatrill.lab.rig.Scenario;

/** Plays a scenario of faults on real routers and judges what the clients saw. */
@Command(
        name = "chaos",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class,
        description = "Starts real routers, stand-in nodes and clients on loopback, plays a scenario's faults, and "
                + "prints the checker's verdict; the history goes to --out.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:no rule was broken", "1:a rule was broken", "2:wrong usage, or a file that can't be used"})
final class Chaos implements Callable<Integer> {
    @Parameters(paramLabel = "SCENARIO", description = "a scenario's file (see docs/rig.md)")
    private Path file;

    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "the nemesis's seed (default: 1)")
    private long seed;

    @Option(names = "--routers", paramLabel = "N", description = "routers, in place of the file's")
    private Integer routers;

    @Option(names = "--out", paramLabel = "DIR", description = "where the history and the routers' logs go")
    private Path out;

    @Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        if (!Files.isRegularFile(file)) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(),
                    "no scenario at " + file + ": give the path of a file such as lab/scenarios/mixed.conf");
        }
        if (routers != null && (routers < 1 || routers > 64)) {
            throw new CommandLine.ParameterException(spec.commandLine(), "--routers takes 1 to 64");
        }
        Scenario s = Scenario.parse(
                file.toString(), Files.readString(file, StandardCharsets.UTF_8), seed, routers == null ? 0 : routers);
        Path dir = out == null ? Files.createTempDirectory("stoatrill-chaos") : Files.createDirectories(out);
        PrintWriter print = spec.commandLine().getOut();
        List<String> lines;
        try (Rig rig = new Rig(s.routers(), s.nodes(), dir)) {
            rig.clients(s.clients(), s.uploads());
            long warm = 20L * s.clients();
            until(() -> rig.history().ops() >= warm);
            Player.play(rig, s.faults());
            long after = rig.history().ops();
            until(() -> rig.history().ops() >= after + warm);
            lines = rig.finish();
        }
        Files.write(dir.resolve("history.tsv"), lines, StandardCharsets.UTF_8);
        Checker.Verdict v = Checker.check(lines);
        print.printf(
                "requests %d  ok %d  refused %d  errors %d  excused %d  sent again %d%n",
                v.requests(), v.ok(), v.refused(), v.errors(), v.excused(), v.repeated());
        print.printf("no final answer  %d  %s%n", v.noFinalAnswer().size(), first(v.noFinalAnswer()));
        print.printf("ran twice        %d  %s%n", v.ranTwice().size(), first(v.ranTwice()));
        print.printf("stale            %d  %s%n", v.stale().size(), first(v.stale()));
        print.printf(
                "%s seed=%d routers=%d faults=%d clean=%b history=%s%n",
                s.name(), seed, s.routers(), s.faults().size(), v.clean(), dir.resolve("history.tsv"));
        return v.clean() ? 0 : 1;
    }

    private static String first(List<String> ids) {
        return String.join(" ", ids.subList(0, Math.min(10, ids.size())));
    }

    /** Waits on a condition about the clients, which go on until it holds. */
    private static void until(BooleanSupplier condition) {
        while (!condition.getAsBoolean()) {
            Thread.onSpinWait();
        }
    }
}
