package stoatrill.core;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The connections to servers. Each carries one attempt at a time, idle ones are reused, and one limit applies to all.
 *
 * <p>After an answer a connection is synchronized before it is used again: a server may have sent more than the answer,
 * and no time after which that has certainly arrived is known to the router. The answers of a connection come in order,
 * so the reply to a request that follows the answer is the evidence.
 */
final class ServerPool {

    /** Callbacks of the pool to its owner; none of them may call the pool back for the same connection. */
    interface Owner {
        /** Writes the attempt to a connection that is established and free; returns false if it must not be sent. */
        boolean writeAttempt(ServerConnection connection, Attempt attempt);

        /** Ends an attempt that was never written because no connection could be established for it. */
        void connectionFailed(Attempt attempt, boolean isServerFull);
    }

    /** The pool's initial connection limit and its timeouts in nanoseconds. */
    record Limits(int maxConnections, long connectTimeout, long idleTimeout) {}

    /**
     * The longest that attempts wait for a synchronization, as a ratio of the connect timeout. The rest of it is for
     * the connection that is opened then.
     */
    private static final double SYNCHRONIZATION_WAIT_RATIO = 0.25;

    private final Effects effects;
    private final DeadlineQueue deadlines;
    private final Owner owner;
    private final Limits limits;
    private final Map<Long, ServerConnection> connectionsById = new HashMap<>();
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

    ServerConnection get(long id) {
        return connectionsById.get(id);
    }

    /** Finds a connection for the attempt: an idle one, one that is being synchronized, or one opened for it. */
    void assignConnection(long now, Attempt attempt) {
        Server server = attempt.server;
        ServerConnection idleConnection = takeIdleConnection(server);
        if (idleConnection != null) {
            if (!owner.writeAttempt(idleConnection, attempt)) {
                rest(now, idleConnection);
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

    /** Takes the idle connection that was used last; closes those on which something has been received. */
    private ServerConnection takeIdleConnection(Server server) {
        while (!server.idleConnections.isEmpty()) {
            ServerConnection candidate = server.idleConnections.peekFirst();
            if (effects.hasNoUnreadData(candidate.id)) {
                effects.count("connection", "warm");
                server.idleConnections.removeFirst();
                candidate.timeout.cancel();
                candidate.state = ServerConnection.State.BUSY;
                return candidate;
            }
            effects.count("ended", "not quiet when reused");
            closeConnection(candidate);
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
        while (server.connectingCount + server.synchronizingInTimeCount < server.waitingAttempts.size()) {
            if (connectionsById.size() >= maxConnections && !closeIdleElsewhere(server)) {
                serversAwaitingCapacity.add(server);
                return;
            }
            ServerConnection connection = new ServerConnection(nextConnectionId++, server, now);
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
     * Closes the connection without an attempt that was opened first, so that these don't use up the limit. Of those to
     * {@code excluded}, only a connection whose synchronization is late is closed. Returns whether there was one.
     */
    private boolean closeIdleElsewhere(Server excluded) {
        ServerConnection oldest = null;
        for (ServerConnection candidate : connectionsById.values()) {
            if (isSpare(candidate, excluded) && (oldest == null || candidate.id < oldest.id)) {
                oldest = candidate;
            }
        }
        if (oldest != null) {
            effects.count("ended", "shed");
            closeConnection(oldest);
        }
        return oldest != null;
    }

    private static boolean isSpare(ServerConnection connection, Server excluded) {
        return switch (connection.state) {
            case OPENING, BUSY -> false;
            case SYNCHRONIZING -> connection.server != excluded && connection.server.waitingAttempts.isEmpty();
            case SYNCHRONIZING_LATE -> true;
            case IDLE -> connection.server != excluded;
        };
    }

    /** Handles a connection that is established; nothing precedes its first answer, so it is free at once. */
    void connectionEstablished(long now, ServerConnection connection) {
        connection.timeout.cancel();
        connection.server.connectingCount--;
        connection.server.openingNanos = now - connection.openedAt;
        useOrRest(now, connection);
    }

    /** Handles the server's reply to the request to synchronize the connection, which is free from now on. */
    void connectionSynchronized(long now, ServerConnection connection) {
        connection.timeout.cancel();
        endSynchronization(connection);
        useOrRest(now, connection);
    }

    private void useOrRest(long now, ServerConnection connection) {
        connection.state = ServerConnection.State.BUSY;
        if (!serveWaitingAttempt(connection)) {
            rest(now, connection);
        }
    }

    /** Assigns the connection to the attempt that has waited longest; false if no attempt uses it. */
    private boolean serveWaitingAttempt(ServerConnection connection) {
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

    /**
     * Takes a connection back after an answer. It is synchronized before it is used again; a connection to a server
     * that is leaving is closed.
     */
    void releaseConnection(long now, ServerConnection connection) {
        Server server = connection.server;
        connection.attempt = null;
        if (server.isLeaving()) {
            closeConnection(connection);
            return;
        }
        connection.state = ServerConnection.State.SYNCHRONIZING;
        server.synchronizingConnections.add(connection);
        server.synchronizingInTimeCount++;
        long longestWait = (long) (limits.connectTimeout() * SYNCHRONIZATION_WAIT_RATIO);
        long lateAt = now + Math.min(server.openingNanos, longestWait);
        connection.timeout = deadlines.schedule(lateAt, () -> synchronizationLate(lateAt, now, connection));
        effects.synchronize(connection.id);
    }

    /**
     * Attempts that waited for the synchronization get new connections: waiting has cost as much as opening one takes,
     * and the server may never reply. The connection itself is closed later.
     */
    private void synchronizationLate(long now, long startedAt, ServerConnection connection) {
        effects.count("synchronization", "late");
        connection.server.synchronizingInTimeCount--;
        connection.state = ServerConnection.State.SYNCHRONIZING_LATE;
        connection.timeout = deadlines.schedule(startedAt + limits.connectTimeout(), () -> {
            effects.count("synchronization", "timeout");
            closeConnection(connection);
        });
        openConnections(now, connection.server);
    }

    private static void endSynchronization(ServerConnection connection) {
        boolean wasSynchronizing = connection.server.synchronizingConnections.remove(connection);
        if (wasSynchronizing && connection.state == ServerConnection.State.SYNCHRONIZING) {
            connection.server.synchronizingInTimeCount--;
        }
    }

    /** Makes a free connection idle until its idle timeout. */
    private void rest(long now, ServerConnection connection) {
        Server server = connection.server;
        connection.attempt = null;
        if (server.isLeaving()) {
            closeConnection(connection);
            return;
        }
        connection.state = ServerConnection.State.IDLE;
        server.idleConnections.addFirst(connection);
        connection.timeout = deadlines.schedule(now + limits.idleTimeout(), () -> closeConnection(connection));
    }

    /** Closes and removes a connection; the caller ends the attempt on it, if there is one. */
    void closeConnection(ServerConnection connection) {
        effects.closeConnection(connection.id);
        removeConnection(connection);
    }

    private void removeConnection(ServerConnection connection) {
        if (connectionsById.remove(connection.id) != null) {
            connection.server.connectionCount--;
            endSynchronization(connection);
        }
        connection.server.idleConnections.remove(connection);
        connection.timeout.cancel();
    }

    /** Handles a connection that ended; {@code isServerFull} if the server said that it has too many connections. */
    void connectionLost(long now, ServerConnection connection, boolean isServerFull) {
        removeConnection(connection);
        Server server = connection.server;
        switch (connection.state) {
            case OPENING -> {
                effects.count("ended", isServerFull ? "refused as full" : "connecting");
                server.connectingCount--;
                failLongestWaiting(server, isServerFull);
            }
            case BUSY -> effects.count("ended", "at work");
            case SYNCHRONIZING, SYNCHRONIZING_LATE -> {
                effects.count("ended", "synchronizing");
                openConnections(now, server);
            }
            case IDLE -> effects.count("ended", "resting");
        }
    }

    /** Fails the attempt that has waited longest if no connection is left for it. */
    private void failLongestWaiting(Server server, boolean isServerFull) {
        if (server.waitingAttempts.size() > server.connectingCount + server.synchronizingInTimeCount) {
            Attempt longestWaiting = server.waitingAttempts.iterator().next();
            stopWaiting(longestWaiting);
            owner.connectionFailed(longestWaiting, isServerFull);
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

    /** Closes the connections to a server that have no attempt; attempts that wait get new ones. */
    void closeIdleConnections(long now, Server server) {
        while (!server.idleConnections.isEmpty()) {
            closeConnection(server.idleConnections.peekFirst());
        }
        List.copyOf(server.synchronizingConnections).forEach(this::closeConnection);
        openConnections(now, server);
    }
}
