package stoatrill.lab.scale.footprint;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import stoatrill.lab.rig.RouterProc;
import stoatrill.lab.rig.RunLine;
import stoatrill.lab.rig.Watchdog;
import stoatrill.standins.net.Discovery;

/**
 * One real router process, started by the deploy file's run line before stand-in servers and discovery on loopback,
 * with its clients. The only option added to the run line is {@link LiveHeap#JVM_OPTION}, which does nothing before
 * SIGQUIT. For one thread. It ends the process that it started by its id.
 */
final class MeasuredRouter implements AutoCloseable {
    private static final String OPTIONS_FILE = "@deploy/java.options";
    private static final Duration START_WITHIN = Duration.ofSeconds(60);
    private static final Duration HEAP_WITHIN = Duration.ofSeconds(30);

    private final Watchdog watchdog;
    private final ServerFarm farm;
    private final Discovery discovery = new Discovery();
    private final ByteRelay relay;
    private final Path log;
    private final RouterProc process;
    private final ClientCrowd crowd;
    private final Start start;

    /**
     * How a start went.
     *
     * @param millis from the start of the process to the first answer to an empty query
     * @param processorMillis the processor time that the process had used then
     * @param bytesIn from discovery until then, HTTP's heads included
     * @param listBytes of the whole list as JSON
     */
    record Start(double millis, long processorMillis, long bytesIn, long listBytes) {}

    /**
     * Starts everything and waits until the router has answered one client's empty query.
     *
     * @param population the servers before which it stands
     * @param sockets its limit on descriptors
     * @param listKnown whether its configuration holds the list already, as the platform's does
     * @param dir where its configuration and log go
     */
    MeasuredRouter(Population population, int sockets, boolean listKnown, Path dir) throws IOException {
        RunLine run = withHistogram(RunLine.find(Path.of(System.getProperty("stoatrill.root", ""))));
        Files.createDirectories(dir);
        watchdog = new Watchdog();
        farm = new ServerFarm(population);
        List<InetSocketAddress> addresses = farm.addresses();
        for (int server = 0; server < population.servers(); server++) {
            discovery.show(RouterConfig.entry(server, population, addresses.get(server)));
        }
        relay = new ByteRelay(discovery.address());
        String list = discovery.known();
        Path config = dir.resolve("router.json");
        Files.writeString(config, RouterConfig.json(relay.address(), sockets, listKnown ? list : null));
        log = dir.resolve("router.log");
        long began = System.nanoTime();
        process = new RouterProc(run, "measured", config, log);
        watchdog.started(process.pid());
        crowd = new ClientCrowd(awaitPort());
        if (!crowd.connect(1, START_WITHIN) || crowd.open() != 1) {
            close();
            throw new IOException("the router did not answer its first client; its log is " + log);
        }
        double millis = (System.nanoTime() - began) / 1e6;
        start = new Start(
                millis, processor().millis(), relay.fromTarget(), list.getBytes(StandardCharsets.UTF_8).length);
    }

    private static RunLine withHistogram(RunLine run) throws IOException {
        if (!run.command().contains(OPTIONS_FILE)) {
            throw new IOException("the run line does not name " + OPTIONS_FILE + ": " + run.command());
        }
        return new RunLine(run.root(), run.command().replace(OPTIONS_FILE, OPTIONS_FILE + " " + LiveHeap.JVM_OPTION));
    }

    private int awaitPort() throws IOException {
        try {
            return process.await();
        } catch (IOException e) {
            process.close();
            watchdog.close();
            throw e;
        }
    }

    Start start() {
        return start;
    }

    ClientCrowd crowd() {
        return crowd;
    }

    ServerFarm farm() {
        return farm;
    }

    ByteRelay relay() {
        return relay;
    }

    long pid() {
        return process.pid();
    }

    ProcessMemory memory() throws IOException {
        return ProcessMemory.of(process.pid());
    }

    ProcessorTime processor() throws IOException {
        return ProcessorTime.of(process.pid());
    }

    /** Makes the router collect all garbage and tells what is left. The router stands still meanwhile. */
    LiveHeap liveHeap() throws IOException {
        int before = log().length();
        process.signal("QUIT");
        long until = System.nanoTime() + HEAP_WITHIN.toNanos();
        Optional<LiveHeap> heap = Optional.empty();
        while (heap.isEmpty()) {
            if (!process.alive() || System.nanoTime() > until) {
                throw new IOException("the router printed no class histogram; its log is " + log);
            }
            crowd.rest(Duration.ofMillis(10));
            heap = LiveHeap.parseLast(log().substring(before));
        }
        return heap.get();
    }

    private String log() throws IOException {
        return Files.readString(log, StandardCharsets.UTF_8);
    }

    @Override
    public void close() throws IOException {
        crowd.close();
        process.close();
        watchdog.ended(process.pid());
        watchdog.close();
        relay.close();
        discovery.close();
        farm.close();
    }
}
