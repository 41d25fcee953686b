package stoatrill.lab.scale;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import stoatrill.lab.rig.RunLine;
import stoatrill.lab.rig.Watchdog;
import stoatrill.standins.fleet.DiscoveryMain;

/**
 * Starts the processes of a scale test and sees to it that none is left: {@link #close} ends them by id, a shutdown
 * hook kills those left if this JVM ends first, and a {@link Watchdog} kills them if this JVM is killed.
 */
final class Processes implements AutoCloseable {
    /** Heap of one hollow router, with what a list takes while it is read, and of a process without any. */
    private static final int MEGABYTES_A_ROUTER = 4;

    private static final int MEGABYTES_OF_PROCESS = 128;
    private static final int MEGABYTES_OF_DISCOVERY = 512;

    private final Path logs;
    private final Watchdog watchdog = new Watchdog();
    private final List<Process> started = new ArrayList<>();
    private final Thread hook = new Thread(this::killAll, "scale-hook");

    /** Nothing is started yet; the processes' logs go into a folder that exists. */
    Processes(Path logs) throws IOException {
        this.logs = logs;
        Runtime.getRuntime().addShutdownHook(hook);
    }

    /** Starts discovery; {@code listen} is to be its first command. */
    Child discovery(Sizes sizes) throws IOException {
        return child(
                "discovery",
                MEGABYTES_OF_DISCOVERY,
                DiscoveryMain.class.getName(),
                sizes.servers(),
                sizes.groups(),
                sizes.zones());
    }

    /** Starts a process of {@code count} hollow routers, the first of which has the number {@code first}. */
    Child hollow(Sizes sizes, int port, int first, int count) throws IOException {
        return child(
                "hollow" + first,
                MEGABYTES_OF_PROCESS + MEGABYTES_A_ROUTER * count,
                "stoatrill.lab.scale.hollow.HollowMain",
                port,
                first,
                count,
                sizes.routers() + sizes.realRouters(),
                sizes.groups(),
                sizes.zones(),
                sizes.seed());
    }

    private Child child(String name, int megabytes, String main, Object... arguments) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx" + megabytes + "m",
                "-XX:+UseSerialGC", // as deploy/java.options has it, and the compiler too, so that costs compare
                "-XX:TieredStopAtLevel=1",
                "-Djava.net.preferIPv4Stack=true",
                "-cp",
                System.getProperty("java.class.path"),
                main));
        for (Object argument : arguments) {
            command.add(argument.toString());
        }
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectError(logs.resolve(name + ".log").toFile());
        return new Child(name, start(builder));
    }

    /**
     * Starts a real router by the deploy file's {@code run}. Its shell waits for a line until the watchdog knows of it,
     * so that it is not left running if this JVM is killed in between.
     */
    Process router(RunLine run, String name, Path config) throws IOException {
        ProcessBuilder builder = run.afterALine()
                .redirectErrorStream(true)
                .redirectOutput(logs.resolve(name + ".log").toFile());
        builder.environment().put("PROXY_CONFIG", config.toString());
        for (String variable : List.of("PROXY_NAME", "PROXY_LISTEN", "PROXY_DISCOVERY", "PROXY_CONTRACTS")) {
            builder.environment().remove(variable);
        }
        Process process = start(builder);
        process.getOutputStream().write("go\n".getBytes(StandardCharsets.US_ASCII));
        process.getOutputStream().flush();
        return process;
    }

    private Process start(ProcessBuilder builder) throws IOException {
        Process process = builder.start();
        synchronized (this) {
            started.add(process);
        }
        watchdog.started(process.pid());
        CompletableFuture<Void> unused = process.onExit().thenRun(() -> watchdog.ended(process.pid()));
        return process;
    }

    private synchronized void killAll() {
        started.forEach(Process::destroyForcibly);
    }

    /** Ends all that is left by SIGKILL and waits for the end of each. */
    @Override
    public void close() {
        killAll();
        for (Process process : List.copyOf(started)) {
            process.onExit().join();
        }
        watchdog.close();
        Runtime.getRuntime().removeShutdownHook(hook);
    }
}
