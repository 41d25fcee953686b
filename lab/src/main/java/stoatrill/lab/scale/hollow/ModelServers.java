package stoatrill.lab.scale.hollow;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import stoatrill.Gateway.Result;
import stoatrill.Gateway.Role;
import stoatrill.core.DeadlineQueue;
import stoatrill.core.Reducer;
import stoatrill.core.ServerAnswer;

/**
 * The servers as one hollow router sees them: each connection comes up, and each question is answered, after a fixed
 * time, with a position of {@link #AGE_MILLIS} ago. Used by one thread.
 */
final class ModelServers {
    private static final long MILLI = 1_000_000L;
    private static final long CONNECT = 2 * MILLI;
    private static final long ANSWER = 3 * MILLI;
    /** A round trip, which is half of what it takes to connect. */
    private static final long SYNCHRONIZATION = CONNECT / 2;

    private static final long AGE_MILLIS = 5;
    private static final byte[] VALUE = {1};

    private final DeadlineQueue deadlines;
    private final LongSupplier now;
    private final Set<Long> connections = new HashSet<>();
    private Reducer reducer;

    ModelServers(DeadlineQueue deadlines, LongSupplier now) {
        this.deadlines = deadlines;
        this.now = now;
    }

    void answerTo(Reducer asker) {
        reducer = asker;
    }

    void open(long connection) {
        connections.add(connection);
        deadlines.schedule(now.getAsLong() + CONNECT, () -> {
            if (connections.contains(connection)) {
                reducer.onServerConnected(now.getAsLong(), connection);
            }
        });
    }

    void ask(long connection) {
        deadlines.schedule(now.getAsLong() + ANSWER, () -> {
            if (connections.contains(connection)) {
                reducer.onServerAnswer(now.getAsLong(), connection, answer(), true);
            }
        });
    }

    void synchronize(long connection) {
        deadlines.schedule(now.getAsLong() + SYNCHRONIZATION, () -> {
            if (connections.contains(connection)) {
                reducer.onServerSynchronized(now.getAsLong(), connection);
            }
        });
    }

    private static ServerAnswer answer() {
        long position = System.currentTimeMillis() - AGE_MILLIS;
        Map<String, Double> report = Map.of("x0", position / 1e3, "q", 0.0);
        return new ServerAnswer(Result.OK, Role.UNKNOWN, position, report, VALUE);
    }

    boolean up(long connection) {
        return connections.contains(connection);
    }

    void close(long connection) {
        connections.remove(connection);
    }
}
