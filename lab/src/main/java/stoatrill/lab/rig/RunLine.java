package stoatrill.lab.rig;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The {@code run} command of the deploy file ({@code deploy/balancer.toml}), so that processes started here are
 * started exactly as in service. The file is line-based: one {@code key = "value"} a line, a comment after
 * {@code #}.
 *
 * @param root the repository's root, where {@code run} is started; its relative paths count from there
 * @param command the shell command, as written; it begins with {@code exec}, so the shell becomes the program
 */
public record RunLine(Path root, String command) {
    private static final Pattern RUN = Pattern.compile("^run\\s*=\\s*\"((?:[^\"\\\\]|\\\\.)*)\"");

    /**
     * Reads {@code deploy/balancer.toml} under the first of {@code from} and its parents that holds one.
     *
     * @throws IOException if no such file is found, it can't be read, or it has no {@code run} line
     */
    public static RunLine find(Path from) throws IOException {
        for (Path dir = from.toAbsolutePath(); dir != null; dir = dir.getParent()) {
            Path file = dir.resolve("deploy").resolve("balancer.toml");
            if (Files.isRegularFile(file)) {
                for (String line : Files.readAllLines(file)) {
                    Matcher m = RUN.matcher(line);
                    if (m.find()) {
                        return new RunLine(dir, m.group(1).replace("\\\"", "\"").replace("\\\\", "\\"));
                    }
                }
                throw new IOException(file + " has no line 'run = \"...\"': add the command that starts one router");
            }
        }
        throw new IOException(
                "no deploy/balancer.toml in " + from.toAbsolutePath() + " or above: start from the repository");
    }

    /** As {@link #builder}, but the shell starts the command only once it has read a line, and ends without one. */
    public ProcessBuilder afterALine() {
        return new ProcessBuilder(List.of("sh", "-c", "read -r line || exit 1; " + command)).directory(root.toFile());
    }

    /** A process builder for the command in {@link #root}, as the platform starts it: by {@code sh -c}. */
    public ProcessBuilder builder() {
        return new ProcessBuilder(List.of("sh", "-c", command)).directory(root.toFile());
    }
}
