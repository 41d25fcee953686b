package stoatrill.standins.model;

/**
 * What a node is like. Spans are in nanoseconds.
 *
 * @param cores how many requests it works on at full speed; as many slots
 * @param speed work done in a unit of time by a core, 1 being the yardstick
 * @param queue requests that may wait
 * @param thrash efficiency lost for each request held a core beyond {@code thrashAt}
 * @param thrashAt requests held a core from which it loses efficiency
 * @param coldFrom the part of its capacity that it starts with
 * @param warmAfter how long until it has all of it
 * @param tipMultiple times its present capacity that a cold node can be sent for {@code tipAfter}
 * @param tipAfter the span over which that is counted
 * @param connections how many it holds at most
 * @param handshakeWork work that a new connection costs it
 * @param probeWork work that a probe costs it
 * @param errorRate the share of requests that fail though all is well
 * @param reportPeriod how old its report on itself may become
 * @param reportDelay how long a fresh one takes to show
 */
public record NodeSpec(
        int cores,
        double speed,
        int queue,
        double thrash,
        double thrashAt,
        double coldFrom,
        long warmAfter,
        double tipMultiple,
        long tipAfter,
        int connections,
        long handshakeWork,
        long probeWork,
        double errorRate,
        long reportPeriod,
        long reportDelay) {}
