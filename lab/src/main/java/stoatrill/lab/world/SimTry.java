package stoatrill.lab.world;

import stoatrill.core.Statement;

/** One try of a request at one router; it is the statement that the router passes on. */
final class SimTry implements Statement {
    final long id;
    final SimRequest request;
    final long deadline;
    /** Attempts that were written whole; and whether one of them may have run, as far as its router knows. */
    int attempts;

    boolean maybeRan;
    /** Whether the attempt that answers it was sent to data too old, and the work it took. */
    boolean stale;

    double work;

    SimTry(long id, SimRequest request, long deadline) {
        this.id = id;
        this.request = request;
        this.deadline = deadline;
    }

    @Override
    public byte[] encodeWithWait(long waitMillis) {
        return new byte[0];
    }
}
