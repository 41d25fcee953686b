package stoatrill.lab;

import picocli.CommandLine;
import stoatrill.cli.Commands;
import stoatrill.lab.cli.Lab;

/** The command line with the lab's commands beside the router's. */
public final class LabMain {
    private LabMain() {}

    /** Exits with 0 if all went well, 1 if a claim does not hold or a run failed, 2 on wrong usage. */
    public static void main(String[] args) {
        System.setProperty("java.awt.headless", "true"); // plots are drawn without a screen
        CommandLine line = Commands.newCommandLine();
        line.addSubcommand(new Lab());
        System.exit(Commands.withErrorHandlers(line).execute(args));
    }
}
