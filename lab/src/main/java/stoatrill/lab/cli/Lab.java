package stoatrill.lab.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Spec;
import stoatrill.cli.Commands;

/** The group of the lab's commands. */
@Command(
        name = "lab",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class,
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:all went well", "1:it failed", "2:wrong usage, or a file that can't be used"},
        description = "A model of a deployment, experiments on it, and a small deployment to try.",
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {
            Up.class,
            Chaos.class,
            SoakCommand.class,
            FloodCommand.class,
            FootprintCommand.class,
            Run.class,
            Experiments.class,
            Sweep.class,
            Compare.class,
            Queue.class,
            ScaleModelCommand.class,
            Bench.class,
            Scale.class
        })
public final class Lab implements Runnable {
    @Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "no command was given");
    }
}
