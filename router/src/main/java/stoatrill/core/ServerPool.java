package stoatrill.core;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import stoatrill.Gateway;
import stoatrill.core.DeadlineQueue.Deadline;

/**
 * The connections to servers. Each carries one attempt at a time, idle ones are reused, and one limit applies to all.
 */
final class ServerPool {

    /** Callbacks of the pool to its owner; none of them may call the pool back for the same connection. */
    interface Owner {
        /** Writes the attempt to a connection that is established and free; returns false if it must not be sent. */
        boolean writeAttempt(Connection connection, Attempt attempt);

        /** Ends an attempt that was never written because no connection could be established for it. */
        void connectionFailed(Attempt attempt, boolean isServerFull);
    }

    /** The pool's initial connection limit and its timeouts in nanoseconds. */
    record Limits(int maxConnections, long connectTimeout, long idleTimeout) {}

    /** A server that the server list has named. */
    static final class Server {
        final long id;
        InetSocketAddress endpoint;
        /** A lower bound of its log position, from its own answers and reports. */
        long position = Gateway.NO_POSITION;

        /** Its role, from its own answers. */
        Gateway.Role role = Gateway.Role.UNKNOWN;

        private final Set<Attempt> waitingAttempts = new LinkedHashSet<>();
        private final ArrayDeque<Connection> idleConnections = new ArrayDeque<>();
        private int connectingCount;
        private int connectionCount;
        /** Whether the server list contains it; no idle connections are kept to a server that is not listed. */
        boolean isListed = true;
        /** Its state by the last list that named it; null before the first. */
        Gateway.ListedState listedState;
        /** Unix time in milliseconds of its last start by any list; 0 for long ago. */
        long startedAtMillis;
        /** The same on this router's clock. */
        long startedAt;
        /**
         * When this router was notified that the server drains or is gone, at the latest: earlier by the grace if the
         * notification may have counted as told before. {@link #NOT_LEAVING} if there was none.
         */
        long leavingSince = NOT_LEAVING;

        static final long NOT_LEAVING = Long.MAX_VALUE;

        Server(long id, InetSocketAddress endpoint) {
            this.id = id;
            this.endpoint = endpoint;
        }

        /** Whether it has a connection or a waiting attempt. */
        boolean isInUse() {
            return connectionCount > 0 || !waitingAttempts.isEmpty();
        }
    }

    /** One connection to a server. */
    static final class Connection {
        final long id;
        final Server server;
        Attempt attempt;
        private boolean isEstablished;
        private long idleSince;
        private Deadline timeout;

        private Connection(long id, Server server) {
            this.id = id;
            this.server = server;
        }
    }

    /** How long after an answer the server's close of the connection, or surplus data, has certainly arrived. */
    private static final long SETTLE_TIME_NANOS = 2_000_000L;

    private final Effects effects;
    private final DeadlineQueue deadlines;
    private final Owner owner;
    private final Limits limits;
    private final Map<Long, Connection> connectionsById = new HashMap<>();
    private int maxConnections;
    private final Set<Server> serversAwaitingCapacity = new LinkedHashSet<>();
    private long nextConnectionId;

    ServerPool(Effects effects, DeadlineQueue deadlines, Owner owner, Limits limits) {
        this.effects = effects;
        this.deadlines = deadlines;
        this.owner = owner;
        this.limits = limits;
        this.maxConnections = limits.maxConnections();
    }

    /** Sets the limit of connections; closes idle connections beyond it, the earliest opened first. */
    void setMaxConnections(long now, int newLimit) {
        maxConnections = newLimit;
        while (this.connectionsById.size() > maxConnections && closeIdleElsewhere(null)) {
            // each call closes one connection
        }
        openDeferredConnections(now);
    }

    /** The number of connections that are busy, idle or being opened. */
    int size() {
        return connectionsById.size();
    }

    Connection get(long id) {
        return connectionsById.get(id);
    }

    /** Finds a connection for the attempt: an idle one, or one opened for it. */
    void assignConnection(long now, Attempt attempt) {
        Server server = attempt.server;
        Connection warmConnection =
                takeWarmConnection(now, server, attempt.request == null || !attempt.request.mustRunOnce());
        if (warmConnection != null) {
            if (!owner.writeAttempt(warmConnection, attempt)) {
                releaseConnection(now, warmConnection);
            }
            return;
        }
        server.waitingAttempts.add(attempt);
        attempt.connectDeadline = deadlines.schedule(now + limits.connectTimeout(), () -> {
            // The peer may never accept the connection and give no sign of it.
            if (server.waitingAttempts.remove(attempt)) {
                effects.count("unconnected", "timeout");
                owner.connectionFailed(attempt, false);
            }
        });
        openConnections(now, server);
    }

    /**
     * Takes an idle connection for reuse: the one used last among those that have settled or, if none has settled and
     * {@code allowUnsettled}, the one that has been idle longest. Closes connections on which data was received. A
     * server may close the connection or send surplus data right after an answer; that shows once the connection has
     * settled.
     */
    private Connection takeWarmConnection(long now, Server server, boolean allowUnsettled) {
        for (Connection candidate : List.copyOf(server.idleConnections)) {
            if ((now - candidate.idleSince >= SETTLE_TIME_NANOS
                    || (allowUnsettled && candidate == server.idleConnections.peekLast()))) {
                if (effects.hasNoUnreadData(candidate.id)) {
                    effects.count("connection", "warm");
                    server.idleConnections.remove(candidate);
                    candidate.timeout.cancel();
                    return candidate;
                }
                effects.count("ended", "not quiet when reused");
                closeConnection(candidate);
            }
        }
        return null;
    }

    /** Removes an attempt that waits for a connection; connections opened for it stay. */
    boolean stopWaiting(Attempt attempt) {
        if (attempt.connectDeadline != null) {
            attempt.connectDeadline.cancel();
        }
        return attempt.server.waitingAttempts.remove(attempt);
    }

    private void openConnections(long now, Server server) {
        while (server.connectingCount < server.waitingAttempts.size()) {
            if (connectionsById.size() >= maxConnections && !closeIdleElsewhere(server)) {
                serversAwaitingCapacity.add(server);
                return;
            }
            Connection connection = new Connection(nextConnectionId++, server);
            connectionsById.put(connection.id, connection);
            server.connectingCount++;
            server.connectionCount++;
            connection.timeout = deadlines.schedule(now + limits.connectTimeout(), () -> {
                effects.closeConnection(connection.id);
                connectionLost(now + limits.connectTimeout(), connection, false);
            });
            effects.openConnection(connection.id, server.endpoint);
        }
        serversAwaitingCapacity.remove(server);
    }

    /**
     * Closes the idle connection that was opened first, other than those to {@code excluded}, so that idle connections
     * don't use up the limit. Returns whether there was one.
     */
    private boolean closeIdleElsewhere(Server excluded) {
        Connection oldest = null;
        for (Connection candidate : connectionsById.values()) {
            if (candidate.isEstablished
                    && candidate.attempt == null
                    && candidate.server != excluded
                    && (oldest == null || candidate.id < oldest.id)) {
                oldest = candidate;
            }
        }
        if (oldest != null) {
            effects.count("ended", "shed");
            closeConnection(oldest);
        }
        return oldest != null;
    }

    /** Handles a connection that is established. */
    void connectionEstablished(long now, Connection connection) {
        connection.timeout.cancel();
        connection.isEstablished = true;
        connection.server.connectingCount--;
        if (!serveWaitingAttempt(connection)) {
            releaseConnection(now, connection);
        }
    }

    /** Assigns the connection to the attempt that has waited longest; false if no attempt uses it. */
    private boolean serveWaitingAttempt(Connection connection) {
        Set<Attempt> waitingAttempts = connection.server.waitingAttempts;
        while (!waitingAttempts.isEmpty()) {
            Attempt next = waitingAttempts.iterator().next();
            stopWaiting(next);
            if (owner.writeAttempt(connection, next)) {
                return true;
            }
        }
        return false;
    }

    /** Makes a connection idle until its idle timeout. Once it has settled, it serves attempts that wait. */
    void releaseConnection(long now, Connection connection) {
        Server server = connection.server;
        connection.attempt = null;
        connection.idleSince = now;
        if (!server.waitingAttempts.isEmpty()) {
            deadlines.schedule(now + SETTLE_TIME_NANOS, () -> {
                Connection settled = server.waitingAttempts.isEmpty()
                        ? null
                        : takeWarmConnection(now + SETTLE_TIME_NANOS, server, false);
                if (settled != null && !serveWaitingAttempt(settled)) {
                    releaseConnection(now + SETTLE_TIME_NANOS, settled);
                }
            });
        }
        if (!server.isListed) {
            closeConnection(connection);
            return;
        }
        server.idleConnections.addFirst(connection);
        connection.timeout = deadlines.schedule(now + limits.idleTimeout(), () -> closeConnection(connection));
    }

    /** Closes and removes a connection; the caller ends the attempt on it, if there is one. */
    void closeConnection(Connection connection) {
        effects.closeConnection(connection.id);
        removeConnection(connection);
    }

    private void removeConnection(Connection connection) {
        if (connectionsById.remove(connection.id) != null) {
            connection.server.connectionCount--;
        }
        connection.server.idleConnections.remove(connection);
        connection.timeout.cancel();
    }

    /** Handles a connection that ended; {@code isServerFull} if the server said that it has too many connections. */
    void connectionLost(long now, Connection connection, boolean isServerFull) {
        removeConnection(connection);
        Server server = connection.server;
        String openingCause = isServerFull ? "refused as full" : "connecting";
        effects.count(
                "ended", !connection.isEstablished ? openingCause : connection.attempt == null ? "resting" : "at work");
        if (!connection.isEstablished) {
            server.connectingCount--;
            if (!server.waitingAttempts.isEmpty() && server.waitingAttempts.size() > server.connectingCount) {
                Attempt longestWaiting = server.waitingAttempts.iterator().next();
                stopWaiting(longestWaiting);
                owner.connectionFailed(longestWaiting, isServerFull);
            }
        }
    }

    /** Opens connections that waited for the connection limit. */
    void openDeferredConnections(long now) {
        if (!serversAwaitingCapacity.isEmpty() && connectionsById.size() < maxConnections) {
            for (Server server : List.copyOf(serversAwaitingCapacity)) {
                openConnections(now, server);
            }
        }
    }

    void closeIdleConnections(Server server) {
        while (!server.idleConnections.isEmpty()) {
            closeConnection(server.idleConnections.peekFirst());
        }
    }
}
