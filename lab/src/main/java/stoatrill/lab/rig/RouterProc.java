package stoatrill.lab.rig;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One router started by the deploy file's {@code run}, with its own configuration and log. Signals go by the
 * process id; it is never left running: {@link #close} ends it, and the rig's shutdown hook kills what is left.
 */
public final class RouterProc implements AutoCloseable {
    private static final Pattern LISTENS = Pattern.compile("listens on /([0-9.]+):(\\d+)");
    private static final long START_NANOS = TimeUnit.SECONDS.toNanos(30);

    /** Is told the id of a process that was started, before it runs its program. */
    interface Started {
        void accept(long pid) throws IOException;
    }

    private final String name;
    private final Path log;
    private final Process process;
    private int port;
    private volatile boolean ending;

    /** Starts the router with the configuration in the file {@code config}; its output goes to {@code log}. */
    public RouterProc(RunLine run, String name, Path config, Path log) throws IOException {
        this(run, name, config, log, Map.of(), pid -> {});
    }

    /**
     * Starts the router once {@code started} knows its process id: its shell waits for a line, and ends if this JVM is
     * killed before. So no router is left running that nobody knows of. {@code variables} are added to its environment.
     */
    RouterProc(RunLine run, String name, Path config, Path log, Map<String, String> variables, Started started)
            throws IOException {
        this.name = name;
        this.log = log;
        ProcessBuilder builder = run.afterALine().redirectErrorStream(true).redirectOutput(log.toFile());
        builder.environment().putAll(variables);
        builder.environment().put("PROXY_CONFIG", config.toString());
        for (String variable : List.of("PROXY_NAME", "PROXY_LISTEN", "PROXY_DISCOVERY")) {
            builder.environment().remove(variable);
        }
        process = builder.start();
        started.accept(process.pid());
        process.getOutputStream().write('\n');
        process.getOutputStream().flush();
    }

    /** Waits until it listens, and returns its port. */
    public int await() throws IOException {
        long until = System.nanoTime() + START_NANOS;
        while (port == 0) {
            boolean alive = process.isAlive();
            Matcher m = LISTENS.matcher(Files.readString(log, StandardCharsets.UTF_8));
            if (m.find()) {
                port = Integer.parseInt(m.group(2));
            } else if (!alive || System.nanoTime() > until) {
                throw new IOException("router " + name + " did not start; its log is " + log);
            } else {
                try {
                    process.waitFor(10, TimeUnit.MILLISECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    throw new IOException("interrupted while router " + name + " started", e);
                }
            }
        }
        return port;
    }

    String name() {
        return name;
    }

    /** The port it listens on; 0 before {@link #await} has returned. */
    public int port() {
        return port;
    }

    /** Its process id. */
    public long pid() {
        return process.pid();
    }

    /** Runs {@code then} once the process has ended, on a thread of the JDK's. */
    void onEnd(Runnable then) {
        CompletableFuture<Void> unused = process.onExit().thenRun(then);
    }

    /** Whether it was told to end (SIGTERM), so that new clients go elsewhere. */
    boolean ending() {
        return ending;
    }

    void ending(boolean told) {
        ending = told;
    }

    /** What it has written to its log so far. */
    List<String> logLines() throws IOException {
        return Files.readAllLines(log, StandardCharsets.ISO_8859_1);
    }

    /** The status that its process ended with; it has ended. */
    int exitStatus() {
        return process.exitValue();
    }

    /** Whether its process runs. */
    public boolean alive() {
        return process.isAlive();
    }

    /** Sends a signal by name ({@code STOP}, {@code CONT}, {@code TERM}, {@code HUP}, {@code KILL}). */
    public void signal(String signal) throws IOException {
        try {
            int status = new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
            if (status != 0 && process.isAlive()) {
                throw new IOException(
                        "kill -" + signal + " " + process.pid() + " (" + name + ") gave status " + status);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while signalling " + name, e);
        }
    }

    /** Waits for the process to end, at most so long; true if it has. */
    boolean awaitEnd(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    /** Ends it in order (SIGCONT first, in case it is paused), and by SIGKILL if that takes over 5 s. */
    @Override
    public void close() {
        if (!process.isAlive()) {
            return;
        }
        try {
            signal("CONT");
            process.destroy();
            if (!process.waitFor(5, TimeUnit.SECONDS)) {
                process.destroyForcibly().waitFor();
            }
        } catch (IOException e) {
            process.destroyForcibly();
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }

    /** Ends it at once, as a hook does when the rig itself is ending. */
    void kill() {
        process.destroyForcibly();
    }
}
