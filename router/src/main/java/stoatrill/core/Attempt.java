package stoatrill.core;

import stoatrill.core.Deadlines.Deadline;

/** One try of a request at one server, or a probe of it if {@code request} is null. */
final class Attempt {
    enum State {
        WAITING,
        WRITING,
        OUT,
        ENDED
    }

    final Request request;
    final int number;
    final ServerPool.Server server;
    final long sentAt;
    State state = State.WAITING;
    boolean mayHaveRun;
    /** How long its server was told that the answer is waited for. */
    long toldMillis;
    /** When the gate last let it go out. */
    long permittedAt;

    ServerPool.Connection connection;
    Deadline timeout;
    Deadline connectBy;

    Attempt(Request request, int number, ServerPool.Server server, long sentAt) {
        this.request = request;
        this.number = number;
        this.server = server;
        this.sentAt = sentAt;
        this.permittedAt = sentAt;
    }

    /** Whether the server may have run it: by its outcome, or because its last byte is out. */
    boolean mayHaveRunByNow() {
        return mayHaveRun || state == State.OUT;
    }
}
