package stoatrill.standins.fleet;

import java.util.List;

/**
 * What discovery has done since its start, and its peaks since they were last asked for. Bytes are those of HTTP,
 * without what TCP and IP add.
 *
 * @param atNanos when this was taken, on the machine's monotonic clock
 * @param cpuNanos processor time of the thread that serves
 * @param peakCalls the most calls that came in within a second
 * @param peakBytesOut the most bytes that were written out within a second
 * @param longestQueue the most calls that were due an answer at the same time
 * @param longestWaitNanos the longest that a call which was due waited for its answer to be begun
 * @param callers each router that has called, by the name in its Host header
 */
public record DiscoveryCounts(
        long atNanos,
        long cpuNanos,
        long peakCalls,
        long peakBytesOut,
        int longestQueue,
        long longestWaitNanos,
        List<Caller> callers) {

    /** What one caller has cost. */
    public record Caller(String name, long calls, long wholeLists, long bytesIn, long bytesOut, long cpuNanos) {}
}
