package stoatrill.homes;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/**
 * Chooses the first home of each group, so that no router is first for more than a given number of groups. This is a
 * bipartite matching by augmenting paths (Kuhn's algorithm). It succeeds if the limit is at least the largest load of a
 * router divided by the homes of a group, rounded up, since each group could be split evenly over its homes.
 */
final class FirstHomes {
    private final int[][] homes;
    private final int maxFirstsPerRouter;
    private final List<List<Integer>> groupsByFirst = new ArrayList<>();

    /**
     * Creates a matching.
     *
     * @param homes the homes of each group, in the order in which to try them; {@link #moveToFront()} reorders them
     * @param routerCount the number of routers
     * @param maxFirstsPerRouter the most groups that a router may be first for
     */
    FirstHomes(int[][] homes, int routerCount, int maxFirstsPerRouter) {
        this.homes = homes;
        this.maxFirstsPerRouter = maxFirstsPerRouter;
        for (int router = 0; router < routerCount; router++) {
            groupsByFirst.add(new ArrayList<>());
        }
    }

    /** Moves the chosen home of each group to its front; the others keep their order. */
    void moveToFront() {
        for (int group = 0; group < homes.length; group++) {
            place(group, new BitSet());
        }
        for (int router = 0; router < groupsByFirst.size(); router++) {
            for (int group : groupsByFirst.get(router)) {
                moveToFront(homes[group], router);
            }
        }
    }

    /** Finds a first home for a group, moving other groups if needed. Returns whether there is one. */
    private boolean place(int group, BitSet tried) {
        for (int router : homes[group]) {
            if (!tried.get(router)) {
                tried.set(router);
                if (makeRoom(router, tried)) {
                    groupsByFirst.get(router).add(group);
                    return true;
                }
            }
        }
        return false;
    }

    /** Moves a group off a full router to another of its homes. Returns whether the router has room. */
    private boolean makeRoom(int router, BitSet tried) {
        List<Integer> placed = groupsByFirst.get(router);
        if (placed.size() < maxFirstsPerRouter) {
            return true;
        }
        for (int index = 0; index < placed.size(); index++) {
            if (place(placed.get(index), tried)) {
                placed.remove(index);
                return true;
            }
        }
        return false;
    }

    private static void moveToFront(int[] routers, int first) {
        int index = 0;
        while (routers[index] != first) {
            index++;
        }
        System.arraycopy(routers, 0, routers, 1, index);
        routers[0] = first;
    }
}
