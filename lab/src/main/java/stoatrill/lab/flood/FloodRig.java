package stoatrill.lab.flood;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;
import java.util.regex.Pattern;
import stoatrill.lab.rig.RouterProc;
import stoatrill.lab.rig.RunLine;
import stoatrill.standins.net.Deployment;

/**
 * Two real routers, each with stand-ins of its own: one that is flooded, and one to tell what the machine takes. For
 * one thread.
 */
public final class FloodRig implements AutoCloseable {
    /** The nodes of each router; the first is the primary. */
    public static final int NODES_COUNT = 5;

    private static final Map<String, Double> WORK_NANOS =
            Map.of("recent-read", 1e6, "archive-read", 1e6, "reading-upload", 2e6);
    private static final int ANY_PORT = 0;
    private static final long NOTICE_NANOS = 50_000_000L;
    private static final Pattern TROUBLE =
            Pattern.compile("\\bERROR\\b|Exception in thread|OutOfMemory|invariants broken: \\{[^}]");

    private final Deployment deployment;
    private final Deployment quietDeployment;
    private final RunLine run;
    private final Path dir;
    private Path floodedLog;
    private RouterProc flooded;
    private final RouterProc quiet;

    /** Starts both routers by the deploy file's {@code run}; returns once they listen. */
    public FloodRig(Path dir) throws IOException {
        this(dir, address -> address);
    }

    /** The flooded router's list shows each node at the address that {@code front} gives for its own. */
    public FloodRig(Path dir, UnaryOperator<InetSocketAddress> front) throws IOException {
        deployment = new Deployment(NODES_COUNT, NOTICE_NANOS, WORK_NANOS, front);
        quietDeployment = new Deployment(NODES_COUNT, NOTICE_NANOS, WORK_NANOS, address -> address);
        this.run = RunLine.find(Path.of(System.getProperty("stoatrill.root", "")));
        this.dir = dir;
        floodedLog = dir.resolve("flooded.log");
        flooded = start("flooded", deployment, ANY_PORT);
        quiet = start("quiet", quietDeployment, ANY_PORT);
        flooded.await();
        quiet.await();
    }

    private RouterProc start(String name, Deployment nodes, int port) throws IOException {
        Path config = Files.writeString(
                dir.resolve(name + ".json"),
                nodes.config(name, "mona", "127.0.0.1:" + port).replace("\"sockets\":512", "\"sockets\":1024"));
        return new RouterProc(run, name, config, dir.resolve(name + ".log"));
    }

    /** Starts the flooded router, which has ended, again at the same port; returns once it listens. */
    public void restartFlooded() throws IOException {
        floodedLog = dir.resolve("restarted.log");
        flooded = start("restarted", deployment, flooded.port());
        flooded.await();
    }

    /** The router that is flooded. */
    public RouterProc flooded() {
        return flooded;
    }

    /** The router that nobody floods. */
    public RouterProc quiet() {
        return quiet;
    }

    /** The stand-ins of the flooded router. */
    public Deployment deployment() {
        return deployment;
    }

    /** The most memory of the flooded router that was ever resident, in KiB. */
    public long residentKib() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc", Long.toString(flooded.pid()), "status"))) {
            if (line.startsWith("VmHWM:")) {
                return Long.parseLong(line.replaceAll("\\D", ""));
            }
        }
        throw new IOException("the router has ended");
    }

    /** Lines of the flooded router's log that tell of an error. */
    public List<String> troubles() throws IOException {
        return log().stream().filter(line -> TROUBLE.matcher(line).find()).toList();
    }

    /** What the flooded router has written to its log. */
    public List<String> log() throws IOException {
        return Files.readAllLines(floodedLog);
    }

    @Override
    public void close() {
        flooded.close();
        quiet.close();
        deployment.close();
        quietDeployment.close();
    }
}
