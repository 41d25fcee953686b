package stoatrill.lab.rig;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A random schedule of faults from a seed, in the manner of Jepsen's nemesis: the same seed and bounds give the
 * same schedule. Faults begin one after another, with a gap drawn between {@code gap[0]} and {@code gap[1]}, and
 * last a span drawn between {@code span[0]} and {@code span[1]}; each is of a kind drawn from {@code kinds} and
 * falls on a router and a node drawn evenly. A router has at most one fault of its process at a time: a draw that
 * would give it a second is moved to the next router that is free, or left out if none is. No more than
 * {@code routers - 1} routers are under a fault of their process at once, so that clients always have one.
 */
public final class Nemesis {
    private Nemesis() {}

    /**
     * The schedule, sorted by beginning.
     *
     * @param length the schedule's length in nanoseconds; no fault begins after it, and each ends by it
     * @param gap the least and most time between two beginnings, in nanoseconds, above 0
     * @param span the least and most length of a fault, in nanoseconds, above 0
     * @throws IllegalArgumentException if bounds go down or are not above 0, or there is no kind or no router
     */
    public static List<Fault> schedule(
            long seed, int routers, int nodes, long length, long[] gap, long[] span, Set<Fault.Kind> kinds) {
        if (routers < 1
                || nodes < 1
                || kinds.isEmpty()
                || gap[0] <= 0
                || gap[1] < gap[0]
                || span[0] <= 0
                || span[1] < span[0]
                || length <= 0) {
            throw new IllegalArgumentException(
                    "a nemesis needs a router, a node, a kind, and bounds above 0 that rise: " + routers + " routers, "
                            + nodes + " nodes, kinds " + kinds);
        }
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        List<Fault.Kind> drawn = kinds.stream().sorted().toList();
        long[] busyUntil = new long[routers];
        List<Fault> faults = new ArrayList<>();
        for (long at = draw(random, gap); at < length; at += draw(random, gap)) {
            Fault.Kind kind = drawn.get(random.nextInt(drawn.size()));
            long lasts = Math.min(draw(random, span), length - at);
            int router = random.nextInt(routers);
            int node = random.nextInt(nodes);
            if (kind.ofProcess()) {
                long now = at;
                long busy = Arrays.stream(busyUntil).filter(u -> u > now).count();
                int free = -1;
                for (int k = 0; k < routers && busy < routers - 1; k++) {
                    if (busyUntil[(router + k) % routers] <= at) {
                        free = (router + k) % routers;
                        break;
                    }
                }
                if (free < 0) {
                    continue;
                }
                router = free;
                busyUntil[router] = at + lasts;
                node = -1;
            }
            faults.add(new Fault(at, lasts, kind, router, node));
        }
        return List.copyOf(faults);
    }

    private static long draw(UniformRandomProvider random, long[] bounds) {
        return bounds[0] == bounds[1] ? bounds[0] : bounds[0] + random.nextLong(bounds[1] - bounds[0] + 1);
    }
}
