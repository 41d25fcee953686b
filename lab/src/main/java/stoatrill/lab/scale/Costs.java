package stoatrill.lab.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToLongFunction;
import stoatrill.lab.scale.hollow.HollowCounts;
import stoatrill.standins.fleet.DiscoveryCounts;

/** What control cost between two snapshots, at a router and at discovery. */
record Costs(Snapshot from, Snapshot to) {
    private static final double NANOS = 1e9;
    private static final double PER_CENT = 100;

    private double seconds() {
        return (to.atNanos() - from.atNanos()) / NANOS;
    }

    private double hollow(ToLongFunction<HollowCounts> count) {
        return (double) (to.sum(count) - from.sum(count));
    }

    /** A count for each hollow router and second. */
    private double rate(ToLongFunction<HollowCounts> count) {
        return hollow(count) / seconds() / Math.max(1, to.routers());
    }

    private double discovery(ToLongFunction<DiscoveryCounts.Caller> count) {
        return (double) (to.atDiscovery(count) - from.atDiscovery(count));
    }

    private double real(ToLongFunction<DiscoveryCounts.Caller> count) {
        return (to.ofReal(count) - from.ofReal(count))
                / seconds()
                / Math.max(1, to.real().size());
    }

    /** All of it as figures. */
    List<Figure> figures() {
        List<Figure> all = new ArrayList<>(atRouters());
        all.addAll(atDiscovery());
        if (!to.real().isEmpty()) {
            all.addAll(atRealRouters());
        }
        return all;
    }

    private List<Figure> atRouters() {
        return List.of(
                new Figure("measured for", "s", seconds()),
                new Figure("router: control bytes in", "B/s", rate(HollowCounts::bytesIn)),
                new Figure("router: control bytes out", "B/s", rate(HollowCounts::bytesOut)),
                new Figure("router: bytes in within its worst second", "B", (double)
                        to.most(HollowCounts::peakBytesInOfARouter)),
                new Figure("router: list calls", "1/s", rate(HollowCounts::calls)),
                new Figure("router: connects to discovery", "1/s", rate(HollowCounts::connects)),
                new Figure("router: whole lists", "lists", hollow(HollowCounts::wholeLists) / to.routers()),
                new Figure("router: failed calls", "calls", hollow(HollowCounts::failed) / to.routers()),
                new Figure("router: silent watches", "watches", hollow(HollowCounts::silent) / to.routers()),
                new Figure("router: processor, carrying thread", "% of a core", percent(HollowCounts::threadCpuNanos)),
                new Figure("router: processor, whole process", "% of a core", percent(HollowCounts::processCpuNanos)),
                new Figure("router: timer wake-ups", "1/s", rate(HollowCounts::wakes)),
                new Figure("router: statements", "1/s", rate(HollowCounts::statements)),
                new Figure("router: probes", "1/s", rate(HollowCounts::probes)),
                new Figure("router: connections opened to servers", "1/s", rate(HollowCounts::serverConnections)));
    }

    private double percent(ToLongFunction<HollowCounts> nanos) {
        return rate(nanos) / NANOS * PER_CENT;
    }

    private List<Figure> atDiscovery() {
        DiscoveryCounts counts = to.discovery();
        double cpu = (double) (counts.cpuNanos() - from.discovery().cpuNanos());
        double calls = discovery(DiscoveryCounts.Caller::calls);
        return List.of(
                new Figure("discovery: calls", "1/s", calls / seconds()),
                new Figure("discovery: calls in its worst second", "calls", (double) counts.peakCalls()),
                new Figure("discovery: bytes in", "B/s", discovery(DiscoveryCounts.Caller::bytesIn) / seconds()),
                new Figure("discovery: bytes out", "B/s", discovery(DiscoveryCounts.Caller::bytesOut) / seconds()),
                new Figure("discovery: bytes out in its worst second", "B", (double) counts.peakBytesOut()),
                new Figure("discovery: whole lists", "lists", discovery(DiscoveryCounts.Caller::wholeLists)),
                new Figure("discovery: processor", "% of a core", cpu / NANOS / seconds() * PER_CENT),
                new Figure("discovery: processor a call", "us", calls == 0 ? 0 : cpu / calls / 1e3),
                new Figure("discovery: longest queue", "calls", counts.longestQueue()),
                new Figure("discovery: longest wait in the queue", "ms", counts.longestWaitNanos() / 1e6));
    }

    private List<Figure> atRealRouters() {
        double cpu =
                (double) (to.realCpuNanos() - from.realCpuNanos()) / to.real().size();
        return List.of(
                new Figure("real router: control bytes in", "B/s", real(DiscoveryCounts.Caller::bytesOut)),
                new Figure("real router: control bytes out", "B/s", real(DiscoveryCounts.Caller::bytesIn)),
                new Figure("real router: list calls", "1/s", real(DiscoveryCounts.Caller::calls)),
                new Figure("real router: processor, whole process", "% of a core", cpu / NANOS / seconds() * PER_CENT));
    }
}
