package stoatrill.lab.scale.hollow;

import java.util.List;

/**
 * What the hollow routers of a process have done since its start, and their peaks since they were last asked for.
 * Bytes are those of HTTP, without what TCP and IP add.
 *
 * @param atNanos when this was taken, on the machine's monotonic clock
 * @param routers how many are up
 * @param calls calls made to discovery
 * @param connects connections opened to discovery
 * @param bytesIn bytes read from discovery
 * @param bytesOut bytes written to discovery
 * @param wholeLists lists received whole
 * @param changes answers received that bring changes, or none
 * @param silent watches that fell silent
 * @param failed calls that failed
 * @param serverConnections connections opened to modelled servers
 * @param probes probes sent to modelled servers
 * @param statements statements begun by modelled clients
 * @param served statements that were served
 * @param threadCpuNanos processor time of the thread that carries all routers
 * @param processCpuNanos processor time of the process, with compiler and collector
 * @param wakes deadlines' wake-ups of routers
 * @param peakBytesInOfARouter the most bytes that one router read within a second
 * @param brokenInvariants reducers' invariants found broken
 */
public record HollowCounts(
        long atNanos,
        int routers,
        long calls,
        long connects,
        long bytesIn,
        long bytesOut,
        long wholeLists,
        long changes,
        long silent,
        long failed,
        long serverConnections,
        long probes,
        long statements,
        long served,
        long threadCpuNanos,
        long processCpuNanos,
        long wakes,
        long peakBytesInOfARouter,
        long brokenInvariants) {

    /** A process's answer to {@code heap}: bytes in use after a full collection. */
    public record Heap(long usedBytes) {}

    /** A process's answer to {@code known}: how many routers are up, and by number when each knew, -1 if it doesn't. */
    public record Known(int routers, List<Long> atNanos) {

        /** How many of those that are up do not know yet. */
        public long missing() {
            return routers - atNanos.stream().filter(at -> at >= 0).count();
        }
    }

    /** A process's answer to a command that tells nothing else; {@code atNanos} is when it was done. */
    public record Done(long atNanos) {}
}
