package stoatrill.core;

import java.net.InetSocketAddress;
import stoatrill.Gateway.ListedState;

/**
 * An entry of discovery's server list.
 *
 * @param relativeCapacity compares the capacity of servers, without a unit
 * @param startedAtMillis Unix time of the server's last start; 0 for long ago
 */
public record ServerEntry(
        String uid,
        InetSocketAddress endpoint,
        String zone,
        String model,
        int group,
        double relativeCapacity,
        long startedAtMillis,
        boolean isPrimary,
        ListedState state) {}
