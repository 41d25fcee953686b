package stoatrill.lab.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import stoatrill.cli.Commands;
import stoatrill.lab.scale.faketime.ScaleModel;

/** Runs one axis of the costs of control on simulated time. */
@Command(
        name = "scale-model",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class,
        description = "Shows what control costs by size, on simulated time.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:all went well", "1:it failed", "2:wrong usage, or a file that can't be used"})
final class ScaleModelCommand implements Callable<Integer> {
    @Parameters(paramLabel = "AXIS", description = "what is varied: ${COMPLETION-CANDIDATES}")
    private ScaleModel.Axis axis;

    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "the seed (default: 1)")
    private long seed;

    @Option(names = "--out", paramLabel = "DIR", description = "where the report and its tables go")
    private Path out;

    @Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        spec.commandLine().getOut().print(ScaleModel.run(axis, seed, out));
        spec.commandLine().getOut().flush();
        return 0;
    }
}
