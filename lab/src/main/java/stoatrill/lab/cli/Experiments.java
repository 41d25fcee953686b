package stoatrill.lab.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Spec;
import stoatrill.cli.Commands;
import stoatrill.lab.run.Experiment;
import stoatrill.settings.SettingsException;

/** Lists the experiments. */
@Command(
        name = "list",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class,
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:all went well", "1:it failed", "2:wrong usage, or a file that can't be used"},
        description = "Lists the experiments with what each is about.")
final class Experiments implements Callable<Integer> {
    @Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() throws IOException {
        PrintWriter out = spec.commandLine().getOut();
        int broken = 0;
        try (Stream<Path> files = java.nio.file.Files.list(Files.folder())) {
            for (Path file :
                    files.filter(f -> f.toString().endsWith(".conf")).sorted().toList()) {
                String name = file.getFileName().toString().replaceAll("\\.conf$", "");
                try {
                    Experiment e = Experiment.read(file, Map.of());
                    out.println(String.format(
                            Locale.ROOT,
                            "%-14s %2d claims, %d seeds: %s",
                            name,
                            e.claims().size(),
                            e.seeds(),
                            e.about()));
                } catch (SettingsException e) {
                    broken++;
                    List<String> problems = e.problems();
                    out.println(name + ": can't be used: " + problems.get(0));
                }
            }
        }
        return broken == 0 ? 0 : 1;
    }
}
