package stoatrill.lab.up;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The real program as a process of its own. */
final class RouterProcess implements AutoCloseable {
    private static final Pattern LISTENS = Pattern.compile("listens on /([0-9.]+):(\\d+)");
    private static final long START_SECONDS = 20;

    private final String name;
    private final Process process;
    private int port;
    private String last = "";

    /** Starts it; {@link #await} then waits until it listens. */
    RouterProcess(String name, Path config, Path log) throws IOException {
        this.name = name;
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        ProcessBuilder builder = new ProcessBuilder(List.of(
                java,
                "-Xmx64m",
                "-XX:+UseSerialGC",
                "-cp",
                System.getProperty("java.class.path"),
                "stoatrill.Main",
                "serve"));
        builder.environment().put("PROXY_CONFIG", config.toString());
        for (String variable : List.of("PROXY_NAME", "PROXY_LISTEN", "PROXY_DISCOVERY")) {
            builder.environment().remove(variable);
        }
        process = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
        this.log = log;
    }

    private final Path log;

    /** Waits until it listens; fails with what it last said if it ends before. */
    void await() throws IOException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_SECONDS);
        while (port == 0) {
            boolean alive = process.isAlive();
            try (BufferedReader in = java.nio.file.Files.newBufferedReader(log, StandardCharsets.UTF_8)) {
                String line;
                while ((line = in.readLine()) != null) {
                    last = line;
                    Matcher m = LISTENS.matcher(line);
                    if (m.find()) {
                        port = Integer.parseInt(m.group(2));
                    }
                }
            }
            if (port == 0 && (!alive || System.nanoTime() > until)) {
                throw new IOException("router " + name + " did not start: " + last);
            }
            try {
                process.waitFor(10, TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException("interrupted while router " + name + " started", e);
            }
        }
    }

    String name() {
        return name;
    }

    int port() {
        return port;
    }

    boolean alive() {
        return process.isAlive();
    }

    void kill() {
        process.destroyForcibly();
    }

    /** Ends it in order, and without mercy if that takes longer than a router needs. */
    @Override
    public void close() {
        process.destroy();
        try {
            if (!process.waitFor(5, TimeUnit.SECONDS)) {
                process.destroyForcibly().waitFor();
            }
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}
