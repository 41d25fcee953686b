package stoatrill.lab.flood;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import stoatrill.lab.rig.RouterProc;
import stoatrill.lab.rig.RunLine;
import stoatrill.standins.net.Deployment;

/** Two real routers of one deployment of stand-ins: one that tests flood, and one to tell what the machine takes. */
final class TwoRouters implements AutoCloseable {
    private static final int NODES_COUNT = 5;
    private static final long NOTICE_NANOS = 50_000_000L;
    private static final Pattern TROUBLE =
            Pattern.compile("\\bERROR\\b|Exception in thread|OutOfMemory|invariants broken: \\{[^}]");

    private final Deployment deployment;
    private final Path floodedLog;
    private final RouterProc flooded;
    private final RouterProc quiet;

    TwoRouters(Path dir) throws IOException {
        deployment = new Deployment(
                NODES_COUNT,
                NOTICE_NANOS,
                Map.of("recent-read", 1e6, "archive-read", 1e6, "reading-upload", 2e6),
                address -> address);
        RunLine run = RunLine.find(Path.of(""));
        floodedLog = dir.resolve("flooded.log");
        flooded = start(run, "flooded", "mona", dir);
        quiet = start(run, "quiet", "papine", dir);
        flooded.await();
        quiet.await();
    }

    private RouterProc start(RunLine run, String name, String zone, Path dir) throws IOException {
        Path config = Files.writeString(dir.resolve(name + ".json"), deployment.config(name, zone, "127.0.0.1:0"));
        return new RouterProc(run, name, config, dir.resolve(name + ".log"));
    }

    RouterProc flooded() {
        return flooded;
    }

    RouterProc quiet() {
        return quiet;
    }

    Deployment deployment() {
        return deployment;
    }

    /** The most memory of the flooded router that was ever resident, in KiB. */
    long residentKib() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc", Long.toString(flooded.pid()), "status"))) {
            if (line.startsWith("VmHWM:")) {
                return Long.parseLong(line.replaceAll("\\D", ""));
            }
        }
        throw new IOException("the router has ended");
    }

    /** Lines of the flooded router's log that tell of an error. */
    List<String> troubles() throws IOException {
        return log().stream().filter(line -> TROUBLE.matcher(line).find()).toList();
    }

    /** What the flooded router has written to its log. */
    List<String> log() throws IOException {
        return Files.readAllLines(floodedLog);
    }

    @Override
    public void close() {
        flooded.close();
        quiet.close();
        deployment.close();
    }
}
