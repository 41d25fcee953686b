package stoatrill.lab.world;

import stoatrill.lab.load.Range;

/**
 * Something that goes wrong; {@code at} counts from the day's start, in nanoseconds like {@code length}.
 *
 * @param part the share of nodes or routers that it strikes
 * @param size how hard, as its kind counts it
 * @param extra a second figure, as its kind counts it; spans in nanoseconds
 * @param weight how likely it is drawn beside the others, where days draw theirs
 */
public record Trouble(Kind kind, Range at, Range length, Range part, Range size, Range extra, double weight) {

    /** The kinds; what {@code size} and {@code extra} mean is said with each. */
    public enum Kind {
        /** Routers are restarted in batches of {@code size} of all; each is down for {@code extra}. */
        ROUTER_RESTART,
        /** Traffic goes to {@code size} times the usual, over {@code extra} up and down. */
        JUMP,
        /** Nodes fail the share {@code size} of their requests at once. */
        FAST_ERRORS,
        /** Replicas apply the log {@code size} times more slowly. */
        SLOW_APPLY,
        /** All nodes are {@code size} times slower. */
        SHARED_SLOW,
        /** Nodes go down and start again, cold, at the end; the primary among them by the chance {@code size}. */
        NODE_CRASH,
        /** Nodes hang and go on at the end; the primary among them by the chance {@code size}. */
        NODE_HANG,
        /** Nodes drain, end after {@code extra} and start again at the end; the primary first. */
        NODE_DRAIN,
        /**
         * Nodes are replaced one after another: each new one starts cold, the old one drains and ends after {@code
         * extra}.
         */
        NODE_REPLACE,
        /** All nodes of the last zone go down and start again, cold, at the end. */
        ZONE_CRASH,
        /** The last zone is cut off from the others, between routers and nodes and in replication. */
        CUT_ZONE,
        /** The list can't be reached. */
        LIST_DOWN
    }
}
