package stoatrill.lab.scale;

import java.io.IOException;
import java.util.List;
import java.util.function.ToLongFunction;
import stoatrill.lab.scale.hollow.HollowCounts;
import stoatrill.standins.fleet.DiscoveryCounts;

/**
 * All counts of a fleet at about the same time. Taking one begins the peaks anew, so those of the later of two
 * snapshots are those of the time between them.
 */
record Snapshot(
        long atNanos, List<HollowCounts> hollow, DiscoveryCounts discovery, List<String> real, List<Long> realCpu) {

    static Snapshot take(ScaleFleet fleet) throws IOException {
        List<HollowCounts> hollow = fleet.hollowCounts();
        DiscoveryCounts discovery = fleet.discoveryCounts();
        return new Snapshot(System.nanoTime(), hollow, discovery, fleet.realCallers(), fleet.realCpuNanos());
    }

    /** A count over all hollow routers. */
    long sum(ToLongFunction<HollowCounts> count) {
        return hollow.stream().mapToLong(count).sum();
    }

    /** The largest of a count over the processes of hollow routers. */
    long most(ToLongFunction<HollowCounts> count) {
        return hollow.stream().mapToLong(count).max().orElse(0);
    }

    /** How many hollow routers are up. */
    long routers() {
        return sum(HollowCounts::routers);
    }

    /** A count of discovery's over all its callers. */
    long atDiscovery(ToLongFunction<DiscoveryCounts.Caller> count) {
        return discovery.callers().stream().mapToLong(count).sum();
    }

    /** A count of discovery's over the real routers alone. */
    long ofReal(ToLongFunction<DiscoveryCounts.Caller> count) {
        return discovery.callers().stream()
                .filter(caller -> real.contains(caller.name()))
                .mapToLong(count)
                .sum();
    }

    /** Processor time of all real routers, in nanoseconds. */
    long realCpuNanos() {
        return realCpu.stream().mapToLong(Long::longValue).sum();
    }
}
