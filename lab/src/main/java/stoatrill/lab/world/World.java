package stoatrill.lab.world;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import stoatrill.Gateway;
import stoatrill.Gateway.Consistency;
import stoatrill.Gateway.ListedState;
import stoatrill.Gateway.Result;
import stoatrill.Gateway.Role;
import stoatrill.Gateway.Settings;
import stoatrill.core.ServerAnswer;
import stoatrill.core.ServerEntry;
import stoatrill.lab.load.Arrivals;
import stoatrill.lab.policy.Policy;
import stoatrill.lab.sim.EventWheel;
import stoatrill.standins.model.Node;
import stoatrill.standins.model.NodeSpec;
import stoatrill.standins.model.ReplicaGroup;
import stoatrill.standins.model.Seeds;

/**
 * One day of a deployment, drawn from a plan by a seed. The same plan, seed and policy give the same day to the
 * last bit; another policy meets the same requests and troubles. Not to be shared between threads; days may run
 * side by side.
 */
public final class World {
    private static final long MS = 1_000_000L;
    private static final long S = 1_000 * MS;
    private static final long START = 1_700_000_000L * S;
    /** How long a day runs on after its last arrival, so that all is answered. */
    private static final long TAIL = 6 * S;

    final Plan plan;
    /** What makes a router's decisions; null for the module that the reducer makes by itself. */
    final BiFunction<Gateway, Policy.Sight, Gateway.Events> decisions;

    final long seed;
    final long start = START;
    final EventWheel time = new EventWheel(START);
    final List<SimRouter> routers = new ArrayList<>();
    final List<Node> nodes = new ArrayList<>();
    final List<ReplicaGroup> groups = new ArrayList<>();
    final ServiceList list;
    final Clients clients;
    final Tally tally;
    final double[] meanWork;
    private final Audit audit = new Audit();
    private FleetMeter meter = new FleetMeter(0);
    private int[] zoneOf;
    private final Map<InetSocketAddress, Node> byEndpoint = new HashMap<>();
    private final Map<String, Integer> kindPlaces = new HashMap<>();
    private final Map<String, Integer> teamPlaces = new HashMap<>();
    private final BitSet wasPrimary = new BitSet();
    private final Node[] ledBy;
    private final UniformRandomProvider net;
    private final UniformRandomProvider noise;
    private final ZigguratSampler.NormalizedGaussian gauss;
    private final UniformRandomProvider strikes;
    private final long near;
    private final long far;
    private final long handshake;
    private final double coldFrom;
    private final long warm;
    private final double[][] nodeLoad;
    private final IdentityHashMap<Node, PerSecond> probesAt = new IdentityHashMap<>();
    private boolean cut;
    private long triesMade;
    private long invariants;

    /** Draws a day and builds all that it holds. */
    public World(Plan plan, long seed, Policy policy) {
        this(plan, seed, policy.own() ? null : policy::make);
    }

    World(Plan plan, long seed, BiFunction<Gateway, Policy.Sight, Gateway.Events> decisions) {
        this.plan = plan;
        this.seed = seed;
        this.decisions = decisions;
        UniformRandomProvider day = Seeds.source(seed, "day");
        this.net = Seeds.source(seed, "net");
        this.noise = Seeds.source(seed, "noise");
        this.gauss = ZigguratSampler.NormalizedGaussian.of(noise);
        this.strikes = Seeds.source(seed, "strikes");
        this.near = (long) plan.near.draw(day);
        this.far = (long) plan.far.draw(day);
        this.handshake = (long) plan.handshake.draw(day);
        this.coldFrom = plan.coldFrom.draw(day);
        this.warm = (long) plan.warm.draw(day);
        meanWork = plan.kinds.stream().mapToDouble(k -> k.work().draw(day)).toArray();
        for (int i = 0; i < plan.kinds.size(); i++) {
            kindPlaces.put(plan.kinds.get(i).name(), i);
        }
        for (int i = 0; i < plan.teams.size(); i++) {
            teamPlaces.put(plan.teams.get(i).name(), i);
        }
        list = new ServiceList(time, Seeds.source(seed, "list"), plan);
        tally = new Tally(plan, start);
        zoneOf = new int[plan.nodes];
        ledBy = new Node[plan.groups];
        double capacity = makeNodes(day);
        double work = 0;
        double writes = 0;
        for (int i = 0; i < plan.kinds.size(); i++) {
            work += plan.kinds.get(i).share() * meanWork[i];
            writes += plan.kinds.get(i).need() == Consistency.WRITE
                    ? plan.kinds.get(i).share()
                    : 0;
        }
        double full = capacity * 1e9 / work; // requests a second
        double drawnLoad = plan.load.draw(day);
        double rate = plan.rate > 0 ? plan.rate : drawnLoad * full;
        double writesPerGroup = full * writes / plan.groups;
        long apply = writesPerGroup == 0 ? 0 : (long) (plan.applyUse.draw(day) * 1e9 / writesPerGroup);
        makeGroups(day, apply);
        for (int i = 0; i < plan.routers; i++) {
            routers.add(new SimRouter(i, i % plan.zones.size(), this));
        }
        Arrivals arrivals =
                new Arrivals(rate, plan.swing.draw(day), plan.length, start, Seeds.source(seed, "arrivals"));
        for (Plan.Team t : plan.teams) {
            if (t.jump() > 1) {
                arrivals.jump(start + t.jumpAt(), start + t.jumpAt() + t.jumpFor(), 1, 1 + t.share() * (t.jump() - 1));
            }
        }
        clients = new Clients(this, arrivals, start + plan.length);
        nodeLoad = new double[(int) (plan.length / S) + 1][];
        troubles(day).forEach(t -> strike(t, day, arrivals));
    }

    private double makeNodes(UniformRandomProvider day) {
        double speed = plan.speed.draw(day);
        double spread = plan.speedSpread.draw(day);
        int queue = (int) (plan.queue.draw(day) * plan.cores);
        double thrash = plan.thrash.draw(day);
        double thrashAt = plan.thrashAt.draw(day);
        long probe = (long) plan.probeWork.draw(day);
        long period = (long) plan.reportPeriod.draw(day);
        long delay = (long) plan.reportDelay.draw(day);
        ZigguratSampler.NormalizedGaussian normal = ZigguratSampler.NormalizedGaussian.of(day);
        double capacity = 0;
        for (int i = 0; i < plan.nodes; i++) {
            double own = Math.max(0.3 * speed, speed * (1 + spread * normal.sample()));
            capacity += own * plan.cores;
            Node node = new Node(
                    i,
                    new NodeSpec(
                            plan.cores,
                            own,
                            queue,
                            thrash,
                            thrashAt,
                            coldFrom,
                            warm,
                            plan.tipMultiple,
                            plan.tipAfter,
                            200 * plan.cores,
                            handshake,
                            probe,
                            plan.errors,
                            period,
                            delay),
                    time,
                    seed,
                    this::fellOver);
            nodes.add(node);
            zoneOf[i] = i / plan.groups % plan.zones.size();
            byEndpoint.put(endpoint(i), node);
        }
        return capacity;
    }

    private void makeGroups(UniformRandomProvider day, long apply) {
        ReplicaGroup.Spec spec = new ReplicaGroup.Spec(
                (long) plan.ship.draw(day),
                apply,
                (long) plan.detect.draw(day),
                (long) plan.elect.draw(day),
                (long) plan.handOver.draw(day),
                (long) plan.copyAge.draw(day),
                plan.sync);
        for (int g = 0; g < plan.groups; g++) {
            ReplicaGroup group = new ReplicaGroup(g, spec, time);
            groups.add(group);
            for (int i = g; i < plan.nodes; i += plan.groups) {
                group.add(nodes.get(i), false);
                list.begin(new ServerEntry(
                        uid(i), endpoint(i), plan.zones.get(zoneOf[i]), "std", g, 1, 0, i == g, ListedState.READY));
            }
            ledBy[g] = group.primary();
            wasPrimary.set(group.primary().id);
        }
    }

    private static String uid(int node) {
        return "n" + node;
    }

    private static InetSocketAddress endpoint(int node) {
        try {
            byte[] address = {10, (byte) (node >> 16), (byte) (node >> 8), (byte) node};
            return new InetSocketAddress(InetAddress.getByAddress(address), 5432);
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e); // four bytes are always an address
        }
    }

    // ---- The run ----

    /** Has a meter count what the fleet costs its databases; to be called before {@link #run}. */
    public void measure(FleetMeter by) {
        meter = by;
        meter.begin(time, start + plan.length, nodes);
    }

    FleetMeter meter() {
        return meter;
    }

    /** Plays the day to its end. */
    public void run() {
        List<ServerEntry> all = list.shown();
        routers.forEach(r -> r.start(all));
        clients.begin();
        follow();
        sample(0, new double[nodes.size()]);
        time.run(start + plan.length + TAIL);
        nodes.forEach(n -> tally.doneWork += n.workDone());
        routers.forEach(r -> invariants += r.finish());
    }

    /** Sees who leads each group; the list shows it later. */
    private void follow() {
        for (ReplicaGroup g : groups) {
            Node leads = g.primary();
            if (leads != null && leads != ledBy[g.id]) {
                list.primary(uid(ledBy[g.id].id), false);
                list.primary(uid(leads.id), true);
                ledBy[g.id] = leads;
                wasPrimary.set(leads.id);
            }
        }
        if (time.now() < start + plan.length + TAIL) {
            time.at(time.now() + 10 * MS, this::follow);
        }
    }

    private void sample(int second, double[] before) {
        if (second >= nodeLoad.length) {
            return;
        }
        time.at(start + (second + 1) * S, () -> {
            double[] done = new double[nodes.size()];
            double[] part = new double[nodes.size()];
            for (Node n : nodes) {
                done[n.id] = n.workDone();
                double already = n.id < before.length ? before[n.id] : 0;
                part[n.id] = (done[n.id] - already) / (n.spec.cores() * n.spec.speed() * S);
            }
            nodeLoad[second] = part;
            sample(second + 1, done);
        });
    }

    // ---- Troubles ----

    /** All troubles, or as many as a day draws, each at most once. */
    private List<Trouble> troubles(UniformRandomProvider day) {
        if (plan.drawn == 0 || plan.drawn >= plan.troubles.size()) {
            return plan.troubles;
        }
        List<Trouble> left = new ArrayList<>(plan.troubles);
        List<Trouble> drawn = new ArrayList<>();
        while (drawn.size() < plan.drawn) {
            double at = day.nextDouble()
                    * left.stream().mapToDouble(Trouble::weight).sum();
            int i = 0;
            while (i < left.size() - 1 && at >= left.get(i).weight()) {
                at -= left.get(i++).weight();
            }
            drawn.add(left.remove(i));
        }
        return drawn;
    }

    private void strike(Trouble t, UniformRandomProvider day, Arrivals arrivals) {
        long from = start + (long) t.at().draw(day);
        long until = from + (long) t.length().draw(day);
        double part = t.part().draw(day);
        double size = t.size().draw(day);
        long extra = (long) t.extra().draw(day);
        switch (t.kind()) {
            case JUMP -> arrivals.jump(from, until, extra, size);
            case ROUTER_RESTART -> restarts(from, until, part, size, extra);
            case FAST_ERRORS -> each(from, until, part, false, n -> n.failing(size), n -> n.failing(0));
            case SLOW_APPLY ->
                each(
                        from,
                        until,
                        part,
                        false,
                        n -> n.group().slowApply(n, size),
                        n -> n.group().slowApply(n, 1));
            case SHARED_SLOW -> each(from, until, 1, false, n -> n.slow(size), n -> n.slow(1));
            case NODE_CRASH -> each(from, until, part, strikes.nextDouble() < size, this::crash, this::restart);
            case NODE_HANG ->
                each(from, until, part, strikes.nextDouble() < size, n -> n.stop(Node.State.HUNG), Node::wake);
            case NODE_DRAIN ->
                each(
                        from,
                        until,
                        part,
                        true,
                        n -> {
                            n.drain();
                            list.state(uid(n.id), ListedState.DRAINING, 0);
                            time.at(time.now() + extra, () -> crash(n));
                        },
                        this::restart);
            case NODE_REPLACE -> replacements(from, until, part, extra);
            case ZONE_CRASH -> {
                List<Node> struck = nodes.stream()
                        .filter(n -> zone(n) == plan.zones.size() - 1)
                        .toList();
                time.at(from, () -> struck.forEach(this::crash));
                time.at(until, () -> struck.forEach(this::restart));
            }
            case CUT_ZONE -> {
                time.at(from, () -> cut(true));
                time.at(until, () -> cut(false));
            }
            case LIST_DOWN -> {
                time.at(from, () -> list.down(true));
                time.at(until, () -> list.down(false));
            }
            default -> throw new IllegalArgumentException(t.kind().name());
        }
    }

    private void each(
            long from,
            long until,
            double part,
            boolean primaries,
            java.util.function.Consumer<Node> then,
            java.util.function.Consumer<Node> after) {
        time.at(from, () -> {
            List<Node> struck = draw(part, primaries);
            struck.stream().filter(World::isInService).forEach(then);
            time.at(until, () -> struck.stream().filter(World::isInService).forEach(after));
        });
    }

    /** Nodes by chance, in as many as the share says, one at least; a primary first where that is asked for. */
    private List<Node> draw(double part, boolean primaries) {
        List<Node> left = new ArrayList<>(nodes);
        List<Node> drawn = new ArrayList<>();
        int many = (int) Math.max(1, Math.min(nodes.size(), Math.round(part * nodes.size())));
        if (primaries) {
            Node first = groups.get(strikes.nextInt(groups.size())).primary();
            if (first != null) {
                drawn.add(first);
                left.remove(first);
            }
        } else if (part < 1) {
            left.removeIf(n -> n.primary() && left.size() > many);
        }
        while (drawn.size() < many && !left.isEmpty()) {
            drawn.add(left.remove(strikes.nextInt(left.size())));
        }
        return drawn;
    }

    /** Whether the node belongs to its group still: one that was replaced is out of service for good. */
    private static boolean isInService(Node n) {
        return n.group().members().contains(n);
    }

    private void crash(Node n) {
        if (!isInService(n)) {
            return;
        }
        n.stop(Node.State.DOWN);
        list.state(uid(n.id), ListedState.GONE, 0);
        time.at(time.now() + near, () -> routers.forEach(r -> r.reset(n)));
    }

    private void restart(Node n) {
        if (!isInService(n)) {
            return;
        }
        n.start();
        if (n.state() == Node.State.UP) {
            list.state(uid(n.id), ListedState.READY, time.now() / MS);
        }
    }

    /** Replaces nodes evenly over a span, primaries like all others; each new one comes before its old one goes. */
    private void replacements(long from, long until, double part, long drain) {
        time.at(from, () -> {
            List<Node> struck = draw(part, true);
            for (int i = 0; i < struck.size(); i++) {
                Node old = struck.get(i);
                time.at(from + (until - from) * i / struck.size(), () -> replace(old, drain));
            }
        });
    }

    private void replace(Node old, long drain) {
        if (!isInService(old)) {
            return;
        }
        Node node = new Node(nodes.size(), old.spec, time, seed, this::fellOver);
        nodes.add(node);
        zoneOf = Arrays.copyOf(zoneOf, nodes.size());
        zoneOf[node.id] = zoneOf[old.id];
        byEndpoint.put(endpoint(node.id), node);
        old.group().add(node, true);
        node.justStarted();
        list.add(new ServerEntry(
                uid(node.id),
                endpoint(node.id),
                plan.zones.get(zoneOf[node.id]),
                "std",
                old.group().id,
                1,
                time.now() / MS,
                false,
                ListedState.READY));
        old.drain();
        list.state(uid(old.id), ListedState.DRAINING, 0);
        time.at(time.now() + drain, () -> {
            crash(old);
            old.group().remove(old);
        });
    }

    private void fellOver(Node n) {
        broken(Audit.Rule.COLD, -1, n.id, -1);
        list.state(uid(n.id), ListedState.GONE, 0);
        time.at(time.now() + near, () -> routers.forEach(r -> r.reset(n)));
    }

    private void restarts(long from, long until, double part, double batch, long down) {
        List<SimRouter> order = new ArrayList<>(routers);
        List<SimRouter> drawn = new ArrayList<>();
        int many = (int) Math.max(1, Math.round(part * order.size()));
        while (drawn.size() < many) {
            drawn.add(order.remove(strikes.nextInt(order.size())));
        }
        int at = 0;
        int size = (int) Math.max(1, Math.round(batch * routers.size()));
        int batches = (many + size - 1) / size;
        for (int b = 0; b < batches; b++) {
            List<SimRouter> now = drawn.subList(at, Math.min(many, at + size));
            at += size;
            time.at(
                    from + (until - from) * b / batches,
                    () -> now.forEach(r -> {
                        if (r.up) {
                            r.kill();
                            clients.noticed(r);
                            time.at(time.now() + down, () -> {
                                r.start(List.of());
                                clients.noticed(r);
                            });
                        }
                    }));
        }
    }

    private void cut(boolean isCut) {
        cut = isCut;
        int last = plan.zones.size() - 1;
        for (ReplicaGroup g : groups) {
            Node leads = g.primary();
            for (Node n : g.members()) {
                if (leads != null && n != leads && (zone(n) == last) != (zone(leads) == last)) {
                    g.cut(n, isCut);
                } else if (!isCut) {
                    g.cut(n, false);
                }
            }
        }
        if (!isCut) { // what was open across is reset once the network is back
            for (SimRouter r : routers) {
                nodes.stream()
                        .filter(n -> (zone(n) == last) != (r.zone == last))
                        .forEach(r::reset);
            }
        }
    }

    // ---- What the parts ask ----

    /** How long a message takes; {@link Long#MAX_VALUE} if it never arrives. */
    long trip(int zone, Node node) {
        int last = plan.zones.size() - 1;
        if (cut && (zone == last) != (zone(node) == last)) {
            return Long.MAX_VALUE;
        }
        return (long) (distance(zone, node) * (1 + 0.2 * net.nextDouble()));
    }

    long distance(int zone, Node node) {
        return zone == zone(node) ? near : far;
    }

    long handshake() {
        return handshake / 4;
    }

    double attemptWork(SimRequest r) {
        double spread = plan.kinds.get(r.kind).noise();
        return r.work * Math.exp(spread * gauss.sample() - spread * spread / 2);
    }

    int zone(Node node) {
        return zoneOf[node.id];
    }

    Node node(InetSocketAddress endpoint) {
        return byEndpoint.get(endpoint);
    }

    int groupOf(long key) {
        return (int) Math.floorMod((key * 0x9e3779b97f4a7c15L) >>> 17, (long) plan.groups);
    }

    int kindOf(String name) {
        return kindPlaces.getOrDefault(name, 0);
    }

    int teamOf(String name) {
        return teamPlaces.getOrDefault(name, 0);
    }

    long nextTry() {
        return ++triesMade;
    }

    boolean wasPrimary(Node node) {
        return wasPrimary.get(node.id);
    }

    void broken(Audit.Rule rule, int router, int node, long request) {
        audit.broken(rule, time.now() - start, router, node, request);
    }

    /** An answer as the wire's codec would hand it on: positions in whole milliseconds, rounded down. */
    ServerAnswer answer(Result result, Node.Note note, byte[] value) {
        Node.Report report = note.report();
        Map<String, Double> fields = Map.of(
                "x0", report.position() / 1e9, "x1", report.primary() ? 1.0 : 0.0, "q", (double) report.waiting());
        return new ServerAnswer(
                result, note.primary() ? Role.PRIMARY : Role.REPLICA, note.position() / MS, fields, value);
    }

    /** The settings that a router in a zone is told. */
    Settings settings(int zone) {
        List<Gateway.RequestClass> classes = plan.kinds.stream()
                .map(k -> new Gateway.RequestClass(
                        k.name(),
                        k.aim(),
                        k.giveUp(),
                        k.worth(),
                        k.lateWorth(),
                        k.need(),
                        k.need() == Consistency.BOUNDED ? k.age() : 0,
                        k.effect(),
                        Gateway.DeduplicationScope.ALL,
                        0,
                        false))
                .toList();
        return new Settings(
                0,
                plan.routers,
                zone,
                plan.tick,
                true,
                0.1,
                new Gateway.Limits(true, plan.probes, false, true, true, plan.attempts, S),
                new Gateway.Rules(
                        8 * MS, 10 * S, plan.drainGrace, coldFrom, warm, plan.tipMultiple, plan.tipAfter, true),
                new Gateway.Replication(Gateway.StalenessCheck.NONE, 0, true, false, Gateway.ListedRole.DELAYED, true),
                classes,
                List.of());
    }

    // ---- Results ----

    /** What the day came to. */
    public Tally tally() {
        return tally;
    }

    void probed(Node node) {
        meter.probed(node);
        probesAt.computeIfAbsent(node, n -> new PerSecond()).add(time.now());
    }

    /** The most probes that any node got in a second, from all routers. */
    public int mostProbes() {
        return probesAt.values().stream().mapToInt(PerSecond::most).max().orElse(0);
    }

    /** The most calls that the list got in a second, from all routers. */
    public int mostListCalls() {
        return list.mostCalls();
    }

    /** The most connections that any node held at once, from all routers. */
    public int mostConnections() {
        return nodes.stream().mapToInt(Node::mostConnections).max().orElse(0);
    }

    /** The most that any cold node was sent, from all routers, as a part of what tips it over. */
    public double mostPressed() {
        return nodes.stream().mapToDouble(Node::mostPressed).max().orElse(0);
    }

    /** What teams that jump were served over what they were promised; 0 without contracts. */
    public double mostOfPromise() {
        return tally.mostOfPromise(plan.contracts);
    }

    /** Which rules were broken. */
    public Audit audit() {
        return audit;
    }

    /** How many of the reducers' own invariants were found broken. */
    public long invariants() {
        return invariants;
    }

    /** By second and node, the part of its capacity that was used; a null row was not reached. */
    public double[][] nodeLoad() {
        return nodeLoad;
    }

    /** How often a group's primary changed. */
    public long failovers() {
        return groups.stream().mapToLong(ReplicaGroup::failovers).sum();
    }
}
