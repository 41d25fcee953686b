package stoatrill.lab.rig;

import java.util.List;

/**
 * One fault of a soak.
 *
 * @param at when it begins, in nanoseconds from the start of the soak
 * @param span how long it lasts, in nanoseconds
 * @param router the router it befalls, from 0
 * @param node the node whose relay it is put on, from 0
 * @param call the system calls that fail, for {@link Kind#CALLS}
 * @param share the share of them that does, 0 to 1
 * @param errors what they fail with
 * @param step how far the wall clock is stepped, in nanoseconds, for {@link Kind#CLOCK}
 */
public record SoakFault(
        long at,
        long span,
        Kind kind,
        int router,
        int node,
        SystemCall call,
        double share,
        List<Errno> errors,
        long step) {

    /** The kinds of faults of a soak. */
    public enum Kind {
        /** A share of one kind of the router's system calls fails. */
        CALLS,
        /** SIGSTOP for up to 0.15 s, as a busy machine may hold up a process. */
        SHORT_PAUSE,
        /** SIGSTOP for longer. */
        PAUSE,
        /** SIGKILL, started again after the span. */
        KILL,
        /** SIGTERM, then SIGKILL at the earliest that the protocol allows, and started again. */
        TERM,
        /** SIGHUP several times in a row. */
        HANGUP,
        /** The node's relay resets answers that follow statements. */
        RESET,
        /** Connections to the node are reset and refused. */
        CUT,
        /** The node's data stands nearly still. */
        LAG,
        /** All open watches fall silent. */
        SILENCE,
        /** Discovery fails every call. */
        DISCOVERY_AWAY,
        /** The router's wall clock is stepped, and back at the end. */
        CLOCK
    }
}
