package stoatrill.standins.fleet;

import java.util.Map;
import java.util.TreeMap;

/** What one router costs discovery: calls, bytes over its connections, processor time. Used by one thread. */
final class CallerCounts {
    private long calls;
    private long wholeLists;
    private long bytesIn;
    private long bytesOut;
    private long cpuNanos;
    private long newestTold;
    /** When each version, or a newer one, was first written out whole to this caller; ns of the monotonic clock. */
    private final TreeMap<Long, Long> toldAt = new TreeMap<>();

    void asked(long bytes) {
        calls++;
        bytesIn += bytes;
    }

    void answered(boolean whole, long bytes) {
        wholeLists += whole ? 1 : 0;
        bytesOut += bytes;
    }

    void worked(long nanos) {
        cpuNanos += nanos;
    }

    void told(long version, long now) {
        if (version > newestTold) {
            newestTold = version;
            toldAt.put(version, now);
        }
    }

    /** When it was first told of a version or a newer one; -1 if it was not. */
    long toldAt(long version) {
        Map.Entry<Long, Long> first = toldAt.ceilingEntry(version);
        return first == null ? -1 : first.getValue();
    }

    DiscoveryCounts.Caller view(String name) {
        return new DiscoveryCounts.Caller(name, calls, wholeLists, bytesIn, bytesOut, cpuNanos);
    }
}
