package stoatrill.core;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;
import stoatrill.Gateway;

/**
 * A server that the server list has named: what is known of it, and its connections. {@link ServerDirectory} keeps the
 * former, {@link ServerPool} the latter. Times are in nanoseconds of the reducer's clock. Not thread-safe.
 */
final class Server {
    final long id;
    InetSocketAddress endpoint;
    /** A lower bound of its log position, from its own answers and reports. */
    long position = Gateway.NO_POSITION;

    /** Its role, from its own answers. */
    Gateway.Role role = Gateway.Role.UNKNOWN;

    final Set<Attempt> waitingAttempts = new LinkedHashSet<>();
    final ArrayDeque<ServerConnection> idleConnections = new ArrayDeque<>();
    int connectingCount;
    final Set<ServerConnection> synchronizingConnections = new LinkedHashSet<>();
    /** Those of them that are expected to be free before a new one would be. */
    int synchronizingInTimeCount;
    /** How long the last connection that was opened took, in nanoseconds. */
    long openingNanos;

    int connectionCount;
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

    /** Whether it drains or is not listed, so that no connection to it is kept. */
    boolean isLeaving() {
        return !isListed || leavingSince != NOT_LEAVING;
    }

    /** Whether it has a connection or a waiting attempt. */
    boolean isInUse() {
        return connectionCount > 0 || !waitingAttempts.isEmpty();
    }
}
