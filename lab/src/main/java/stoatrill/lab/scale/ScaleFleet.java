package stoatrill.lab.scale;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import stoatrill.lab.rig.RunLine;
import stoatrill.lab.scale.hollow.HollowCounts;
import stoatrill.lab.scale.hollow.RouterConfig;
import stoatrill.standins.fleet.DiscoveryCounts;
import stoatrill.standins.fleet.DiscoveryReply;

/**
 * A running scale test: discovery, hollow routers in several processes, and real routers beside them. Used by one
 * thread.
 */
public final class ScaleFleet implements AutoCloseable {

    /** A real router: its process, and the name under which discovery knows it. */
    private record Real(Process process, String caller) {}

    private final Sizes sizes;
    private final Path folder;
    private final Processes processes;
    private final Child discovery;
    private final int port;
    private final List<Child> hollow = new ArrayList<>();
    private final List<Real> real = new ArrayList<>();
    private final long emptyHeap;

    /** Starts discovery and the processes of the hollow routers; no router is up before {@link #start}. */
    public ScaleFleet(Sizes sizes, Path folder) throws IOException {
        this.sizes = sizes;
        this.folder = Files.createDirectories(folder);
        this.processes = new Processes(folder);
        try {
            discovery = processes.discovery(sizes);
            port = discovery.ask("listen", DiscoveryReply.Listens.class).port();
            for (int first = 0; first < sizes.routers(); first += sizes.perProcess()) {
                int count = Math.min(sizes.perProcess(), sizes.routers() - first);
                hollow.add(processes.hollow(sizes, port, first, count));
            }
            emptyHeap = heap();
        } catch (IOException | RuntimeException e) {
            processes.close();
            throw e;
        }
    }

    /** Starts all hollow routers that are not up, at once. Returns when the command went out. */
    public long start() throws IOException {
        long at = System.nanoTime();
        tellHollow("start");
        return at;
    }

    /** Starts the real routers, each of which calls discovery at a port of its own. */
    public void startReal() throws IOException {
        RunLine run = RunLine.find(Path.of(System.getProperty("stoatrill.root", "")));
        for (int i = 0; i < sizes.realRouters(); i++) {
            int number = sizes.routers() + i;
            int own = discovery.ask("listen", DiscoveryReply.Listens.class).port();
            String json =
                    RouterConfig.json(number, sizes.routers() + sizes.realRouters(), sizes.zones(), own, sizes.seed());
            Path config = Files.writeString(folder.resolve("real" + i + ".json"), json, StandardCharsets.UTF_8);
            Process process = processes.router(run, "real" + i, config.toAbsolutePath());
            real.add(new Real(process, "127.0.0.1:" + own));
        }
    }

    /**
     * Has discovery plan a change of the list: {@code drain}, {@code primary 3}, {@code replace 40}, {@code zone-lost
     * 0}. All hollow routers that are up wait for it from now on; {@link #show} shows it.
     */
    public void plan(String change) throws IOException {
        String entries = discovery.ask(change, DiscoveryReply.Planned.class).entries().stream()
                .map(entry -> entry.uid() + ":" + entry.state() + ":" + (entry.primary() ? "writer" : "reader"))
                .collect(Collectors.joining(","));
        tellHollow("await " + entries);
    }

    /** Has discovery show what was planned. */
    public DiscoveryReply.Shown show() throws IOException {
        return discovery.ask("show", DiscoveryReply.Shown.class);
    }

    /** Has discovery go away or come back ({@code away}, {@code back}). Returns when that was done. */
    public long discovery(String command) throws IOException {
        return discovery.ask(command, DiscoveryReply.Done.class).atNanos();
    }

    /** One more port of discovery. */
    int listen() throws IOException {
        return discovery.ask("listen", DiscoveryReply.Listens.class).port();
    }

    /** What discovery counted; its peaks begin anew. */
    public DiscoveryCounts discoveryCounts() throws IOException {
        return discovery.ask("counts", DiscoveryCounts.class);
    }

    /** When discovery first told each caller of a version or a newer one. */
    List<DiscoveryReply.ToldCaller> told(long version) throws IOException {
        return discovery.ask("told " + version, DiscoveryReply.Told.class).callers();
    }

    /** Sends a command to all processes of hollow routers and waits until each has carried it out. */
    public void tellHollow(String command) throws IOException {
        askHollow(command, HollowCounts.Done.class);
    }

    private <T> List<T> askHollow(String command, Class<T> type) throws IOException {
        for (Child child : hollow) {
            child.send(command);
        }
        List<T> answers = new ArrayList<>();
        for (Child child : hollow) {
            answers.add(child.answer(type));
        }
        return answers;
    }

    /** What the hollow routers counted, by process; their peaks begin anew. */
    public List<HollowCounts> hollowCounts() throws IOException {
        return askHollow("counts", HollowCounts.class);
    }

    /** When each hollow router knew what it was to wait for, in order of their numbers; -1 where it does not yet. */
    public List<Long> known() throws IOException {
        List<Long> all = new ArrayList<>();
        askHollow("known", HollowCounts.Known.class).forEach(answer -> all.addAll(answer.atNanos()));
        return all;
    }

    /** How many hollow routers are up and do not know yet what they are to wait for. */
    public long missing() throws IOException {
        return askHollow("known", HollowCounts.Known.class).stream()
                .mapToLong(HollowCounts.Known::missing)
                .sum();
    }

    /** Bytes of heap in use over all processes of hollow routers, after a full collection in each. */
    long heap() throws IOException {
        return askHollow("heap", HollowCounts.Heap.class).stream()
                .mapToLong(HollowCounts.Heap::usedBytes)
                .sum();
    }

    /** As {@link #heap} was when no router was up. */
    long emptyHeap() {
        return emptyHeap;
    }

    /** The names under which discovery knows the real routers. */
    List<String> realCallers() {
        return real.stream().map(Real::caller).toList();
    }

    /** Processor time that each real router has used since its start, in nanoseconds. */
    List<Long> realCpuNanos() {
        return real.stream()
                .map(one -> one.process()
                        .toHandle()
                        .info()
                        .totalCpuDuration()
                        .orElse(Duration.ZERO)
                        .toNanos())
                .toList();
    }

    /** Ends every process, by its id. */
    @Override
    public void close() {
        hollow.forEach(Child::close);
        discovery.close();
        for (Real one : real) {
            one.process().destroy();
        }
        processes.close();
    }
}
