package stoatrill.core;

import stoatrill.core.DeadlineQueue.Deadline;

/** One attempt of a request at one server, or a probe of that server if {@code request} is null. */
final class Attempt {
    enum State {
        AWAITING_CONNECTION,
        /** It has a connection, but its last byte is not written. */
        WRITING,
        WRITTEN,
        ENDED
    }

    final Request request;
    final int number;
    final Server server;
    /** When the module asked for it. */
    final long createdAt;

    State state = State.AWAITING_CONNECTION;
    /** Whether the server may have run it, by its outcome. */
    boolean mayHaveRun;
    /** How long the server was told that the router waits for the answer. */
    long announcedWaitMillis;
    /** When the request gate last permitted its write. */
    long permittedAt;

    ServerConnection connection;
    Deadline timeoutDeadline;
    Deadline connectDeadline;

    Attempt(Request request, int number, Server server, long createdAt) {
        this.request = request;
        this.number = number;
        this.server = server;
        this.createdAt = createdAt;
        this.permittedAt = createdAt;
    }

    /** Whether the server may have run it: by its outcome, or because its last byte is written. */
    boolean mayHaveRunByNow() {
        return mayHaveRun || state == State.WRITTEN;
    }
}
