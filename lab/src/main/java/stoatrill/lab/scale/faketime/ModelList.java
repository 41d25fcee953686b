package stoatrill.lab.scale.faketime;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;

/**
 * The list of servers as discovery words it, by the protocol's example entry. A change's version is also what its
 * entry shows as {@code boot_ms}, so that who reads an entry can tell which changes it has.
 */
final class ModelList {
    /** The version of the list before any change; each change adds one. */
    static final long FIRST_VERSION = 1_767_225_600_000L;

    private final int servers;
    private final TreeMap<Long, Integer> changes = new TreeMap<>();
    private long version = FIRST_VERSION;
    private byte[] whole;
    private long wholeOf = -1;

    ModelList(int servers) {
        this.servers = servers;
    }

    long version() {
        return version;
    }

    /** One server has changed. */
    void change(int server) {
        version++;
        changes.put(version, server);
    }

    /** The body of the whole list; not to be written to. */
    byte[] whole() {
        if (wholeOf != version) {
            whole = wordWhole();
            wholeOf = version;
        }
        return whole;
    }

    private byte[] wordWhole() {
        long[] changedAt = new long[servers];
        changes.forEach((at, server) -> changedAt[server] = at);
        List<String> entries = new ArrayList<>();
        for (int server = 0; server < servers; server++) {
            entries.add(entry(server, changedAt[server]));
        }
        return body(true, entries);
    }

    /** The body of what has changed after a version, maybe nothing. */
    byte[] changesAfter(long from) {
        TreeMap<Integer, Long> latest = new TreeMap<>();
        changes.tailMap(from, false).forEach((at, server) -> latest.put(server, at));
        List<String> entries = new ArrayList<>();
        latest.forEach((server, at) -> entries.add(entry(server, at)));
        return body(false, entries);
    }

    private byte[] body(boolean all, List<String> entries) {
        return ("{\"rev\":" + version + ",\"all\":" + all + ",\"targets\":[" + String.join(",", entries) + "]}")
                .getBytes(StandardCharsets.US_ASCII);
    }

    private static String entry(int server, long changedAt) {
        return "\n  {\"uid\":\"s-" + String.format(Locale.ROOT, "%08x", server * 0x9e3779b9) + "\",\"endpoint\":\"10.1."
                + (server >> 8) + "." + (server & 0xff) + ":5433\",\"az\":\"z" + server % DesignSize.ZONES
                + "\",\"model\":\"m2\",\"pod_group\":" + server % DesignSize.GROUPS
                + ",\"state\":\"Ready\",\"capacity_hint\":1.0,\"boot_ms\":" + changedAt + "}";
    }
}
