package stoatrill.lab.rig;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import stoatrill.lab.rig.SoakFault.Kind;

/**
 * A random schedule of faults that overlap, from a seed: the same seed and sizes give the same schedule. At least a
 * third of the routers is never killed or ended, and each other one is at most once at a time.
 */
public final class SoakPlan {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;
    /** Time between the beginnings of two faults. */
    private static final long LEAST_GAP = 20 * MS;

    private static final long MOST_GAP = 250 * MS;
    private static final long LEAST_SPAN = 100 * MS;
    private static final long MOST_SPAN = 1_500 * MS;
    private static final long MOST_SHORT_PAUSE = 150 * MS;
    /** The time that a router which is ended or killed is left alone, until it serves again. */
    private static final long RESTART = 6 * SECOND;

    private static final double LEAST_SHARE = 0.02;
    private static final double MOST_SHARE = 0.5;
    /** Steps of the wall clock that are drawn from. */
    private static final List<Long> STEPS = List.of(3_600 * SECOND, -3_600 * SECOND, 5 * SECOND, 700 * MS);
    /** How often each kind is drawn, one entry a part. */
    private static final List<Kind> WEIGHTS = List.of(
            Kind.CALLS,
            Kind.CALLS,
            Kind.CALLS,
            Kind.CALLS,
            Kind.CALLS,
            Kind.CALLS,
            Kind.CALLS,
            Kind.CALLS,
            Kind.SHORT_PAUSE,
            Kind.SHORT_PAUSE,
            Kind.PAUSE,
            Kind.KILL,
            Kind.TERM,
            Kind.HANGUP,
            Kind.HANGUP,
            Kind.RESET,
            Kind.CUT,
            Kind.LAG,
            Kind.SILENCE,
            Kind.DISCOVERY_AWAY,
            Kind.CLOCK);

    private static final List<SystemCall> CALLS = List.of(SystemCall.values());

    private final UniformRandomProvider random;
    private final int routers;
    private final int nodes;
    private final long[] busyUntil;

    private SoakPlan(long seed, int routers, int nodes) {
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.routers = routers;
        this.nodes = nodes;
        this.busyUntil = new long[routers];
    }

    /** Draws the faults of a soak of that length, in nanoseconds, sorted by their beginnings. */
    public static List<SoakFault> draw(long seed, int routers, int nodes, long length) {
        SoakPlan plan = new SoakPlan(seed, routers, nodes);
        List<SoakFault> faults = new ArrayList<>();
        for (long at = plan.between(LEAST_GAP, MOST_GAP); at < length; at += plan.between(LEAST_GAP, MOST_GAP)) {
            SoakFault fault = plan.next(at);
            if (fault != null) {
                faults.add(fault);
            }
        }
        return List.copyOf(faults);
    }

    /** The next fault; null where its router is not free for it. */
    private SoakFault next(long at) {
        Kind kind = WEIGHTS.get(random.nextInt(WEIGHTS.size()));
        int router = random.nextInt(routers);
        int node = random.nextInt(nodes);
        SystemCall call = call();
        double share = LEAST_SHARE + random.nextDouble() * (MOST_SHARE - LEAST_SHARE);
        long step = STEPS.get(random.nextInt(STEPS.size()));
        long span = between(LEAST_SPAN, kind == Kind.SHORT_PAUSE ? MOST_SHORT_PAUSE : MOST_SPAN);
        boolean ends = kind == Kind.KILL || kind == Kind.TERM;
        if (ends && (router < (routers + 2) / 3 || busyUntil[router] > at)) {
            return null;
        }
        if (kind == Kind.PAUSE || kind == Kind.SHORT_PAUSE || ends) {
            if (busyUntil[router] > at) {
                return null;
            }
            busyUntil[router] = at + span + (ends ? RESTART : 0);
        }
        return new SoakFault(at, span, kind, router, node, call, share, call.documented(), step);
    }

    private SystemCall call() {
        SystemCall call;
        do {
            call = CALLS.get(random.nextInt(CALLS.size()));
        } while (call == SystemCall.WALL_CLOCK);
        return call;
    }

    private long between(long least, long most) {
        return least + random.nextLong(most - least + 1);
    }
}
