package stoatrill.lab.scale.footprint;

/**
 * The servers that a router stands before.
 *
 * @param servers how many, at least as many as groups
 * @param groups how many groups they form; server i is of group i modulo this, and the first of each is its primary
 */
public record Population(int servers, int groups) {
    /** Servers in a group where the number of groups follows from that of servers. */
    private static final int SERVERS_A_GROUP = 6;

    /** Checks that each group has a server. */
    public Population {
        if (groups < 1 || servers < groups) {
            throw new IllegalArgumentException(servers + " servers can't form " + groups + " groups");
        }
    }

    /** So many servers in groups of six, as far as they go. */
    public static Population ofServers(int servers) {
        return new Population(servers, Math.max(1, servers / SERVERS_A_GROUP));
    }

    /** The group of a server, both counted from 0. */
    int groupOf(int server) {
        return server % groups;
    }

    /** Whether a server, counted from 0, is its group's primary. */
    boolean primary(int server) {
        return server < groups;
    }
}
