package stoatrill.lab.world;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import stoatrill.standins.model.Node;
import stoatrill.standins.model.Scheduler;

/**
 * Counts what all routers of a day together cost the databases, from the end of a warm-up until a time. Connections
 * are sampled, everything else is counted. Belongs to one {@link World} and its thread.
 */
public final class FleetMeter {
    private static final long SAMPLE_EVERY = 100_000_000L;
    private static final double SECOND = 1e9;

    /**
     * What was counted.
     *
     * @param seconds how long was counted
     * @param requests requests that arrived at routers
     * @param served requests that were answered with a value
     * @param databases what each database bore, in the order of their numbers
     */
    public record Reading(double seconds, long requests, long served, List<Database> databases) {
        /** Probes of all routers at all databases. */
        public long probes() {
            return databases.stream().mapToLong(Database::probes).sum();
        }

        /** Statements written to all databases. */
        public long attempts() {
            return databases.stream().mapToLong(Database::attempts).sum();
        }

        /** Connections that databases accepted. */
        public long handshakes() {
            return databases.stream().mapToLong(Database::handshakes).sum();
        }
    }

    /**
     * What one database bore.
     *
     * @param attempts statements written to it
     * @param probes how many probes it got
     * @param mostProbes the most of them in a second
     * @param handshakes how many connections it accepted
     * @param meanConnections how many it held, the mean of all samples
     * @param mostConnections the most that a sample showed
     */
    public record Database(
            long attempts, long probes, int mostProbes, long handshakes, double meanConnections, int mostConnections) {}

    private static final class Count {
        private final PerSecond probesBySecond = new PerSecond();
        private long attempts;
        private long probes;
        private long handshakes;
        private long connectionSum;
        private int mostConnections;
    }

    private final long warmUp;
    private final Map<Node, Count> counts = new HashMap<>();
    private Scheduler time;
    private long from = Long.MAX_VALUE;
    private long until = Long.MIN_VALUE;
    private long samples;
    private long requests;
    private long served;

    /**
     * A meter for one day.
     *
     * @param warmUp nanoseconds from the day's start that are not counted, 0 or more
     */
    public FleetMeter(long warmUp) {
        this.warmUp = warmUp;
    }

    void begin(Scheduler clock, long end, List<Node> nodes) {
        time = clock;
        from = clock.now() + warmUp;
        until = end;
        nodes.forEach(this::count);
        time.at(from, () -> sample(nodes));
    }

    private void sample(List<Node> nodes) {
        if (time.now() >= until) {
            return;
        }
        samples++;
        for (Node node : nodes) {
            Count count = count(node);
            count.connectionSum += node.connections();
            count.mostConnections = Math.max(count.mostConnections, node.connections());
        }
        time.at(time.now() + SAMPLE_EVERY, () -> sample(nodes));
    }

    private boolean counting() {
        return time != null && time.now() >= from && time.now() < until;
    }

    private Count count(Node node) {
        return counts.computeIfAbsent(node, n -> new Count());
    }

    void asked() {
        requests += counting() ? 1 : 0;
    }

    void served() {
        served += counting() ? 1 : 0;
    }

    void sent(Node node) {
        if (counting()) {
            count(node).attempts++;
        }
    }

    void probed(Node node) {
        if (counting()) {
            count(node).probes++;
            count(node).probesBySecond.add(time.now());
        }
    }

    void connected(Node node) {
        if (counting()) {
            count(node).handshakes++;
        }
    }

    /** What was counted; to be read when the day is over. */
    public Reading reading() {
        List<Database> databases = counts.entrySet().stream()
                .sorted((a, b) -> Integer.compare(a.getKey().id, b.getKey().id))
                .map(entry -> database(entry.getValue()))
                .toList();
        return new Reading((until - from) / SECOND, requests, served, databases);
    }

    private Database database(Count count) {
        return new Database(
                count.attempts,
                count.probes,
                count.probesBySecond.most(),
                count.handshakes,
                samples == 0 ? 0 : (double) count.connectionSum / samples,
                count.mostConnections);
    }
}
