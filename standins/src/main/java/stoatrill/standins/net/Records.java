package stoatrill.standins.net;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What a group has stored, by key with the time of each commit, so that a replica shows what it has applied. */
final class Records {
    private static final int VERSIONS = 32;
    private static final int KEYS = 100_000;

    @SuppressWarnings("ArrayRecordComponent") // keeps a value's bytes; never compared
    private record Version(long commit, byte[] value) {}

    private final Map<String, List<Version>> byKey = new HashMap<>();
    private final Map<String, Integer> ran = new HashMap<>();
    private final Map<String, Long> ages = new HashMap<>();

    /** Counts one write that ran under the client's request id, so that one that ran twice can be found. */
    void ran(String id) {
        ran.merge(id, 1, Integer::sum);
    }

    /** The writes that ran, by request id, with how often each ran. */
    Map<String, Integer> ran() {
        return Map.copyOf(ran);
    }

    /** Notes how old the data was, in milliseconds, that a node held when this read reached it; the oldest counts. */
    void read(String id, long age) {
        ages.merge(id, age, Math::max);
    }

    /** The bounded reads that were answered, by request id, with the age of the data in milliseconds. */
    Map<String, Long> ages() {
        return Map.copyOf(ages);
    }

    void put(String key, long commit, byte[] value) {
        if (byKey.size() >= KEYS && !byKey.containsKey(key)) {
            byKey.clear(); // a stand-in that runs for days must not fill its memory
        }
        List<Version> versions = byKey.computeIfAbsent(key, k -> new ArrayList<>());
        versions.add(new Version(commit, value));
        if (versions.size() > VERSIONS) {
            versions.remove(0);
        }
    }

    /** The newest value that was committed up to a position; a key never written has a value of its own. */
    byte[] get(String key, long position) {
        byte[] found = ("reading " + key).getBytes(StandardCharsets.UTF_8);
        for (Version v : byKey.getOrDefault(key, List.of())) {
            if (v.commit() <= position) {
                found = v.value();
            }
        }
        return found;
    }
}
