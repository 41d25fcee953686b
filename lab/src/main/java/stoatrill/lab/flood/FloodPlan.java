package stoatrill.lab.flood;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import stoatrill.lab.flood.FloodFault.CrowdOf;
import stoatrill.lab.flood.FloodFault.Disturbance;
import stoatrill.lab.flood.FloodFault.FloodOf;
import stoatrill.lab.flood.FloodFault.HangUps;
import stoatrill.lab.flood.FloodFault.HangingNode;
import stoatrill.lab.flood.FloodFault.Pause;

/** A random schedule of floods that overlap, with other faults beside them: the same seed gives the same schedule. */
public final class FloodPlan {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long SHORTEST_GAP_NANOS = 100 * NANOS_PER_MILLI;
    private static final long LONGEST_GAP_NANOS = 800 * NANOS_PER_MILLI;
    private static final long SHORTEST_SPAN_NANOS = 200 * NANOS_PER_MILLI;
    private static final long LONGEST_SPAN_NANOS = 3_000 * NANOS_PER_MILLI;
    /** The longest time that the operators may hold a router up. */
    private static final long LONGEST_PAUSE_NANOS = 150 * NANOS_PER_MILLI;

    private static final int MOST_FLOODING_CLIENTS_COUNT = 8;
    private static final int LEAST_CROWD_COUNT = 50;
    private static final int MOST_CROWD_COUNT = 300;
    private static final double CROWD_SHARE = 0.15;
    private static final double FLOOD_SHARE = 0.6;
    private static final double PAUSE_SHARE = 0.08;
    private static final double HANG_UP_SHARE = 0.08;

    private static final List<FloodKind> FLOOD_KINDS = List.of(FloodKind.values());
    private static final List<CrowdKind> CROWD_KINDS = List.of(CrowdKind.values());

    private final UniformRandomProvider random;
    private final int nodeCount;
    private long pausedUntil;
    private long crowdedUntil;

    private FloodPlan(long seed, int nodeCount) {
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.nodeCount = nodeCount;
    }

    /** Draws the faults of a soak of that length, in nanoseconds, sorted by their begins. */
    public static List<FloodFault> draw(long seed, int nodeCount, long lengthNanos) {
        FloodPlan plan = new FloodPlan(seed, nodeCount);
        List<FloodFault> faults = new ArrayList<>();
        for (long at = plan.nextGap(); at < lengthNanos; at += plan.nextGap()) {
            FloodFault fault = plan.next(at);
            if (fault != null) {
                faults.add(fault);
            }
        }
        return List.copyOf(faults);
    }

    private long nextGap() {
        return between(SHORTEST_GAP_NANOS, LONGEST_GAP_NANOS);
    }

    /** The next fault; null where one of its kind is not over. */
    private FloodFault next(long at) {
        double kind = random.nextDouble();
        long span = between(SHORTEST_SPAN_NANOS, LONGEST_SPAN_NANOS);
        int clientCount = 1 + random.nextInt(MOST_FLOODING_CLIENTS_COUNT);
        FloodKind floodKind = FLOOD_KINDS.get(random.nextInt(FLOOD_KINDS.size()));
        CrowdKind crowdKind = CROWD_KINDS.get(random.nextInt(CROWD_KINDS.size()));
        int crowdCount = (int) between(LEAST_CROWD_COUNT, MOST_CROWD_COUNT);
        long pauseNanos = between(NANOS_PER_MILLI, LONGEST_PAUSE_NANOS);
        int node = 1 + random.nextInt(nodeCount - 1);
        if (kind < FLOOD_SHARE) {
            return fault(at, span, new FloodOf(floodKind), clientCount);
        }
        if (kind < FLOOD_SHARE + CROWD_SHARE) {
            boolean isCrowded = crowdedUntil > at;
            crowdedUntil = isCrowded ? crowdedUntil : at + span;
            return isCrowded ? null : fault(at, span, new CrowdOf(crowdKind), crowdCount);
        }
        if (kind < FLOOD_SHARE + CROWD_SHARE + PAUSE_SHARE) {
            boolean isPaused = pausedUntil > at;
            pausedUntil = isPaused ? pausedUntil : at + pauseNanos;
            return isPaused ? null : fault(at, pauseNanos, new Pause(), 0);
        }
        return kind < FLOOD_SHARE + CROWD_SHARE + PAUSE_SHARE + HANG_UP_SHARE
                ? fault(at, span, new HangUps(), 0)
                : fault(at, span, new HangingNode(node), 0);
    }

    private static FloodFault fault(long at, long spanNanos, Disturbance disturbance, int clientCount) {
        return new FloodFault(at, spanNanos, disturbance, clientCount);
    }

    private long between(long least, long most) {
        return least + random.nextLong(most - least + 1);
    }
}
