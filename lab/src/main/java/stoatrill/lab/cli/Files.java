package stoatrill.lab.cli;

import java.nio.file.Path;
import java.util.function.BiConsumer;

/** Where experiments lie, and how far a run has come. */
final class Files {
    private Files() {}

    /** The folder of the experiments: of the repository that this program was built in, or below this folder. */
    static Path folder() {
        String given = System.getProperty("stoatrill.root");
        return Path.of(given == null ? "." : given).resolve("lab").resolve("experiments");
    }

    /** An experiment by its name or by its path. */
    static Path find(String name) {
        Path asPath = Path.of(name);
        return name.endsWith(".conf") || java.nio.file.Files.isRegularFile(asPath)
                ? asPath
                : folder().resolve(name + ".conf");
    }

    /** Whether standard input and output are both a terminal. */
    @SuppressWarnings("SystemConsoleNull") // on the JDK 17 that this is built for, null means that there is none
    static boolean onTerminal() {
        return System.console() != null;
    }

    /** Shows how many days are done, on a terminal only. */
    static BiConsumer<Integer, Integer> progress(String what) {
        if (!onTerminal()) {
            return (done, all) -> {};
        }
        return (done, all) -> {
            System.err.print("\r" + what + ": " + done + " of " + all + " days" + (done.equals(all) ? "\n" : ""));
            System.err.flush();
        };
    }
}
