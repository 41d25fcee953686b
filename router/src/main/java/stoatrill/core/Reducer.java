package stoatrill.core;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import stoatrill.Decide;
import stoatrill.Gateway;
import stoatrill.contract.Contracts;

/**
 * The one place where state changes: what the sockets saw goes in by the public methods, what they are to do
 * comes out through {@link Effects}. It owns the requests, their attempts, the probes and the connections to
 * servers, and it is the {@link Gateway} that the module's decisions act through.
 *
 * <p>The module's actions are queued and carried out once the event that caused them has returned, so that
 * the module is never called from within itself.
 */
public final class Reducer implements Gateway, ServerPool.Owner {
    private static final long MILLI = 1_000_000L;
    private static final long PROBE_TIMEOUT = 500 * MILLI;
    /** How long after its deadline a request without a final answer is failed; inside the rules' slack. */
    private static final long BACKSTOP = 5 * MILLI;
    /** Positions are rounded, commits up, and the clocks are compared now and then. */
    private static final long POSITION_SLACK = 20 * MILLI;
    /** Times the longest give-up time that a client may say it waits. */
    private static final long WAIT_FACTOR = 10;
    /** The part of the time after which servers close idle connections that they rest here. */
    private static final double IDLE_PART = 0.7;

    /** What the reducer is set up with beside the module's settings; spans are in nanoseconds. */
    public record Setup(
            Settings settings,
            List<String> zones,
            List<String> models,
            long connectTimeout,
            long connIdle,
            int mostHeld,
            int serverConnections,
            long seed) {}

    private final Effects effects;
    private final Clocks clocks;
    private final Setup setup;
    private final Deadlines deadlines;
    private final Invariants invariants = new Invariants();
    private final ServerPool pool;
    private final Gateway.Events module;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Map<String, Integer> classPlaces = new HashMap<>(); // as the module counts them
    private final Map<Long, Request> requests = new HashMap<>();
    private final Map<Long, Map<Long, Request>> open = new HashMap<>();
    private final ServerDirectory directory;
    private final Set<String> names = new HashSet<>(); // of the open requests, as clients call them
    private final long longestWait;
    private final ArrayDeque<Runnable> actions = new ArrayDeque<>();
    private long now;
    private long requestIds = 1;
    private int unanswered;
    private boolean inModule;
    private boolean ending;

    private final RequestGate gate;
    private ContractGate contractGate;

    /** A reducer that has not been told of any server yet: {@link #members} comes first. */
    public Reducer(Effects effects, Clocks clocks, Deadlines deadlines, Setup setup) {
        this(effects, clocks, deadlines, setup, gateway -> new Decide(gateway, setup.settings(), setup.seed()));
    }

    /** A reducer with decisions other than the module's own, to hold them against each other. */
    public Reducer(
            Effects effects,
            Clocks clocks,
            Deadlines deadlines,
            Setup setup,
            Function<Gateway, Gateway.Events> decisions) {
        this.effects = effects;
        this.deadlines = deadlines;
        this.clocks = clocks;
        this.setup = setup;
        this.gate = new RequestGate(setup.settings());
        this.pool = new ServerPool(
                effects,
                deadlines,
                this,
                new ServerPool.Limits(
                        setup.serverConnections(), setup.connectTimeout(), (long) (setup.connIdle() * IDLE_PART)));
        this.directory = new ServerDirectory(pool, clocks, setup);
        for (RequestClass c : setup.settings().classes()) {
            classPlaces.put(c.name(), classes.size());
            classes.put(c.name(), c);
        }
        this.longestWait = setup.settings().classes().stream()
                        .mapToLong(RequestClass::giveUp)
                        .max()
                        .orElse(0)
                / MILLI
                * WAIT_FACTOR;
        this.module = decisions.apply(this);
    }

    /**
     * Holds requests to this router's part of these contracts from now on, with what was spent under the last ones
     * counted on; null to hold
     * them to none.
     */
    public void contracts(long at, Contracts contracts) {
        now = at;
        Contracts part =
                contracts == null ? null : contracts.part(setup.settings().gateways());
        if (part == null) {
            contractGate = null;
        } else if (contractGate == null) {
            contractGate = new ContractGate(part, setup.seed(), now);
        } else {
            contractGate.reload(part, now);
        }
    }

    // ---- Events: clients ----

    /** A request's last byte was read; {@code slot} is the client connection's own number for it. */
    public void request(long at, long client, long slot, ClientRequest asked) {
        now = at;
        RequestClass kind = classes.get(asked.kind());
        if (kind == null) {
            effects.answer(client, slot, new Answer.Invalid("unknown class \"" + asked.kind() + "\""));
            return;
        }
        if (asked.writes() != (kind.need() == Need.WRITE)) {
            // Guards uploads: a statement that writes must not go out under a class that may be repeated.
            effects.answer(client, slot, new Answer.Invalid("class \"" + kind.name() + "\" is not for this statement"));
            return;
        }
        String wrong = wrong(asked);
        if (wrong != null) {
            effects.answer(client, slot, new Answer.Invalid(wrong));
            return;
        }
        if (ending || unanswered >= setup.mostHeld()) {
            effects.answer(client, slot, new Answer.Refused(0));
            return;
        }
        int team = -1;
        boolean groupShort = contractGate != null && contractGate.isShort(asked.group(), now);
        if (contractGate != null) {
            team = contractGate.team(asked.team());
            if (team < 0) {
                effects.answer(client, slot, new Answer.Invalid("team \"" + asked.team() + "\" has no contract here"));
                return;
            }
            long wait = contractGate.admit(team, groupShort, now);
            if (wait > 0) {
                Limits limits = setup.settings().limits();
                long advice = limits.comeBack() ? Math.min(wait, limits.longestComeBack()) : 0;
                effects.answer(client, slot, new Answer.Refused((advice + MILLI - 1) / MILLI));
                return;
            }
        }
        Request r = new Request(requestIds++, client, slot, asked, kind, now + asked.waitMillis() * MILLI);
        effects.count(kind.name(), "asked");
        trace(r, "taken", kind.name());
        r.team = team;
        r.groupShort = groupShort;
        r.charged = now;
        r.accounts = contractGate == null ? null : contractGate.accounts();
        requests.put(r.id, r);
        names.add(asked.id());
        open.computeIfAbsent(client, c -> new LinkedHashMap<>()).put(slot, r);
        unanswered++;
        r.backstop = deadlines.at(r.deadline + BACKSTOP, () -> overdue(r));
        long token = asked.afterMillis() > 0 ? Math.max(1, now - clocks.fromWallMillis(asked.afterMillis())) : 0;
        tell(() -> module.request(
                now,
                r.id,
                key(asked.key()),
                asked.group(),
                r.deadline,
                token,
                asked.repeat(),
                classPlaces.get(kind.name()),
                0));
    }

    /** What no server could make sense of, or would take for another client's request; null if nothing. */
    private String wrong(ClientRequest asked) {
        if (names.contains(asked.id())) {
            return "id is in use by a request that is still open";
        }
        if (asked.waitMillis() < 1 || asked.waitMillis() > longestWait) {
            return "d is out of range";
        }
        return directory.knowsGroup(asked.group()) ? null : "cluster " + asked.group() + " is not known";
    }

    /** A client's connection has ended: nobody waits for its requests any more. */
    public void clientGone(long at, long client) {
        now = at;
        Map<Long, Request> left = open.remove(client);
        if (left != null) {
            for (Request r : left.values()) {
                finish(r, null);
                tell(() -> module.left(now, r.id));
            }
        }
    }

    /** A client has taken back one request: it ends at once, and what is out for it is called off. */
    public void cancelled(long at, long client, long slot) {
        now = at;
        Request r = open.getOrDefault(client, Map.of()).get(slot);
        if (r != null) {
            finish(r, new Answer.Cancelled());
            tell(() -> module.left(now, r.id));
        }
    }

    /** The router is about to end: fails all that is still owed an answer; what is still to come is refused. */
    public void failAll(long at) {
        now = at;
        ending = true;
        for (Request r : List.copyOf(requests.values())) {
            if (!r.over) {
                finish(r, new Answer.Failed("the router is ending"));
                tell(() -> module.left(now, r.id));
            }
        }
        drain();
    }

    /** How many connections to servers there may be from now on, by what the router holds open beside them. */
    public void serverConnections(long at, int most) {
        now = at;
        pool.most(now, most);
        drain();
    }

    /** How many connections to servers there are. */
    public int serverConnections() {
        return pool.size();
    }

    /** How many requests are owed a final answer. */
    public int unanswered() {
        return unanswered;
    }

    // ---- Events: servers ----

    /** A connection to a server is up and takes queries. */
    public void connected(long at, long id) {
        now = at;
        ServerPool.Connection c = pool.get(id);
        if (c != null) {
            pool.connected(now, c);
            drain();
        }
    }

    /** The last byte of what was asked is out: from now on it may have run. */
    public void written(long at, long id) {
        now = Math.max(now, at);
        written(id);
    }

    /** As {@link #written(long, long)}, at the time of the last event. */
    public void written(long id) {
        ServerPool.Connection c = pool.get(id);
        if (c != null && c.attempt != null) {
            c.attempt.state = Attempt.State.OUT;
            gate.sent(c.attempt, now);
            trace(c.attempt, "sent", "");
        }
    }

    /**
     * Whether what was worded for a server may go out now: asked at the very write, since time may have passed, and the
     * request may be over, by then. If not, {@link #unsent} follows.
     *
     * @param goesOut whether a part of it is out and the server is taking the rest
     */
    public boolean maySend(long at, long id, boolean goesOut) {
        ServerPool.Connection c = pool.get(id);
        if (c == null || c.attempt == null) {
            return false;
        }
        RequestGate.Ruling ruling = gate.sendLate(c.attempt, at, goesOut);
        if (!ruling.allowed()) {
            denied(c.attempt, ruling);
        }
        return ruling.allowed();
    }

    /** What was worded for a server has not gone out whole, and will not: its connection is given up. */
    public void unsent(long at, long id) {
        now = at;
        ServerPool.Connection c = pool.get(id);
        if (c != null && c.attempt != null) {
            stop(c.attempt, Result.TIMEOUT);
            drain();
        }
    }

    /** A server has answered; {@code reusable} if its connection takes another query. */
    public void answered(long at, long id, ServerAnswer answer, boolean reusable) {
        now = at;
        ServerPool.Connection c = pool.get(id);
        if (c == null) {
            return;
        }
        Attempt a = c.attempt;
        if (a == null || !reusable) {
            pool.drop(c); // an answer that nobody asked for leaves the connection's state unknown
        }
        if (a == null) {
            return;
        }
        end(a, answer.result(), answer);
        if (reusable) {
            pool.rest(now, c);
        }
        drain();
    }

    /** A connection has ended, or what came on it can't be read. */
    public void broken(long at, long id, Break how) {
        now = at;
        ServerPool.Connection c = pool.get(id);
        if (c == null) {
            return;
        }
        Attempt a = c.attempt;
        pool.broken(now, c, how == Break.FULL);
        pool.refill(now); // the longest waiting first, before what the module sends next
        if (a != null) {
            // Before the last byte the server can't have begun; after it there is no telling.
            boolean out = a.state == Attempt.State.OUT;
            end(a, !out ? Result.CONNECT_FAILED : how == Break.SPOILT ? Result.SPOILT : Result.RESET, null);
        }
        drain();
    }

    // ---- Events: discovery and time ----

    /** News of the list of servers; the first call, with the list last held, starts the module. */
    public void members(long at, ListKind kind, List<ServerEntry> entries) {
        now = at;
        List<Member> members = directory.update(now, kind, entries);
        tell(() -> module.members(now, kind, members));
        directory.forgetGone();
    }

    /** How many servers, requests and names of requests are held. */
    public List<Integer> held() {
        return List.of(directory.size(), requests.size() + open.size(), names.size());
    }

    /** The list is to be had from another place: what failed at the old one says nothing of the new one. */
    public void listMoved(long at) {
        now = at;
        directory.moved();
        tell(() -> module.listMoved(now));
    }

    /** Time has passed: sweeps the deadlines. Returns when the next one is due. */
    public long tick(long at) {
        now = at;
        deadlines.sweep(now);
        drain();
        return settle(at);
    }

    /** Opens the connections that had to wait for room. Returns when the next deadline is due. */
    public long settle(long at) {
        now = at;
        pool.refill(now);
        drain();
        return deadlines.next();
    }

    /** What was found broken that must hold, and how often; rules of the gate by their names. */
    public Map<String, Long> brokenInvariants() {
        Map<String, Long> broken = new TreeMap<>(invariants.broken());
        gate.violations().forEach((rule, count) -> broken.put(rule.name(), count));
        return broken;
    }

    /** The router ends a client's connection by itself: counts it where an answer is still owed on it. */
    public void closes(long client) {
        RequestGate.Ruling ruling =
                gate.close(open.getOrDefault(client, Map.of()).size());
        if (!ruling.allowed()) {
            gate.violated(ruling);
        }
    }

    // ---- The module and its actions ----

    /** Calls the module, then carries out what it asked for. */
    private void tell(Runnable event) {
        call(event);
        drain();
    }

    private void call(Runnable event) {
        if (!invariants.hold(!inModule, "the module is not called from within itself")) {
            actions.add(() -> call(event));
            return;
        }
        inModule = true;
        try {
            event.run();
        } catch (RuntimeException | LinkageError | VirtualMachineError e) {
            // Guards the other requests from a failure of the module; the one at fault ends by its backstop.
            invariants.hold(false, "the module does not throw");
            effects.log("decision failed: " + e);
        } finally {
            inModule = false;
        }
    }

    private void drain() {
        Runnable action;
        while ((action = actions.poll()) != null) {
            action.run();
        }
    }

    @Override
    public void send(long request, long server, long timeout) {
        actions.add(() -> start(request, directory.server(server), timeout));
    }

    private void start(long id, ServerPool.Server server, long timeout) {
        Request r = requests.get(id);
        if (!invariants.hold(r != null, "a send names a request that was taken")) {
            return;
        }
        Attempt a = new Attempt(r, r.attempts.size(), server, now);
        r.attempts.add(a);
        effects.count(r.kind.name(), a.number == 0 ? "first" : "further");
        r.out++;
        if (r.accounts != null && a.number > 0) {
            r.accounts.charge(r.team, r.groupShort, now); // a further one costs the same team once more
        }
        if (server.endpoint == null) {
            end(a, Result.CONNECT_FAILED, null);
            return;
        }
        RequestGate.Ruling ruling = gate.begin(a, now);
        if (!ruling.allowed()) {
            denied(a, ruling);
            end(a, Result.MOOT, null);
            return;
        }
        trace(a, "begun", "");
        long until = timeout > 0 ? Math.min(now + timeout, r.deadline) : r.deadline;
        a.timeout = deadlines.at(until, () -> stop(a, Result.TIMEOUT));
        pool.take(now, a);
    }

    @Override
    public void probe(long server) {
        actions.add(() -> {
            Attempt a = new Attempt(null, 0, directory.server(server), now);
            if (a.server.endpoint == null) {
                end(a, Result.CONNECT_FAILED, null);
                return;
            }
            a.timeout = deadlines.at(now + PROBE_TIMEOUT, () -> stop(a, Result.TIMEOUT));
            pool.take(now, a);
        });
    }

    @Override
    public void cancel(long request, int attempt) {
        actions.add(() -> {
            Request r = requests.get(request);
            if (r != null && attempt < r.attempts.size()) {
                stop(r.attempts.get(attempt), Result.CANCELLED);
            }
        });
    }

    @Override
    public void refuse(long request, long comeBack) {
        actions.add(() -> {
            Request r = requests.get(request);
            if (contractGate != null && r != null) {
                contractGate.refused(r.asked.group(), now);
            }
            last(request, new Answer.Refused((comeBack + MILLI - 1) / MILLI));
        });
    }

    @Override
    public void fail(long request) {
        actions.add(() -> last(request, new Answer.Failed("no server answered in time")));
    }

    private void last(long id, Answer answer) {
        Request r = requests.get(id);
        if (r == null || r.over) {
            return;
        }
        RequestGate.Ruling ruling = gate.answer(r, answer);
        if (!ruling.allowed()) {
            gate.violated(ruling);
            finish(r, new Answer.Failed("the outcome is not known"));
            return;
        }
        finish(r, answer);
    }

    @Override
    public void timer(long span, long token) {
        actions.add(() -> deadlines.at(now + span, () -> tell(() -> module.timer(now, token))));
    }

    @Override
    public void dropIdle(long server) {
        actions.add(() -> pool.dropIdle(directory.server(server)));
    }

    @Override
    public void tell(int peer, byte[] message) {
        invariants.hold(false, "routers share nothing");
    }

    @Override
    public void follow(boolean on) {
        actions.add(() -> effects.watch(on));
    }

    @Override
    public void fetch() {
        actions.add(effects::fetch);
    }

    @Override
    public void log(String line) {
        effects.log(line);
    }

    @Override
    public void count(String what, String why) {
        effects.count(what, why);
    }

    // ---- Attempts ----

    @Override
    public boolean write(ServerPool.Connection c, Attempt a) {
        if (a.request == null) {
            c.attempt = a;
            a.connection = c;
            a.state = Attempt.State.WRITING;
            effects.probe(c.id);
            return true;
        }
        RequestGate.Ruling ruling = gate.send(a, now);
        if (!ruling.allowed()) {
            denied(a, ruling);
            actions.add(() -> end(a, Result.MOOT, null));
            return false;
        }
        c.attempt = a;
        a.connection = c;
        a.state = Attempt.State.WRITING;
        a.toldMillis = Math.max(1, (a.request.deadline - now) / MILLI);
        effects.query(c.id, a.request.asked.statement(), a.toldMillis);
        return true;
    }

    private void denied(Attempt a, RequestGate.Ruling ruling) {
        effects.count("not sent", ruling.name());
        trace(a, "not sent", ruling.name());
    }

    // ---- What is told of requests ----

    private void trace(Request r, String event, String why) {
        if (effects.traces()) {
            effects.trace(r.asked.id(), event, why);
        }
    }

    private void trace(Attempt a, String event, String why) {
        if (a.request != null && effects.traces()) {
            effects.trace(a.request.asked.id(), event, "attempt " + a.number + " server " + a.server.id + " " + why);
        }
    }

    @Override
    public void unconnected(Attempt a, boolean full) {
        actions.add(() -> end(a, full ? Result.FULL : Result.CONNECT_FAILED, null));
    }

    /** Stops waiting for an attempt, by its time-out or by the module's wish. */
    private void stop(Attempt a, Result why) {
        if (a.state == Attempt.State.ENDED) {
            return;
        }
        if (a.state == Attempt.State.WAITING) {
            pool.withdraw(a);
            end(a, why == Result.TIMEOUT ? Result.CONNECT_FAILED : Result.MOOT, null);
            return;
        }
        effects.count("ended", "abandoned");
        pool.drop(a.connection); // the way to abandon an attempt
        boolean neverRan = a.state == Attempt.State.WRITING; // its last byte never went out
        end(a, !neverRan ? why : why == Result.TIMEOUT ? Result.CONNECT_FAILED : Result.MOOT, null);
    }

    private void end(Attempt a, Result result, ServerAnswer answer) {
        if (a.state == Attempt.State.ENDED) {
            return;
        }
        a.state = Attempt.State.ENDED;
        a.mayHaveRun = !result.certain || result == Result.OK;
        if (a.timeout != null) {
            a.timeout.cancel();
        }
        if (a.connectBy != null) {
            a.connectBy.cancel();
        }
        Report report = answer == null ? null : report(answer.report());
        learn(a.server, answer, report);
        Request r = a.request;
        effects.count(r == null ? "probed" : "outcome", result.name());
        trace(a, "ended", result.name());
        if (r == null) {
            call(() -> module.probed(now, a.server.id, now - a.sentAt, result, report));
            return;
        }
        r.out--;
        if (r.accounts != null && !a.mayHaveRun) {
            r.accounts.giveBack(r.team, r.groupShort, a.number == 0 ? r.charged : a.sentAt);
        }
        if (result == Result.OK && !r.over) {
            finish(r, new Answer.Served(answer.value()));
        }
        long position = answer == null ? NO_POSITION : position(answer);
        Role role = answer == null ? Role.UNKNOWN : answer.role();
        boolean over = r.over;
        if (over && r.out == 0) {
            requests.remove(r.id);
        }
        call(() ->
                module.outcome(now, r.id, a.number, a.server.id, result, now - a.sentAt, over, position, role, report));
    }

    private void learn(ServerPool.Server server, ServerAnswer answer, Report report) {
        if (answer == null) {
            return;
        }
        if (position(answer) != NO_POSITION) {
            server.position = Math.max(server.position, position(answer));
        }
        if (answer.role() != Role.UNKNOWN) {
            server.role = answer.role();
        }
        if (report != null && report.position() != NO_POSITION) {
            server.position = Math.max(server.position, report.position());
        }
    }

    /** Guards the rule on the age of data: a position that is still to come is an error, and not believed. */
    private long believable(long position) {
        return position <= now + POSITION_SLACK ? position : NO_POSITION;
    }

    private long position(ServerAnswer answer) {
        return answer.positionMillis() < 0 ? NO_POSITION : believable(clocks.fromWallMillis(answer.positionMillis()));
    }

    private Report report(Map<String, Double> fields) {
        if (fields == null) {
            return null;
        }
        Double position = fields.get("x0");
        Double primary = fields.get("x1");
        return new Report(
                position == null ? NO_POSITION : believable(clocks.fromWallSeconds(position)),
                primary == null
                        ? Role.UNKNOWN
                        : primary == 1 ? Role.PRIMARY : primary == 0 ? Role.REPLICA : Role.UNKNOWN,
                fields.getOrDefault("q", -1.0),
                fields.getOrDefault("rif", -1.0));
    }

    // ---- Final answers ----

    /** Ends a request with its one final answer; null where nobody is there to take it. */
    private void finish(Request r, Answer answer) {
        if (r.over) {
            gate.violated(RequestGate.Ruling.ANSWERED_TWICE);
            return;
        }
        r.over = true;
        r.overAt = now;
        trace(
                r,
                "over",
                answer == null ? "its client has left" : answer.getClass().getSimpleName());
        if (r.accounts != null && r.attempts.isEmpty()) {
            r.accounts.giveBack(r.team, r.groupShort, r.charged); // it went nowhere
        }
        r.backstop.cancel();
        names.remove(r.asked.id());
        unanswered--;
        if (r.out == 0) {
            requests.remove(r.id);
        }
        Map<Long, Request> ofClient = open.get(r.client);
        if (ofClient != null) {
            ofClient.remove(r.slot);
            if (ofClient.isEmpty()) {
                open.remove(r.client);
            }
        }
        if (answer != null) {
            effects.answer(r.client, r.slot, answer);
        }
        for (Attempt a : r.attempts) {
            if (a.state == Attempt.State.WAITING || a.state == Attempt.State.WRITING) {
                actions.add(() -> stop(a, Result.CANCELLED)); // nobody is left to begin it for
            }
        }
    }

    /** Guards the rule on answers should the module ever leave a request without one. */
    private void overdue(Request r) {
        if (!r.over) {
            invariants.hold(false, "the module answers before the deadline");
            finish(r, new Answer.Failed("no answer before the deadline"));
            call(() -> module.left(now, r.id));
        }
    }

    /** The key as a number: hexadecimal text as it reads, anything else by a hash of 64 bits. */
    private static long key(String key) {
        if (key.length() == 16) {
            try {
                return Long.parseUnsignedLong(key, 16);
            } catch (NumberFormatException e) {
                // not hexadecimal: hashed below
            }
        }
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < key.length(); i++) {
            hash = (hash ^ key.charAt(i)) * 0x100000001b3L;
        }
        return hash;
    }
}
