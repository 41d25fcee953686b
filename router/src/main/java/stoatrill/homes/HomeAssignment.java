package stoatrill.homes;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;

/**
 * The homes of all groups in one zone, by rendezvous hashing (Thaler and Ravishankar) with bounded loads (Mirrokni,
 * Thorup and Zadimoghaddam). Routers that know the same eligible routers and groups compute the same homes without
 * exchanging messages. Immutable and thread-safe.
 *
 * <p>No router is home to more than ceil(loadFactor x groups x homes / routers) groups, nor the first home of more than
 * ceil(loadFactor x groups / routers). If there are no more routers than homes per group, every
 * router is home to every group.
 *
 * <p>For R routers and G groups, the computation takes O(R G log(R G)) time and 8 R G bytes. A lookup is a binary
 * search over the groups.
 */
public final class HomeAssignment {
    /** The largest product of routers and groups: 4,096 of each, for which the computation takes 128 MB. */
    public static final int MAX_PAIRS = 1 << HomeChooser.PAIR_INDEX_BITS;

    private final int[] groups;
    private final List<Homes> homes;

    private HomeAssignment(int[] groups, List<Homes> homes) {
        this.groups = groups;
        this.homes = homes;
    }

    /**
     * Computes the homes.
     *
     * @param routers the names of the eligible routers of the zone, in any order
     * @param groups the numbers of the groups, in any order
     * @param settings the number of homes of a group, and the bound on a router's load
     * @return the homes of each group; empty for every group if there are no routers
     * @throws InvalidHomesException if the number of routers times that of groups is above {@link #MAX_PAIRS}
     */
    public static HomeAssignment of(Set<String> routers, Set<Integer> groups, HomeSettings settings) {
        long pairs = (long) routers.size() * groups.size();
        if (pairs > MAX_PAIRS) {
            throw new InvalidHomesException(
                    InvalidHomesException.Problem.TOO_MANY_PAIRS,
                    routers.size() + " routers times " + groups.size() + " groups are above " + MAX_PAIRS);
        }
        String[] routerNames = routers.stream().sorted().toArray(String[]::new);
        int[] groupNumbers =
                groups.stream().mapToInt(Integer::intValue).sorted().toArray();
        int[][] chosen = new HomeChooser(routerNames, groupNumbers, settings).choose();
        List<Homes> homes = new ArrayList<>(groupNumbers.length);
        for (int index = 0; index < groupNumbers.length; index++) {
            List<String> homesOfGroup = Arrays.stream(chosen[index])
                    .mapToObj(router -> routerNames[router])
                    .toList();
            homes.add(new Homes(groupNumbers[index], homesOfGroup));
        }
        return new HomeAssignment(groupNumbers, List.copyOf(homes));
    }

    /** Returns the homes of a group; empty if the group is not known. */
    public Homes of(int group) {
        int index = Arrays.binarySearch(groups, group);
        return index >= 0 ? homes.get(index) : new Homes(group, List.of());
    }

    /** Returns the homes of all groups, in ascending order of group number. */
    public List<Homes> all() {
        return homes;
    }
}
