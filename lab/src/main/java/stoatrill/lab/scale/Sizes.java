package stoatrill.lab.scale;

/**
 * How large a scale test is.
 *
 * @param routers hollow routers
 * @param servers servers in the list
 * @param groups groups of servers
 * @param zones zones, over which routers and servers are spread evenly
 * @param perProcess hollow routers of one process
 * @param realRouters real router processes beside the hollow ones
 * @param seed of all that is drawn
 */
public record Sizes(int routers, int servers, int groups, int zones, int perProcess, int realRouters, long seed) {
    /** Servers of a group where the number of groups is not given. */
    public static final int SERVERS_A_GROUP = 6;
    /** The zones of the deployment that is designed for. */
    public static final int ZONES = 14;

    /** Checks that all are in range. */
    public Sizes {
        if (routers < 1 || servers < SERVERS_A_GROUP || groups < 1 || groups > servers || zones < 1) {
            throw new IllegalArgumentException("wants 1 router and " + SERVERS_A_GROUP + " servers at least");
        }
        if (perProcess < 1 || realRouters < 0) {
            throw new IllegalArgumentException("wants 1 router a process at least");
        }
    }

    /** Sizes with groups of {@link #SERVERS_A_GROUP} servers over {@link #ZONES} zones. */
    public static Sizes of(int routers, int servers, int perProcess, int realRouters, long seed) {
        int groups = Math.max(1, servers / SERVERS_A_GROUP);
        return new Sizes(routers, servers, groups, ZONES, perProcess, realRouters, seed);
    }
}
