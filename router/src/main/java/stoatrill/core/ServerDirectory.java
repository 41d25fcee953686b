package stoatrill.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import stoatrill.Gateway.ListEntry;
import stoatrill.Gateway.ListKind;
import stoatrill.Gateway.ListedState;

/**
 * The servers that the server list has named: their ids, addresses and groups, and since when each has been leaving. It
 * converts discovery's entries to the module's members and removes servers that are gone. Part of the reducer's state
 * and used by its thread alone. Times are in nanoseconds of the reducer's clock.
 */
final class ServerDirectory {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final ServerPool pool;
    private final Clocks clocks;
    private final Reducer.Setup setup;
    private final Consumer<String> log;
    private final Map<String, Server> serversByUid = new HashMap<>();
    private final Map<Long, Server> serversById = new HashMap<>();
    private final Set<Integer> knownGroups = new HashSet<>();
    private long nextServerId;
    /**
     * Whether the next news may have counted as told before this router got it. This is so at the start, after a
     * failed or silent call and after a move.
     */
    private boolean nextNewsMayBeOld = true;

    /** Whether discovery has told a list, so that servers named from now on are new to the fleet. */
    private boolean isListTold;

    /** {@code log} receives a line for each change of a server's state or start that the list shows. */
    ServerDirectory(ServerPool pool, Clocks clocks, Reducer.Setup setup, Consumer<String> log) {
        this.log = log;
        this.pool = pool;
        this.clocks = clocks;
        this.setup = setup;
    }

    /** Applies a list, changes to it or the failure to get either; returns the entries as the module's members. */
    List<ListEntry> update(long now, ListKind kind, List<ServerEntry> entries) {
        List<ListEntry> members = new ArrayList<>(entries.size());
        for (ServerEntry entry : entries) {
            members.add(update(now, entry));
        }
        if (kind == ListKind.FULL) {
            unlistMissing(now, entries);
        }
        isListTold |= kind == ListKind.DELTA || kind == ListKind.FULL;
        nextNewsMayBeOld = switch (kind) {
            case SILENT, FAILED -> true;
            case CACHED -> !setup.settings().listOnRequest();
            case DELTA, FULL -> false;
        };
        return members;
    }

    private ListEntry update(long now, ServerEntry entry) {
        Server server = serversByUid.computeIfAbsent(entry.uid(), uid -> add(entry));
        logChange(now, server, entry);
        knownGroups.add(entry.group());
        if (!server.endpoint.equals(entry.endpoint())) {
            server.endpoint = entry.endpoint();
            pool.closeIdleConnections(now, server);
        }
        server.isListed = entry.state() != ListedState.GONE;
        setLeaving(now, server, entry.state() == ListedState.DRAINING || (!server.isListed && isRemovalBinding()));
        if (!server.isListed) {
            pool.closeIdleConnections(now, server);
        }
        recordStart(now, server, entry.startedAtMillis());
        return new ListEntry(
                server.id,
                entry.group(),
                indexOf(setup.zones(), entry.zone()),
                indexOf(setup.models(), entry.model()),
                entry.relativeCapacity(),
                server.startedAt,
                entry.isPrimary(),
                entry.state());
    }

    /**
     * Records a start that is later than the known one. Each start is converted to this router's clock only once: the
     * difference between the clocks changes all the time, and the same start must not look like a later one.
     */
    private void recordStart(long now, Server server, long startedAtMillis) {
        if (hasRestarted(now, server, startedAtMillis)) {
            server.startedAtMillis = startedAtMillis;
            server.startedAt = clocks.startFromWallMillis(startedAtMillis, now);
        }
    }

    /** Whether the listed start is a later one, also where it is an earlier time since the clocks were set back. */
    private boolean hasRestarted(long now, Server server, long startedAtMillis) {
        if (startedAtMillis <= 0 || startedAtMillis == server.startedAtMillis) {
            return false;
        }
        return startedAtMillis > server.startedAtMillis
                || clocks.startFromWallMillis(startedAtMillis, now) > server.startedAt + Clocks.STEP_NANOS;
    }

    /**
     * Logs a change of the server's state or start. Of the servers of the first list, it logs only those that have
     * started recently.
     */
    private void logChange(long now, Server server, ServerEntry entry) {
        long age = entry.startedAtMillis() <= 0
                ? Long.MAX_VALUE
                : now - clocks.startFromWallMillis(entry.startedAtMillis(), now);
        boolean isNew = server.listedState == null;
        boolean isWorthLogging = isNew
                ? isListTold || age < setup.settings().rules().warmUpSpan()
                : hasRestarted(now, server, entry.startedAtMillis()) || server.listedState != entry.state();
        if (isWorthLogging) {
            log.accept("server " + server.id + " is " + entry.uid() + " in group " + entry.group() + ", listed "
                    + entry.state() + " after " + (isNew ? "nothing" : server.listedState)
                    + (entry.startedAtMillis() <= 0 ? ", started long ago" : ", age " + age / NANOS_PER_MILLI + " ms"));
        }
        server.listedState = entry.state();
    }

    private Server add(ServerEntry entry) {
        Server server = new Server(nextServerId++, entry.endpoint());
        serversById.put(server.id, server);
        return server;
    }

    /** Marks servers that a full list does not name as not listed. */
    private void unlistMissing(long now, List<ServerEntry> entries) {
        Set<String> listedUids = new HashSet<>();
        entries.forEach(entry -> listedUids.add(entry.uid()));
        serversByUid.forEach((uid, server) -> {
            if (!listedUids.contains(uid)) {
                if (server.isListed) {
                    log.accept("server " + server.id + " is " + uid + ", missing from the list after "
                            + server.listedState);
                }
                server.listedState = ListedState.GONE;
                server.isListed = false;
                setLeaving(now, server, server.leavingSince != Server.NOT_LEAVING || isRemovalBinding());
            }
        });
    }

    private void setLeaving(long now, Server server, boolean isLeaving) {
        if (!isLeaving) {
            server.leavingSince = Server.NOT_LEAVING;
        } else if (server.leavingSince == Server.NOT_LEAVING) {
            server.leavingSince =
                    now - (nextNewsMayBeOld ? setup.settings().rules().drainGrace() : 0);
        }
    }

    private boolean isRemovalBinding() {
        return setup.settings().rules().removalBinds();
    }

    /** Removes servers that are gone and unused, so that memory stays bounded while servers are replaced. */
    void removeGoneServers() {
        serversByUid
                .values()
                .removeIf(server -> !server.isListed && !server.isInUse() && serversById.remove(server.id) != null);
    }

    /** Handles a change of the discovery address: news from there may already have counted as told. */
    void listMoved() {
        nextNewsMayBeOld = true;
    }

    /** The server with this id; one without an endpoint if it is gone. */
    Server findServer(long id) {
        Server known = serversById.get(id);
        return known != null ? known : new Server(id, null);
    }

    /** Whether the server list has ever named a server of this group. */
    boolean knowsGroup(int group) {
        return knownGroups.contains(group);
    }

    /** The number of entries held, by uid and by id together. */
    int entryCount() {
        return serversByUid.size() + serversById.size();
    }

    private static int indexOf(List<String> names, String name) {
        return Math.max(0, names.indexOf(name));
    }
}
