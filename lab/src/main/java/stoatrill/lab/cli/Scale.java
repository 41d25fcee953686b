package stoatrill.lab.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import stoatrill.cli.Commands;
import stoatrill.lab.scale.Figure;
import stoatrill.lab.scale.ScaleResult;
import stoatrill.lab.scale.Scenario;
import stoatrill.lab.scale.ScenarioRunner;
import stoatrill.lab.scale.Sizes;
import stoatrill.lab.scale.report.Axis;
import stoatrill.lab.scale.report.RunReport;
import stoatrill.lab.scale.report.SizesReport;

/** Plays a scenario on many hollow routers and a few real ones, and reports what control costs. */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class,
        description = "Starts hollow routers, real routers and a stand-in discovery on loopback, plays a scenario "
                + "and reports what control costs and when the last router knows.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:the scenario was played", "1:it could not be played", "2:wrong usage"})
final class Scale implements Callable<Integer> {
    private static final int MOST_PROCESSES = 100;

    @Parameters(paramLabel = "SCENARIO", description = "one of ${COMPLETION-CANDIDATES}")
    private Scenario scenario;

    @Option(names = "--routers", paramLabel = "N", defaultValue = "100", description = "hollow routers (default: 100)")
    private int routers;

    @Option(names = "--servers", paramLabel = "M", defaultValue = "1700", description = "servers (default: 1700)")
    private int servers;

    @Option(names = "--real", paramLabel = "N", defaultValue = "2", description = "real routers (default: 2)")
    private int real;

    @Option(
            names = "--per-process",
            paramLabel = "K",
            defaultValue = "200",
            description = "hollow routers of one process (default: 200)")
    private int perProcess;

    @Option(
            names = "--statements",
            paramLabel = "RATE",
            defaultValue = "0.5",
            description = "modelled statements a second of each hollow router (default: 0.5); rest is measured "
                    + "without them first")
    private double statements;

    @Option(names = "--seed", paramLabel = "S", defaultValue = "1", description = "of all that is drawn (default: 1)")
    private long seed;

    @Option(
            names = "--sizes",
            paramLabel = "AXIS",
            description = "play it over the sizes of an axis, one of ${COMPLETION-CANDIDATES}, and fit each figure")
    private Axis axis;

    @Option(
            names = "--steps",
            paramLabel = "SIZE",
            split = ",",
            description = "the sizes along the axis, with commas between them (default: 25,50,100,200,400,800,1400 "
                    + "routers; 100,400,1700 servers)")
    private List<Integer> steps;

    @Option(names = "--out", paramLabel = "DIR", description = "where the report and the processes' logs go")
    private Path out;

    @Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        Sizes base = sizes();
        Path folder = out == null ? Files.createTempDirectory("stoatrill-scale") : Files.createDirectories(out);
        if (axis == null) {
            RunReport.write(folder, play(base, folder));
        } else {
            List<ScaleResult> results = new ArrayList<>();
            for (Sizes sizes : axis.over(base, steps == null ? axis.steps() : steps)) {
                results.add(play(sizes, folder));
            }
            new SizesReport(axis, results).write(folder);
        }
        spec.commandLine().getOut().println("report in " + folder);
        return 0;
    }

    private Sizes sizes() {
        try {
            Sizes sizes = Sizes.of(routers, servers, perProcess, real, seed);
            if (routers / perProcess + real + 2 > MOST_PROCESSES) {
                throw new IllegalArgumentException("that is more than " + MOST_PROCESSES + " processes");
            }
            return sizes;
        } catch (IllegalArgumentException e) {
            throw new CommandLine.ParameterException(spec.commandLine(), e.getMessage());
        }
    }

    private ScaleResult play(Sizes sizes, Path folder) throws IOException {
        Path logs = folder.resolve("logs").resolve(scenario.word() + "-" + sizes.routers() + "-" + sizes.servers());
        ScaleResult result = new ScenarioRunner(sizes, ScenarioRunner.Spans.USUAL, statements, logs).run(scenario);
        PrintWriter print = spec.commandLine().getOut();
        print.printf("%s, %d routers, %d servers%n", scenario.word(), sizes.routers(), sizes.servers());
        for (Figure figure : result.figures()) {
            print.printf("  %-60s %12s %s%n", figure.name(), RunReport.number(figure.value()), figure.unit());
        }
        print.flush();
        return result;
    }
}
