package stoatrill.standins.net;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.UnaryOperator;
import stoatrill.standins.model.Node;
import stoatrill.standins.model.NodeSpec;
import stoatrill.standins.model.ReplicaGroup;

/**
 * A small deployment of stand-ins on loopback: one group of a primary and replicas over two zones, with real
 * replication lag, and discovery. What befalls a node is told to discovery after the delay that it is set up
 * with. May be called by any thread.
 */
public final class Deployment implements AutoCloseable {
    private static final long MS = 1_000_000L;
    private static final List<String> ZONES = List.of("mona", "papine");
    private static final Map<String, Double> WORK =
            Map.of("recent-read", 8e6, "archive-read", 8e6, "reading-upload", 15e6);

    private static final int DEFAULT_ROUTERS_COUNT = 2;

    /**
     * One node as it is now.
     *
     * @param mostPressed the most that it was sent while cold, as a share of what tips it over
     */
    public record View(
            String name,
            String zone,
            InetSocketAddress address,
            Node.State state,
            boolean primary,
            long lagMillis,
            int held,
            long served,
            long turnedAway,
            int connections,
            double mostPressed) {}

    private final RealTime time;
    private final Discovery discovery;
    private final List<PgNode> nodes = new ArrayList<>();
    private final long notice;
    private final Records records = new Records();

    /** {@code notice}: how long discovery takes to show what happened, in nanoseconds. */
    public Deployment(int count, long notice) throws IOException {
        this(count, notice, at -> at);
    }

    /**
     * As {@link #Deployment(int, long)}, with discovery showing each node at {@code front.apply(its address)}: where
     * a relay in front of it listens. {@code front} is called once for each node, on the stand-ins' thread.
     */
    public Deployment(int count, long notice, UnaryOperator<InetSocketAddress> front) throws IOException {
        this(count, notice, WORK, front);
    }

    /**
     * As {@link #Deployment(int, long, UnaryOperator)}, with the mean work of each class of requests, in nanoseconds of
     * one of a node's four cores.
     */
    public Deployment(int count, long notice, Map<String, Double> work, UnaryOperator<InetSocketAddress> front)
            throws IOException {
        this.notice = notice;
        time = new RealTime();
        discovery = new Discovery();
        time.ask(() -> {
            ReplicaGroup group = new ReplicaGroup(
                    0, new ReplicaGroup.Spec(5 * MS, 2 * MS, 1500 * MS, 1500 * MS, 500 * MS, 4000 * MS, true), time);
            for (int i = 0; i < count; i++) {
                Node node = new Node(
                        i,
                        new NodeSpec(
                                4, 1, 64, 0.1, 4, 0.4, 8000 * MS, 3, 1000 * MS, 400, MS, MS / 4, 0, 150 * MS, 30 * MS),
                        time,
                        11,
                        n -> {});
                group.add(node, false);
                PgNode pg = new PgNode(time, node, records, work);
                nodes.add(pg);
                discovery.show(entry(i, front.apply(pg.address())));
            }
            follow(group, nodes.get(0).node());
            return null;
        });
    }

    private static JsonObject entry(int i, InetSocketAddress at) {
        JsonObject e = new JsonObject();
        e.addProperty("uid", "node" + i);
        e.addProperty("endpoint", at.getAddress().getHostAddress() + ":" + at.getPort());
        e.addProperty("az", zone(i));
        e.addProperty("model", "std");
        e.addProperty("pod_group", 0);
        e.addProperty("state", "Ready");
        e.addProperty("capacity_hint", 1.0);
        e.addProperty("boot_ms", 0);
        e.addProperty("access", i == 0 ? "writer" : "reader");
        return e;
    }

    private static String zone(int i) {
        return ZONES.get((i + 1) / 2 % 2); // with four: a primary and a replica there, two replicas here
    }

    /** Tells discovery who leads, some time after it has changed. */
    private void follow(ReplicaGroup group, Node last) {
        Node leads = group.primary();
        if (leads != null && leads != last) {
            later(() -> {
                discovery.change("node" + last.id, "access", "reader");
                discovery.change("node" + leads.id, "access", "writer");
            });
        }
        time.at(time.now() + 20 * MS, () -> follow(group, leads == null ? last : leads));
    }

    private void later(Runnable what) {
        time.at(time.now() + notice, what);
    }

    // ---- What befalls it ----

    /** Its process ends without a word. */
    public void kill(int node) throws IOException {
        time.ask(() -> {
            nodes.get(node).kill();
            later(() -> discovery.change("node" + node, "state", "Gone"));
            return null;
        });
    }

    /** Its process starts again, cold. */
    public void start(int node) throws IOException {
        time.ask(() -> {
            nodes.get(node).start();
            long boot = time.now() / MS;
            later(() -> {
                discovery.change("node" + node, "boot_ms", boot);
                discovery.change("node" + node, "state", "Ready");
            });
            return null;
        });
    }

    /** It finishes what it holds and takes nothing new; discovery shows that. */
    public void drain(int node) throws IOException {
        time.ask(() -> {
            nodes.get(node).node().drain();
            later(() -> discovery.change("node" + node, "state", "Terminating"));
            return null;
        });
    }

    /** Discovery shows at once that it drains; the node itself goes on serving what still comes. */
    public void announce(int node) {
        discovery.change("node" + node, "state", "Terminating");
    }

    /** It keeps its connections and answers nothing, or goes on. */
    public void hang(int node, boolean hangs) throws IOException {
        time.ask(() -> {
            if (hangs) {
                nodes.get(node).node().stop(Node.State.HUNG);
            } else {
                nodes.get(node).node().wake();
            }
            return null;
        });
    }

    /** It applies the log so many times more slowly; 1 is the usual. */
    public void lag(int node, double times) throws IOException {
        time.ask(() -> {
            Node n = nodes.get(node).node();
            n.group().slowApply(n, times);
            return null;
        });
    }

    /** It fails a share of its requests at once. */
    public void failing(int node, double share) throws IOException {
        time.ask(() -> {
            nodes.get(node).node().failing(share);
            return null;
        });
    }

    // ---- What it is ----

    /** All nodes as they are now. */
    public List<View> views() throws IOException {
        return time.ask(() -> {
            List<View> views = new ArrayList<>();
            for (PgNode pg : nodes) {
                Node n = pg.node();
                views.add(new View(
                        "node" + n.id,
                        zone(n.id),
                        pg.address(),
                        n.state(),
                        n.primary(),
                        Math.max(0, (time.now() - n.position()) / MS),
                        n.held(),
                        n.served(),
                        n.turnedAway(),
                        n.connections(),
                        n.mostPressed()));
            }
            return views;
        });
    }

    /** The writes that ran at any node, by the request id in their comment, with how often each ran. */
    public Map<String, Integer> ran() throws IOException {
        return time.ask(records::ran);
    }

    /** The recent reads that a node answered, by request id, with how old its data was when the read came, in ms. */
    public Map<String, Long> ages() throws IOException {
        return time.ask(records::ages);
    }

    public Discovery discovery() {
        return discovery;
    }

    /** The platform's configuration for a router of this deployment; {@code listen} is an address with a port. */
    public String config(String name, String zone, String listen) {
        return config(name, zone, listen, DEFAULT_ROUTERS_COUNT);
    }

    /** As {@link #config(String, String, String)}, for one of so many routers. */
    public String config(String name, String zone, String listen, int routers) {
        InetSocketAddress at = discovery.address();
        String json = String.format(
                Locale.ROOT,
                """
        {"name": "%s", "listen": "%s", "discovery": "%s", "seed": "%x",
         "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 512},
         "settings": {
          "allowed": {"cancel": true, "connIdle": 30000000000, "connectTimeout": 250000000, "maxAttempts": 8,
           "maxRetryAfter": 1000000000, "mayProbe": true, "mostHeld": 2000, "peers": false, "retryAfter": true,
           "secondCopies": true},
          "classes": [
           {"name": "recent-read", "aim": 150000000, "giveUp": 600000000, "gain": 1.0, "lateWorth": 0.0,
            "semantics": "pure"},
           {"name": "archive-read", "aim": 150000000, "giveUp": 500000000, "gain": 1.0, "lateWorth": 0.2,
            "semantics": "pure"},
           {"name": "reading-upload", "aim": 300000000, "giveUp": 3000000000, "gain": 6.0, "lateWorth": 0.3,
            "semantics": "side_effect"}],
          "discovery": "on_request", "hostTypes": ["std"], "zones": ["mona", "papine"], "zone": %d, "me": 0,
          "replicasOfMe": %d, "step": 2000000, "overShareWorth": 0.1, "realms": [],
          "familyInfo": {"serverChecks": "off", "holdsFor": 0, "progressTold": true, "tokenMode": "kept",
           "showsRole": "trailing", "oldestData": [300000000, 0, 0],
           "readLevel": ["lag_bound", "eventual", "mutate"]},
          "report": {"columns": ["x0", "x1", "q"], "how": "inline"},
          "rules": {"answerSlack": 8000000, "askWithin": 10000000000, "coldFrom": 0.4, "drainGrace": 2000000000,
           "tipAfter": 1000000000, "tipMultiple": 3.0, "warmAfter": 8000000000}}}
        """,
                name,
                listen,
                at.getAddress().getHostAddress() + ":" + at.getPort(),
                name.hashCode(),
                Math.max(0, ZONES.indexOf(zone)),
                routers);
        JsonObject config = JsonParser.parseString(json).getAsJsonObject();
        config.add("known", JsonParser.parseString(discovery.known()));
        return config.toString();
    }

    @Override
    public void close() {
        discovery.close();
        time.close();
    }
}
