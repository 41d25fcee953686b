package stoatrill.cli;

import java.io.IOException;
import java.nio.charset.MalformedInputException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import stoatrill.Main;
import stoatrill.config.Config;
import stoatrill.config.ConfigException;
import stoatrill.contract.Contracts;
import stoatrill.settings.Block;
import stoatrill.settings.SettingsException;
import stoatrill.settings.SettingsFile;

/**
 * The router's own commands. Each exits with 0 on success, 1 if the checked file is invalid or the run failed, 2 on a
 * usage or configuration error.
 */
@Command(
        name = "stoatrill",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class,
        description = "A router for groups of a primary and its replicas.",
        synopsisSubcommandLabel = "COMMAND",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:success",
            "1:the checked file is invalid, or the run failed",
            "2:usage or configuration error"
        })
public final class Commands implements Runnable {
    @Spec
    private CommandLine.Model.CommandSpec spec;

    private Commands() {}

    /** Creates the command line, to which other modules may add commands. */
    public static CommandLine newCommandLine() {
        CommandLine line = new CommandLine(new Commands());
        line.addSubcommand(new Serve());
        line.addSubcommand(new Simhost());
        line.addSubcommand(new Check());
        return withErrorHandlers(line);
    }

    /** Sets handlers that report errors as a single line, also for commands that are added later. */
    public static CommandLine withErrorHandlers(CommandLine line) {
        line.setCaseInsensitiveEnumValuesAllowed(true);
        line.setParameterExceptionHandler((error, args) -> {
            CommandLine failed = error.getCommandLine();
            failed.getErr()
                    .println("stoatrill: " + error.getMessage() + "; see "
                            + failed.getCommandSpec().qualifiedName() + " --help");
            return 2;
        });
        line.setExecutionExceptionHandler((error, failed, parsed) -> {
            String message = error.getMessage() == null ? error.toString() : error.getMessage();
            failed.getErr().println("stoatrill: " + message);
            return error instanceof SettingsException || error instanceof ConfigException ? 2 : 1;
        });
        return line;
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "no command was given");
    }

    /** Prints the version of the jar. */
    public static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Commands.class.getPackage().getImplementationVersion();
            return new String[] {"stoatrill " + (version == null ? "(not built as a jar)" : version)};
        }
    }

    @Command(
            name = "serve",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class,
            exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {
                "0:success",
                "1:the checked file is invalid, or the run failed",
                "2:usage or configuration error"
            },
            description = "Runs one router in the foreground. PROXY_CONFIG names its configuration file.")
    private static final class Serve implements Callable<Integer> {
        @Option(
                names = "--log",
                paramLabel = "FORMAT",
                defaultValue = "PLAIN",
                description = "plain, kv (key=value) or json: the format of the log on standard error")
        private Logs log;

        @Override
        public Integer call() {
            log.select();
            Main.serve();
            return 0;
        }
    }

    @Command(
            name = "simhost",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class,
            exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {
                "0:success",
                "1:the checked file is invalid, or the run failed",
                "2:usage or configuration error"
            },
            description = "Serves routing decisions over the simulator's wire protocol, on standard input and output.")
    private static final class Simhost implements Callable<Integer> {
        @Override
        public Integer call() {
            Main.simhost();
            return 0;
        }
    }

    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class,
            exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {
                "0:success",
                "1:the checked file is invalid, or the run failed",
                "2:usage or configuration error"
            },
            description = "Checks a configuration (JSON), contracts or another settings file and prints its errors.")
    private static final class Check implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "the file; read as JSON if its first character is '{'")
        private Path file;

        @Spec
        private CommandLine.Model.CommandSpec spec;

        @Override
        public Integer call() {
            try {
                String text = Files.readString(file, StandardCharsets.UTF_8);
                if (text.stripLeading().startsWith("{")) {
                    Config.parse(text, Map.of());
                } else {
                    Block contents = SettingsFile.parse(file.toString(), text);
                    if (contents.directives().stream()
                                    .anyMatch(d -> d.name().text().equals("team"))
                            && contents.directives().stream()
                                    .noneMatch(d -> d.name().text().equals("experiment"))) {
                        Contracts.parse(file.toString(), text);
                    }
                }
                spec.commandLine().getOut().println(file + ": can be used");
                return 0;
            } catch (ConfigException e) {
                spec.commandLine().getErr().println(file + ": " + e.getMessage());
            } catch (SettingsException e) {
                e.problems().forEach(spec.commandLine().getErr()::println);
            } catch (NoSuchFileException e) {
                spec.commandLine().getErr().println(file + ": there is no such file; name one that exists");
            } catch (MalformedInputException e) {
                spec.commandLine().getErr().println(file + ": not text in UTF-8; save it as UTF-8");
            } catch (IOException e) {
                spec.commandLine().getErr().println(file + ": can't be read: " + e.getMessage());
            }
            return 1;
        }
    }
}
