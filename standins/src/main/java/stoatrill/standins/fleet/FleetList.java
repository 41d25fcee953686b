package stoatrill.standins.fleet;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import stoatrill.standins.fleet.FleetServer.State;

/**
 * The list of a fleet's servers with its versions: every change, of one entry or many, is one version. Answers are
 * rendered once for each version asked from, and shared. Used by one thread.
 */
public final class FleetList {
    private static final long FIRST_VERSION = 1;

    private final int zones;
    private final Map<String, FleetServer> shown = new LinkedHashMap<>();
    private final Map<String, Long> changedAt = new HashMap<>();
    private final Map<Long, byte[]> rendered = new HashMap<>();
    private long version = FIRST_VERSION;

    /**
     * A list of servers that are all ready. Group {@code g} has every {@code groups}-th server, and its members lie in
     * successive zones; the first is its primary.
     *
     * @param servers how many servers, at least {@code groups}
     * @param groups how many groups, at least 1
     * @param zones over how many zones, at least 1
     */
    public FleetList(int servers, int groups, int zones) {
        if (groups < 1 || servers < groups || zones < 1) {
            throw new IllegalArgumentException("wants 1 zone and 1 group at least, and a server for each group");
        }
        this.zones = zones;
        for (int i = 0; i < servers; i++) {
            int group = i % groups;
            int place = i / groups;
            FleetServer server = new FleetServer(i, 0, (group + place) % zones, group, State.READY, place == 0, 0);
            shown.put(server.uid(), server);
            changedAt.put(server.uid(), version);
        }
    }

    /** The newest version. */
    public long version() {
        return version;
    }

    /** The servers of which the list speaks, those that are gone too. */
    public List<FleetServer> servers() {
        return List.copyOf(shown.values());
    }

    /** The whole list, in discovery's form. */
    public byte[] whole() {
        return rendered.computeIfAbsent(-1L, any -> render(true, present()));
    }

    /** What has changed since a version, in discovery's form; it may be nothing. */
    public byte[] since(long from) {
        return rendered.computeIfAbsent(
                from,
                any -> render(
                        false,
                        shown.values().stream()
                                .filter(server -> changedAt.get(server.uid()) > from)
                                .toList()));
    }

    /** Plans that the first replica that is ready drains. */
    public List<FleetServer> drain() {
        return List.copyOf(ready().stream()
                .filter(server -> !server.primary())
                .limit(1)
                .map(server -> server.in(State.DRAINING))
                .toList());
    }

    /** Plans that another member of a group becomes its primary. */
    public List<FleetServer> movePrimary(int group) {
        List<FleetServer> members =
                ready().stream().filter(server -> server.group() == group).toList();
        FleetServer next = members.stream()
                .filter(server -> !server.primary())
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("group " + group + " has no replica"));
        List<FleetServer> changes = new ArrayList<>();
        members.stream().filter(FleetServer::primary).forEach(old -> changes.add(old.asPrimary(false)));
        changes.add(next.asPrimary(true));
        return changes;
    }

    /** Plans that a rack's servers, the first {@code count} that are ready, are gone and replaced by new ones. */
    public List<FleetServer> replace(int count, long bootedAt) {
        List<FleetServer> changes = new ArrayList<>();
        for (FleetServer old : ready().subList(0, Math.min(count, ready().size()))) {
            changes.add(old.in(State.GONE));
            changes.add(old.replacement(bootedAt));
        }
        return changes;
    }

    /** Plans that all servers of a zone are gone, or that those that were are back, restarted. */
    public List<FleetServer> zone(int zone, boolean present, long bootedAt) {
        return List.copyOf(shown.values().stream()
                .filter(server -> server.zone() == zone % zones && (server.state() == State.GONE) == present)
                .filter(server ->
                        !shown.containsKey(server.replacement(bootedAt).uid()))
                .map(server -> present ? server.restarted(bootedAt) : server.in(State.GONE))
                .toList());
    }

    private List<FleetServer> ready() {
        return shown.values().stream()
                .filter(server -> server.state() == State.READY)
                .toList();
    }

    private List<FleetServer> present() {
        return shown.values().stream()
                .filter(server -> server.state() != State.GONE)
                .toList();
    }

    /** Shows what was planned as the next version, all at once. Returns that version. */
    public long show(List<FleetServer> changes) {
        version++;
        rendered.clear();
        for (FleetServer server : changes) {
            shown.put(server.uid(), server);
            changedAt.put(server.uid(), version);
        }
        return version;
    }

    private byte[] render(boolean all, List<FleetServer> servers) {
        StringBuilder json = new StringBuilder(64 + 200 * servers.size());
        json.append("{\"rev\":").append(version).append(",\"all\":").append(all).append(",\"targets\":[");
        for (int i = 0; i < servers.size(); i++) {
            json.append(i == 0 ? "" : ",").append(servers.get(i).json());
        }
        return json.append("]}").toString().getBytes(StandardCharsets.UTF_8);
    }
}
