package stoatrill.lab.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import stoatrill.Gateway;
import stoatrill.Gateway.Consistency;
import stoatrill.Gateway.ListEntry;
import stoatrill.Gateway.ListKind;
import stoatrill.Gateway.ListedState;
import stoatrill.Gateway.Report;
import stoatrill.Gateway.RequestClass;
import stoatrill.Gateway.Result;
import stoatrill.Gateway.Role;
import stoatrill.Gateway.Settings;
import stoatrill.standins.model.Seeds;

/**
 * What the plain policies share: the list, who is primary by the list and by answers, positions by answers, and
 * one try after another where the class permits it. A subclass only chooses where a read goes.
 */
abstract class PlainPolicy implements Gateway.Events {

    /** A server as the list and its answers show it. */
    static final class Server {
        final long id;
        int zone;
        int group;
        boolean usable;
        long position = Gateway.NO_POSITION;
        int inFlight;

        Server(long id) {
            this.id = id;
        }
    }

    private static final class Open {
        final RequestClass kind;
        final int group;
        final long deadline;
        final Set<Long> tried = new HashSet<>();
        int sent;

        Open(RequestClass kind, int group, long deadline) {
            this.kind = kind;
            this.group = group;
            this.deadline = deadline;
        }
    }

    private static final long RETRY_LIST = 500_000_000L;
    private static final long LIST = Long.MIN_VALUE;

    final Settings settings;
    final UniformRandomProvider random;
    final Policy.Truth truth;
    long now;
    private final Gateway out;
    private final Map<Long, Server> servers = new HashMap<>();
    private final Map<Integer, List<Server>> groups = new HashMap<>();
    private final Map<Integer, Server> primaries = new HashMap<>();
    private final Map<Long, Open> open = new HashMap<>();
    private boolean started;

    PlainPolicy(Gateway out, Policy.Sight sight) {
        this.out = out;
        this.settings = sight.settings();
        this.truth = sight.truth();
        this.random = Seeds.source(sight.seed(), "policy");
    }

    /** Where a read goes, of those it may go to and was not tried at; null for the primary. */
    abstract Server choose(RequestClass kind, List<Server> fit, Server primary);

    /** Whether a replica is taken to be new enough. */
    boolean fit(Server s, long oldest) {
        return s.position >= oldest;
    }

    /** Whether a request is better refused than sent there. */
    boolean tooLate(RequestClass kind, Server to) {
        return false;
    }

    Server primary(int group, List<Server> members) {
        return primaries.get(group);
    }

    private void route(long id, Open r) {
        List<Server> members = groups.getOrDefault(r.group, List.of());
        Server primary = primary(r.group, members);
        Server to = null;
        if (r.kind.consistency() == Consistency.ANY || r.kind.consistency() == Consistency.BOUNDED) {
            long oldest = r.kind.consistency() == Consistency.BOUNDED ? now - r.kind.maxStaleness() : Long.MIN_VALUE;
            List<Server> fit = new ArrayList<>();
            for (Server s : members) {
                if (s.usable
                        && s != primary
                        && !r.tried.contains(s.id)
                        && (oldest == Long.MIN_VALUE || fit(s, oldest))) {
                    fit.add(s);
                }
            }
            to = choose(
                    r.kind, fit, primary != null && primary.usable && !r.tried.contains(primary.id) ? primary : null);
        } else if (primary != null && primary.usable) {
            to = primary;
        }
        if (to == null && primary != null && primary.usable && !r.tried.contains(primary.id)) {
            to = primary;
        }
        if (to == null || r.sent >= settings.limits().maxAttempts() || now >= r.deadline || tooLate(r.kind, to)) {
            open.remove(id);
            out.refuse(id, 0);
            return;
        }
        r.sent++;
        r.tried.add(to.id);
        to.inFlight++;
        out.sendAttempt(id, to.id, 0);
    }

    @Override
    public void onServerList(long at, ListKind kind, List<ListEntry> list) {
        now = at;
        if (!started) {
            started = true;
            out.watchServerList(true);
        }
        if (kind == ListKind.SILENT) {
            return;
        }
        if (kind == ListKind.FAILED) {
            out.startTimer(RETRY_LIST, LIST);
            return;
        }
        for (ListEntry m : list) {
            Server s = servers.computeIfAbsent(m.server(), Server::new);
            s.zone = m.zone();
            s.group = m.group();
            s.usable = m.state() == ListedState.READY;
            List<Server> group = groups.computeIfAbsent(m.group(), g -> new ArrayList<>());
            if (!group.contains(s)) {
                group.add(s);
            }
            if (m.isPrimary() && s.usable) {
                primaries.put(m.group(), s);
            }
        }
        if (kind == ListKind.FULL) {
            Set<Long> listed = new HashSet<>();
            list.forEach(m -> listed.add(m.server()));
            servers.values().forEach(s -> s.usable &= listed.contains(s.id));
        }
    }

    @Override
    public void onRequest(
            long at, long id, long key, int group, long deadline, long tokenAge, boolean repeat, int kind, int tenant) {
        now = at;
        Open r = new Open(settings.classes().get(kind), group, deadline);
        open.put(id, r);
        out.startTimer(Math.max(0, deadline - now - settings.tick()), id);
        route(id, r);
    }

    @Override
    public void onAttemptEnded(
            long at,
            long id,
            int attempt,
            long server,
            Result result,
            long took,
            boolean over,
            long position,
            Role role,
            Report report) {
        now = at;
        Server s = servers.get(server);
        if (s != null) {
            s.inFlight = Math.max(0, s.inFlight - 1);
            s.position = Math.max(s.position, position);
            if (role == Role.PRIMARY) {
                primaries.put(s.group, s);
            } else if (role == Role.REPLICA) {
                primaries.remove(s.group, s);
            }
        }
        Open r = open.get(id);
        if (over || r == null) {
            open.remove(id);
        } else if (result.isCertain || r.kind.idempotency() == Gateway.Idempotency.SAFE) {
            route(id, r);
        } else {
            open.remove(id);
            out.fail(id);
        }
    }

    @Override
    public void onTimer(long at, long token) {
        now = at;
        if (token == LIST) {
            out.watchServerList(true);
            return;
        }
        Open r = open.remove(token);
        if (r != null) {
            if (r.sent == 0 || r.kind.idempotency() == Gateway.Idempotency.SAFE) {
                out.refuse(token, 0);
            } else {
                out.fail(token);
            }
        }
    }

    @Override
    public void onClientLeft(long at, long id) {
        open.remove(id);
    }

    @Override
    public void onDiscoveryMoved(long at) {
        out.watchServerList(true);
    }

    @Override
    public void onAnswerBegun(long at, long id, int attempt, long server) {}

    @Override
    public void onProbeEnded(long at, long server, long took, Result result, Report report) {}

    @Override
    public void onPeerMessage(long at, int from, byte[] message) {}
}
