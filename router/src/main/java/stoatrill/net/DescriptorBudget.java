package stoatrill.net;

/**
 * Divides the descriptors that the router may open between client and server connections. The machine may allow fewer
 * than configured: the limit is then the number of connections that were open when a descriptor was refused, less a
 * spare, until {@link #restoreLimit}. For the event loop's thread alone.
 */
final class DescriptorBudget {
    /** Descriptors for the listener, discovery, the selector and the runtime's own files. */
    private static final int RESERVED_COUNT = 40;
    /** The share of the other descriptors that servers may use however many clients there are. */
    private static final double SERVER_SHARE = 0.3;
    /** The share kept for clients however few there are. */
    private static final double CLIENT_SHARE = 1.0 / 3;
    /** Descriptors kept free for the next clients, and below an observed limit. */
    private static final int SPARE_COUNT = 16;
    /** The share of the client limit up to which idle clients may stay. */
    private static final double IDLE_CLIENT_SHARE = 0.25;

    private static final int MIN_CONNECTION_COUNT = 16;

    private final int configuredLimit;
    private int connectionLimit;

    /** Creates the budget of a process with the given configured number of descriptors in total. */
    DescriptorBudget(int descriptors) {
        this.configuredLimit = Math.max(MIN_CONNECTION_COUNT, descriptors - RESERVED_COUNT);
        this.connectionLimit = configuredLimit;
    }

    /** The maximum number of connections to clients and servers together. */
    int connectionLimit() {
        return connectionLimit;
    }

    /** The number of connections that servers may have at least. */
    int guaranteedServers() {
        return (int) (connectionLimit * SERVER_SHARE);
    }

    /** The maximum number of client connections. */
    int clientLimit() {
        return connectionLimit - guaranteedServers();
    }

    /** The number of clients up to which idle ones may stay. */
    int idleClientLimit() {
        return (int) (clientLimit() * IDLE_CLIENT_SHARE);
    }

    /**
     * The maximum number of server connections beside the given number of clients: all descriptors that clients are not
     * likely to need. A fixed limit would close a warm connection for each new one, in large deployments and where
     * requests take long, while clients use only part of their share.
     */
    int serverLimit(int clientCount) {
        int keptForClients = Math.max(clientCount + SPARE_COUNT, (int) (connectionLimit * CLIENT_SHARE));
        return Math.max(guaranteedServers(), connectionLimit - keptForClients);
    }

    /** Lowers the limit after a descriptor was refused while the given number of connections was open. */
    void lowerLimit(int openConnections) {
        connectionLimit = Math.max(MIN_CONNECTION_COUNT, Math.min(connectionLimit, openConnections - SPARE_COUNT));
    }

    /** Restores the configured limit, since the machine may have descriptors again. */
    void restoreLimit() {
        connectionLimit = configuredLimit;
    }
}
