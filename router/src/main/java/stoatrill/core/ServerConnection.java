package stoatrill.core;

import stoatrill.core.DeadlineQueue.Deadline;

/** One connection to a server, as {@link ServerPool} keeps it. Not thread-safe. */
final class ServerConnection {
    /** What a connection is used for. */
    enum State {
        OPENING,
        /** It has an attempt, or is about to get one. */
        BUSY,
        /** An answer has come, and the server has been asked to show that nothing follows it. */
        SYNCHRONIZING,
        /** As before, but for so long that attempts no longer wait for it. */
        SYNCHRONIZING_LATE,
        IDLE
    }

    final long id;
    final Server server;
    Attempt attempt;
    final long openedAt;
    State state = State.OPENING;
    Deadline timeout;

    ServerConnection(long id, Server server, long openedAt) {
        this.id = id;
        this.server = server;
        this.openedAt = openedAt;
    }
}
