package stoatrill.homes;

import java.util.Arrays;
import java.util.BitSet;
import java.util.Comparator;
import java.util.stream.IntStream;

/**
 * Computes the homes of all groups of a zone; each instance is for one computation. Routers and groups are identified
 * by their index in the sorted names and numbers. Not thread-safe.
 */
final class HomeChooser {
    /** How many lower bits of a sort key hold the index of a pair; the upper bits of its weight take the rest. */
    static final int PAIR_INDEX_BITS = 24;

    private static final long PAIR_INDEX_MASK = (1L << PAIR_INDEX_BITS) - 1;

    private final long[] nameHashes;
    private final int[] groups;
    private final int homesPerGroup;
    private final int[] capacities;
    private final int[] loads;
    /** The routers that are home to each group. */
    private final BitSet[] homes;

    HomeChooser(String[] routers, int[] groups, HomeSettings settings) {
        this.nameHashes =
                Arrays.stream(routers).mapToLong(RendezvousHash::ofName).toArray();
        this.groups = groups;
        this.homesPerGroup = Math.min(settings.homesPerGroup(), routers.length);
        this.capacities = computeCapacities(settings.loadFactor());
        this.loads = new int[routers.length];
        this.homes = IntStream.range(0, groups.length)
                .mapToObj(group -> new BitSet(routers.length))
                .toArray(BitSet[]::new);
    }

    /**
     * Returns the homes of each group: its first home, then the others by descending weight.
     *
     * <p>Pairs of a router and a group are visited by descending weight. A pair is assigned unless its group already
     * has all its homes or its router is full. The weight of a pair does not depend on other routers. A router that
     * leaves or joins therefore moves only the assignments that it had or gets, those that the changed capacities
     * allow, and those that these displace.
     */
    int[][] choose() {
        for (long pair : pairsByWeight()) {
            int pairIndex = (int) (pair & PAIR_INDEX_MASK);
            int group = pairIndex / nameHashes.length;
            int router = pairIndex % nameHashes.length;
            if (homes[group].cardinality() < homesPerGroup && loads[router] < capacities[router]) {
                add(group, router);
            }
        }
        for (int group = 0; group < groups.length; group++) {
            while (homes[group].cardinality() < homesPerGroup) {
                addByExchange(group);
            }
        }
        int[][] ordered = new int[groups.length][];
        for (int group = 0; group < groups.length; group++) {
            ordered[group] = byWeight(group);
        }
        new FirstHomes(ordered, nameHashes.length, maxFirstsPerRouter()).moveToFront();
        return ordered;
    }

    /**
     * Splits ceil(loadFactor x groups x homes) over the routers as evenly as whole numbers allow, so that adding or
     * removing one router changes few capacities, by one each. The routers with the smallest hashes get one more.
     */
    private int[] computeCapacities(double loadFactor) {
        int routerCount = nameHashes.length;
        long total = (long) Math.ceil(loadFactor * groups.length * homesPerGroup);
        int[] result = new int[routerCount];
        int[] byHash = IntStream.range(0, routerCount)
                .boxed()
                .sorted(Comparator.comparingLong((Integer router) -> nameHashes[router])
                        .thenComparing(Comparator.naturalOrder()))
                .mapToInt(Integer::intValue)
                .toArray();
        for (int rank = 0; rank < routerCount; rank++) {
            long share = total / routerCount + (rank < total % routerCount ? 1 : 0);
            result[byHash[rank]] = (int) Math.min(groups.length, share);
        }
        return result;
    }

    /** Returns the sort keys of all pairs by descending weight; pairs whose upper weight bits are equal, by index. */
    private long[] pairsByWeight() {
        long[] pairs = new long[groups.length * nameHashes.length];
        for (int group = 0; group < groups.length; group++) {
            for (int router = 0; router < nameHashes.length; router++) {
                int pairIndex = group * nameHashes.length + router;
                // Complemented because the sort is ascending.
                long weight = ~RendezvousHash.weight(nameHashes[router], groups[group]);
                pairs[pairIndex] = (weight & ~PAIR_INDEX_MASK) | pairIndex;
            }
        }
        Arrays.sort(pairs);
        return pairs;
    }

    private void add(int group, int router) {
        homes[group].set(router);
        loads[router]++;
    }

    /**
     * Adds a full router to the homes of a group, after handing another group of that router to a router with room. The
     * router with room is itself a home of the group. There is always such another group: all routers except the
     * group's homes are full. If every group of the full router had the one with room too, that router would have one
     * group more and so be full as well, since capacities differ by one at most.
     */
    private void addByExchange(int group) {
        int withRoom = IntStream.range(0, loads.length)
                .filter(router -> loads[router] < capacities[router])
                .findFirst()
                .orElseThrow();
        int fullRouter = homes[group].nextClearBit(0);
        int otherGroup = IntStream.range(0, groups.length)
                .filter(each -> homes[each].get(fullRouter) && !homes[each].get(withRoom))
                .findFirst()
                .orElseThrow();
        homes[otherGroup].clear(fullRouter);
        homes[otherGroup].set(withRoom);
        loads[withRoom]++;
        homes[group].set(fullRouter);
    }

    /** Returns the homes of a group by descending weight. */
    private int[] byWeight(int group) {
        return homes[group].stream()
                .boxed()
                .sorted(Comparator.comparingLong(
                                (Integer router) -> RendezvousHash.weight(nameHashes[router], groups[group]))
                        .reversed())
                .mapToInt(Integer::intValue)
                .toArray();
    }

    /**
     * Returns the limit on first homes of a router: the largest capacity divided by the homes of a group, rounded up.
     */
    private int maxFirstsPerRouter() {
        int maxCapacity = Arrays.stream(capacities).max().orElse(0);
        return homesPerGroup == 0 ? 0 : (maxCapacity + homesPerGroup - 1) / homesPerGroup;
    }
}
