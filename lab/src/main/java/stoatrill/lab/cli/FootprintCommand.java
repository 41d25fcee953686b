package stoatrill.lab.cli;

import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import stoatrill.cli.Commands;
import stoatrill.lab.scale.footprint.Axis;
import stoatrill.lab.scale.footprint.Footprint;
import stoatrill.lab.scale.footprint.Table;
import stoatrill.lab.scale.footprint.TableWriter;

/** Measures what one real router costs along an axis. */
@Command(
        name = "footprint",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class,
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:all went well", "1:it failed", "2:wrong usage, or a file that can't be used"},
        description =
                "Starts real routers before stand-ins on loopback, one after the other, and measures their memory "
                        + "and processor time along an axis, with a line through each figure.")
final class FootprintCommand implements Callable<Integer> {
    @Parameters(paramLabel = "AXIS", description = "what is varied: ${COMPLETION-CANDIDATES}")
    private Axis axis;

    @Option(names = "--out", paramLabel = "DIR", description = "where tables go (default: footprint)")
    private Path out = Path.of("footprint");

    @Option(names = "--sizes", paramLabel = "N", split = ",", description = "sizes, in place of the axis's own")
    private List<Integer> sizes = List.of();

    @Option(names = "--repeats", paramLabel = "N", defaultValue = "1", description = "runs at each size (default: 1)")
    private int repeats;

    @Option(
            names = "--settle",
            paramLabel = "SECONDS",
            defaultValue = "5",
            description = "time to settle before a router is measured (default: 5)")
    private int settle;

    @Option(
            names = "--rest",
            paramLabel = "SECONDS",
            defaultValue = "20",
            description = "time over which processor time is measured (default: 20)")
    private int rest;

    @Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        if (repeats < 1 || settle < 0 || rest < 1 || sizes.stream().anyMatch(size -> size < 1)) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "--repeats, --sizes and --rest take 1 or more, --settle 0 or more");
        }
        List<Integer> runs = new ArrayList<>();
        for (int i = 0; i < repeats; i++) {
            runs.addAll(sizes.isEmpty() ? axis.sizes() : sizes);
        }
        PrintWriter print = spec.commandLine().getOut();
        Path logs = Files.createTempDirectory("stoatrill-footprint");
        Footprint footprint = new Footprint(logs, Duration.ofSeconds(settle), Duration.ofSeconds(rest), line -> {
            print.println(line);
            print.flush();
        });
        Table table = footprint.run(axis, runs);
        TableWriter.write(table, out);
        print.println(TableWriter.markdown(table));
        print.println("tables in " + out + ", logs in " + logs);
        return 0;
    }
}
