package stoatrill.lab.world;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import stoatrill.Gateway.Consistency;
import stoatrill.Gateway.ListKind;
import stoatrill.Gateway.ListedState;
import stoatrill.Gateway.Result;
import stoatrill.Gateway.Role;
import stoatrill.core.Answer;
import stoatrill.core.ClientRequest;
import stoatrill.core.Clocks;
import stoatrill.core.DeadlineQueue;
import stoatrill.core.DisconnectCause;
import stoatrill.core.Effects;
import stoatrill.core.Reducer;
import stoatrill.core.ServerAnswer;
import stoatrill.core.ServerEntry;
import stoatrill.core.Statement;
import stoatrill.lab.policy.Policy;
import stoatrill.standins.model.Node;
import stoatrill.standins.model.Seeds;

/** One router: the real reducer, its connections in the model's network, and the rules checked at its edge. */
final class SimRouter implements Effects, ServiceList.Follower, Policy.Truth {
    private static final long MS = 1_000_000L;
    private static final long ANSWER_SLACK = 50 * MS;
    /** A decision holds for 2 ms while its connection comes, and positions are told in whole milliseconds. */
    private static final long STALE_SLACK = 3 * MS;

    private static final long CONNECT_TIMEOUT = 250 * MS;
    private static final long CONN_IDLE = 30_000 * MS;
    private static final int MOST_HELD = 20_000;
    private static final double SERVER_PART = 0.3;
    private static final int RESERVED = 40;
    private static final byte[] VALUE = {1};

    private static final class Conn {
        final long id;
        final Node node;
        boolean up;
        boolean closed;

        Conn(long id, Node node) {
            this.id = id;
            this.node = node;
        }
    }

    final int id;
    final int zone;
    private final World world;
    private Reducer reducer;
    private DeadlineQueue deadlines;
    private final Map<Long, Conn> conns = new LinkedHashMap<>();
    private final Map<Long, SimTry> open = new LinkedHashMap<>();
    private final ArrayDeque<Runnable> later = new ArrayDeque<>();
    private final Map<String, ServerEntry> held = new LinkedHashMap<>();
    private final Map<Integer, Long> toldOff = new HashMap<>();
    private final BitSet toldReplica = new BitSet();
    /** The node behind each number that the reducer gives, in the order in which it first heard of them. */
    private final List<Node> numbered = new ArrayList<>();

    private final Map<String, Integer> numbers = new HashMap<>();
    private long wakeAt = Long.MAX_VALUE;
    private long life;
    boolean up;
    boolean seen = true;
    private long invariants;

    SimRouter(int id, int zone, World world) {
        this.id = id;
        this.zone = zone;
        this.world = world;
    }

    // ---- Its process ----

    void start(List<ServerEntry> known) {
        long now = world.time.now();
        up = true;
        life++;
        deadlines = new DeadlineQueue();
        wakeAt = Long.MAX_VALUE;
        known.forEach(e -> held.put(e.uid(), e));
        long seed = Seeds.number(world.seed, "router" + id + "/" + life);
        Clocks clocks = new Clocks(now, now);
        int servers = (int) ((world.plan.sockets - RESERVED) * SERVER_PART);
        Reducer.Setup setup = new Reducer.Setup(
                world.settings(zone),
                world.plan.zones,
                List.of("std"),
                CONNECT_TIMEOUT,
                CONN_IDLE,
                MOST_HELD,
                servers,
                seed);
        numbered.clear();
        numbers.clear();
        reducer = world.decisions == null
                ? new Reducer(this, clocks, deadlines, setup)
                : new Reducer(
                        this,
                        clocks,
                        deadlines,
                        setup,
                        gateway -> world.decisions.apply(gateway, new Policy.Sight(setup.settings(), seed, this)));
        if (world.plan.contracts != null) {
            reducer.applyContracts(now, world.plan.contracts);
        }
        List<ServerEntry> last = List.copyOf(held.values());
        number(last);
        call(() -> reducer.onServerList(now, ListKind.CACHED, last));
    }

    private void number(List<ServerEntry> entries) {
        for (ServerEntry e : entries) {
            if (!numbers.containsKey(e.uid())) {
                numbers.put(e.uid(), numbered.size());
                numbered.add(world.node(e.endpoint()));
            }
        }
    }

    /** Its process is gone: connections are reset, and what it held is lost to its clients. */
    void kill() {
        long now = world.time.now();
        up = false;
        life++;
        countInvariants();
        for (Conn c : conns.values()) {
            c.closed = true;
            if (c.up) {
                c.node.disconnected();
            }
        }
        conns.clear();
        later.clear();
        world.list.forget(this);
        toldOff.clear();
        toldReplica.clear();
        List<SimTry> lost = List.copyOf(open.values());
        open.clear();
        for (SimTry t : lost) {
            checkLate(t, now);
            world.clients.ended(t, Tally.End.ROUTER_LOST, 0, now);
        }
    }

    private void countInvariants() {
        invariants += reducer.brokenInvariants().values().stream()
                .mapToLong(Long::longValue)
                .sum();
    }

    /** The day is over: whatever is still owed an answer is lost. Returns the invariants found broken. */
    long finish() {
        long now = world.time.now();
        open.values().forEach(t -> checkLate(t, now));
        if (up) {
            countInvariants();
        }
        return invariants;
    }

    private void checkLate(SimTry t, long now) {
        if (now > t.deadline + ANSWER_SLACK) {
            world.broken(Audit.Rule.ANSWER, id, -1, t.request.id);
        }
    }

    /** Runs an event of the reducer, then what had to wait for its return, and sets the next wake-up. */
    private void call(Runnable event) {
        event.run();
        Runnable next;
        while ((next = later.poll()) != null) {
            next.run();
        }
        arm();
    }

    private void arm() {
        long next = deadlines.nextDueAt();
        if (next < wakeAt) {
            wakeAt = next;
            long mine = life;
            world.time.at(next, () -> wake(next, mine));
        }
    }

    private void wake(long at, long mine) {
        if (mine == life && at == wakeAt) {
            wakeAt = Long.MAX_VALUE;
            call(() -> reducer.runDueDeadlines(world.time.now()));
        }
    }

    // ---- Clients ----

    /** A client's request has arrived whole. */
    void request(SimTry t) {
        Plan.Kind kind = world.plan.kinds.get(t.request.kind);
        long now = world.time.now();
        long wait = Math.max(1, (t.deadline - now) / MS);
        open.put(t.id, t);
        world.meter().asked();
        ClientRequest asked = new ClientRequest(
                Long.toString(t.id, 36),
                kind.name(),
                world.clients.key(t.request.key),
                t.request.group,
                wait,
                0,
                t.request.tries > 1,
                kind.need() == Consistency.WRITE,
                t);
        if (world.plan.contracts != null && !world.plan.teams.isEmpty()) {
            asked = asked.withTeam(world.plan.teams.get(t.request.team).name());
        }
        ClientRequest whole = asked;
        call(() -> reducer.onRequest(now, t.id, 0, whole));
    }

    @Override
    public void answerClient(long client, long slot, Answer answer) {
        long now = world.time.now();
        SimTry t = open.remove(client);
        if (t == null) {
            world.broken(Audit.Rule.ANSWER, id, -1, -1); // a second answer
            return;
        }
        checkLate(t, now);
        Tally.End end;
        long comeBack = 0;
        if (answer instanceof Answer.Served) {
            end = Tally.End.SERVED;
            world.meter().served();
        } else if (answer instanceof Answer.Refused refused) {
            end = t.attempts == 0 ? Tally.End.REFUSED_AT_ONCE : Tally.End.REFUSED_LATER;
            comeBack = refused.retryAfterMillis() * MS;
            if (t.maybeRan && world.plan.kinds.get(t.request.kind).need() == Consistency.WRITE) {
                world.broken(Audit.Rule.ONCE, id, -1, t.request.id);
            }
        } else {
            end = answer instanceof Answer.Failed ? Tally.End.FAILED : Tally.End.INVALID;
        }
        Tally.End how = end;
        long back = comeBack;
        world.clients.ended(t, how, back, now);
    }

    // ---- Servers ----

    @Override
    public void openConnection(long connection, InetSocketAddress endpoint) {
        Node node = world.node(endpoint);
        Conn c = new Conn(connection, node);
        conns.put(connection, c);
        long mine = life;
        long trip = world.trip(zone, node);
        if (trip == Long.MAX_VALUE || node.state() == Node.State.HUNG) {
            return; // it never comes up
        }
        world.time.at(world.time.now() + 2 * trip + world.handshake(), () -> {
            if (mine != life || c.closed) {
                return;
            }
            if (node.connect()) {
                c.up = true;
                world.meter().connected(node);
                call(() -> reducer.onServerConnected(world.time.now(), connection));
            } else {
                gone(c, node.reachable() ? DisconnectCause.FULL : DisconnectCause.ENDED);
            }
        });
    }

    private void gone(Conn c, DisconnectCause how) {
        c.closed = true;
        conns.remove(c.id);
        if (c.up) {
            c.node.disconnected();
        }
        call(() -> reducer.onServerConnectionLost(world.time.now(), c.id, how));
    }

    /** A node's process has ended: connections to it are reset. */
    void reset(Node node) {
        if (!up) {
            return;
        }
        for (Conn c : List.copyOf(conns.values())) {
            if (c.node == node && !c.closed) {
                gone(c, DisconnectCause.ENDED);
            }
        }
    }

    @Override
    public void sendQuery(long connection, Statement statement, long waitMillis) {
        Conn c = conns.get(connection);
        SimTry t = (SimTry) statement;
        if (c == null) {
            return;
        }
        long now = world.time.now();
        boolean stale = check(t, c.node, now);
        t.attempts++;
        t.maybeRan = true;
        world.tally.attempts++;
        world.meter().sent(c.node);
        world.tally.crossings += world.zone(c.node) == zone ? 0 : 1;
        boolean write = world.plan.kinds.get(t.request.kind).need() == Consistency.WRITE;
        double work = world.attemptWork(t.request);
        long mine = life;
        later.add(() -> reducer.onQueryWritten(connection));
        long trip = world.trip(zone, c.node);
        if (trip == Long.MAX_VALUE) {
            return;
        }
        world.time.at(now + trip, () -> {
            if (!c.node.reachable() && c.node.state() != Node.State.HUNG) {
                if (mine == life && !c.closed) {
                    gone(c, DisconnectCause.ENDED);
                }
                return;
            }
            c.node.submit(
                    write,
                    work,
                    now + waitMillis * MS,
                    (outcome, note) -> reply(c, t, mine, outcome, note, stale, work));
        });
    }

    private void reply(Conn c, SimTry t, long mine, Node.Outcome outcome, Node.Note note, boolean stale, double work) {
        long trip = world.trip(zone, c.node);
        if (trip == Long.MAX_VALUE || mine != life || c.closed) {
            return;
        }
        world.time.at(world.time.now() + trip, () -> {
            if (mine != life || c.closed) {
                return;
            }
            toldReplica.set(c.node.id, !note.primary());
            if (outcome == Node.Outcome.MISS || outcome == Node.Outcome.FULL) {
                t.maybeRan = false;
            } else if (outcome == Node.Outcome.OK) {
                t.stale = stale;
                t.work = work;
            }
            Result result = Result.valueOf(outcome.name());
            call(() -> reducer.onServerAnswer(world.time.now(), c.id, world.answer(result, note, VALUE), true));
        });
    }

    /** Checks what a send must keep to; returns whether it goes to data that is too old. */
    private boolean check(SimTry t, Node node, long now) {
        Plan.Kind kind = world.plan.kinds.get(t.request.kind);
        Long off = toldOff.get(node.id);
        if (off != null && now > off + world.plan.drainGrace + ANSWER_SLACK) {
            world.broken(Audit.Rule.DRAIN, id, node.id, t.request.id);
        }
        if (kind.need() == Consistency.WRITE && t.maybeRan) {
            world.broken(Audit.Rule.ONCE, id, node.id, t.request.id);
        }
        boolean answers = node.reachable() || node.state() == Node.State.HUNG; // what never answers is never stale
        if (kind.need() != Consistency.BOUNDED || !answers || node.position() >= now - kind.age() - STALE_SLACK) {
            return false;
        }
        boolean excused = world.wasPrimary(node) && !toldReplica.get(node.id);
        if (!excused) {
            world.broken(Audit.Rule.STALE, id, node.id, t.request.id);
        }
        return true;
    }

    @Override
    public void synchronize(long connection) {
        Conn c = conns.get(connection);
        long trip = c == null ? Long.MAX_VALUE : world.trip(zone, c.node);
        if (trip == Long.MAX_VALUE || c.node.state() == Node.State.HUNG) {
            return; // it is never answered
        }
        long mine = life;
        world.time.at(world.time.now() + 2 * trip, () -> {
            if (mine == life && !c.closed) {
                call(() -> reducer.onServerSynchronized(world.time.now(), connection));
            }
        });
    }

    @Override
    public boolean hasNoUnreadData(long connection) {
        Conn c = conns.get(connection);
        return c != null && c.up && !c.closed;
    }

    @Override
    public void sendProbe(long connection) {
        Conn c = conns.get(connection);
        if (c == null) {
            return;
        }
        world.tally.probes++;
        world.probed(c.node);
        long mine = life;
        later.add(() -> reducer.onQueryWritten(connection));
        long trip = world.trip(zone, c.node);
        if (trip != Long.MAX_VALUE) {
            world.time.at(
                    world.time.now() + trip,
                    () -> c.node.probe((outcome, note) -> world.time.at(world.time.now() + trip, () -> {
                        if (mine == life && !c.closed) {
                            ServerAnswer answer = world.answer(Result.OK, note, VALUE);
                            call(() -> reducer.onServerAnswer(
                                    world.time.now(),
                                    c.id,
                                    new ServerAnswer(Result.OK, Role.UNKNOWN, -1, answer.report(), VALUE),
                                    true));
                        }
                    })));
        }
    }

    @Override
    public void closeConnection(long connection) {
        Conn c = conns.remove(connection);
        if (c != null) {
            c.closed = true;
            if (c.up) {
                c.node.disconnected();
            }
        }
    }

    // ---- The list ----

    @Override
    public void watchServerList(boolean on) {
        if (on) {
            world.list.follow(this);
        } else {
            world.list.forget(this);
        }
    }

    @Override
    public void fetchServerList() {
        world.list.follow(this);
    }

    @Override
    public void told(ListKind kind, List<ServerEntry> entries) {
        if (!up) {
            return;
        }
        long now = world.time.now();
        for (ServerEntry e : entries) {
            held.put(e.uid(), e);
            Node node = world.node(e.endpoint());
            if (e.state() == ListedState.READY) {
                toldOff.remove(node.id);
            } else {
                toldOff.putIfAbsent(node.id, now);
            }
        }
        number(entries);
        call(() -> reducer.onServerList(now, kind, entries));
    }

    @Override
    public void log(String line) {}

    // ---- The truth, for the policy that may see it ----

    @Override
    public double expected(long server, double work) {
        Node node = numbered.get((int) server);
        if (node.state() != Node.State.UP || world.trip(zone, node) == Long.MAX_VALUE) {
            return Double.POSITIVE_INFINITY;
        }
        return node.expected(work) + 2 * world.distance(zone, node);
    }

    @Override
    public long position(long server) {
        return numbered.get((int) server).position();
    }

    @Override
    public boolean primary(long server) {
        Node node = numbered.get((int) server);
        return node.primary() && node.state() == Node.State.UP;
    }
}
