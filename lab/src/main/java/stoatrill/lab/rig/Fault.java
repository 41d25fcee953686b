package stoatrill.lab.rig;

/**
 * One fault of a schedule: what, on which router and node, from when and for how long.
 *
 * @param at when it begins, in nanoseconds from the start of the schedule (0 or more)
 * @param span how long it lasts, in nanoseconds; a kill lasts until the router is started again, a reset until
 *     {@code count} answers were reset or the span ends
 * @param kind what befalls
 * @param router the router it befalls, from 0; for {@link Kind#CUT} and {@link Kind#RESET} the one it is named by
 *     in the history, -1 for all
 * @param node the node whose relay it is put on, from 0; -1 where it is a fault of a process alone
 */
public record Fault(long at, long span, Kind kind, int router, int node) {

    /** The kinds of faults that a schedule may hold. */
    public enum Kind {
        /** SIGSTOP, SIGCONT after the span. */
        PAUSE,
        /** SIGKILL, started again after the span. */
        KILL,
        /** SIGTERM, started again after the span. */
        TERM,
        /** The router hears nothing from the node for the span. */
        DEAFEN,
        /** The node's relay resets the answers that follow statements, for the span. */
        RESET,
        /**
         * The node applies the log so slowly that its data stands nearly still, for the span; of no effect on a
         * primary.
         */
        LAG,
        /** The node's relay is cut for the span: connections to the node are reset and refused. */
        CUT;

        /** Whether it is a fault of a router's process, so that one router has one such at a time. */
        public boolean ofProcess() {
            return this == PAUSE || this == KILL || this == TERM;
        }
    }
}
