package stoatrill.lab.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.jline.reader.EndOfFileException;
import org.jline.reader.LineReader;
import org.jline.reader.LineReaderBuilder;
import org.jline.reader.UserInterruptException;
import org.jline.reader.impl.completer.StringsCompleter;
import org.jline.terminal.Terminal;
import org.jline.terminal.TerminalBuilder;
import org.jline.utils.AttributedString;
import org.jline.utils.Status;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import stoatrill.cli.Commands;
import stoatrill.cli.Logs;
import stoatrill.lab.up.Trial;

/** Starts a small deployment on loopback and takes commands that do it harm. */
@Command(
        name = "up",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class,
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:all went well", "1:it failed", "2:wrong usage, or a file that can't be used"},
        description =
                "Starts four stand-in nodes, two routers and a load on loopback; commands at its prompt harm them.")
final class Up implements Callable<Integer> {
    private static final long SECOND = 1000;

    @Option(names = "--rate", paramLabel = "R", defaultValue = "40", description = "requests a second (default: 40)")
    private double rate;

    @Option(
            names = "--ports",
            split = ",",
            paramLabel = "P",
            arity = "1",
            description = "the two routers' ports (default: the system picks them)")
    private List<Integer> ports = new ArrayList<>();

    @Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        if (ports.stream().anyMatch(p -> p < 0 || p > 65_535) || ports.size() > 2 || rate <= 0) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "--ports takes two ports, --rate a number above 0");
        }
        Logs.PLAIN.select();
        while (ports.size() < 2) {
            ports.add(0);
        }
        PrintWriter out = spec.commandLine().getOut();
        Trial trial = new Trial(rate, ports);
        // Guards against processes left behind when this one is ended by a signal, also while it starts.
        Thread hook = new Thread(trial::close);
        Runtime.getRuntime().addShutdownHook(hook);
        try {
            trial.start();
            out.println("up. Try in another window:\n  " + trial.psql() + "\n" + Trial.HELP);
            out.flush();
            Terminal terminal = Files.onTerminal()
                    ? TerminalBuilder.builder().system(true).dumb(true).build()
                    : null;
            if (terminal == null || terminal.getType().startsWith(Terminal.TYPE_DUMB)) {
                plain(trial, out);
            } else {
                live(trial, terminal);
            }
        } finally {
            trial.close();
        }
        return 0;
    }

    /** Without a terminal: a line of figures each second, commands from standard input until it ends. */
    private static void plain(Trial trial, PrintWriter out) throws IOException {
        Thread figures = new Thread(() -> {
            try {
                while (true) {
                    Thread.sleep(SECOND);
                    out.println(trial.status().lines().findFirst().orElse(""));
                    out.flush();
                }
            } catch (InterruptedException | IOException e) {
                Thread.currentThread().interrupt(); // the end
            }
        });
        figures.setDaemon(true);
        figures.start();
        java.io.BufferedReader in = new java.io.BufferedReader(
                new java.io.InputStreamReader(System.in, java.nio.charset.StandardCharsets.UTF_8));
        String line;
        while ((line = in.readLine()) != null) {
            String said = trial.command(line);
            if (said == null) {
                break;
            }
            out.println(said);
            out.flush();
        }
        figures.interrupt();
    }

    /** On a terminal: the figures stand below the prompt and change each second. */
    private static void live(Trial trial, Terminal terminal) throws IOException {
        LineReader reader = LineReaderBuilder.builder()
                .terminal(terminal)
                .completer(new StringsCompleter(
                        "kill", "start", "drain", "hang", "wake", "lag", "errors", "jump", "rate", "status", "help",
                        "quit", "node0", "node1", "node2", "node3", "router0", "router1"))
                .build();
        Status status = Status.getStatus(terminal);
        Thread figures = new Thread(() -> {
            try {
                while (true) {
                    Thread.sleep(SECOND);
                    List<AttributedString> lines =
                            trial.status().lines().map(AttributedString::new).toList();
                    status.update(lines);
                }
            } catch (InterruptedException | IOException e) {
                Thread.currentThread().interrupt(); // the end
            }
        });
        figures.setDaemon(true);
        figures.start();
        try {
            String said = "";
            while (said != null) {
                said = trial.command(reader.readLine("lab> "));
                if (said != null && !said.isEmpty()) {
                    reader.printAbove(said);
                }
            }
        } catch (UserInterruptException | EndOfFileException e) {
            // Ctrl-C or Ctrl-D at the prompt ends it like quit
        } finally {
            figures.interrupt();
            status.close();
            terminal.close();
        }
    }
}
