package stoatrill.lab.run;

import java.util.Locale;
import java.util.function.ToDoubleFunction;
import stoatrill.lab.world.Tally;
import stoatrill.lab.world.World;

/** A figure of one day. */
public enum Metric {
    SCORE(w -> w.tally().score()),
    SERVED(w -> w.tally().whole()),
    WORST_WINDOW(w -> w.tally().worstWindow()),
    WORST_CLASS(w -> w.tally().worstClass()),
    WORST_TEAM(w -> w.tally().worstTeam()),
    WORST_STEADY(w -> w.tally().worstSteady()),
    OF_PROMISE(World::mostOfPromise),
    WASTE(w -> w.tally().waste()),
    CROSSING(w -> w.tally().crossing()),
    PROBES(w -> w.tally().probing()),
    P50_MS(w -> w.tally().latency(0.5)),
    P99_MS(w -> w.tally().latency(0.99)),
    REFUSED_AT_ONCE(w -> w.tally().ended(Tally.End.REFUSED_AT_ONCE)),
    REFUSED_LATER(w -> w.tally().ended(Tally.End.REFUSED_LATER)),
    FAILED(w -> w.tally().ended(Tally.End.FAILED)),
    ROUTER_DOWN(w -> w.tally().ended(Tally.End.ROUTER_DOWN)),
    ROUTER_LOST(w -> w.tally().ended(Tally.End.ROUTER_LOST)),
    ATTEMPTS(w -> (double) w.tally().attempts / Math.max(1, w.tally().tries)),
    REQUESTS(w -> w.tally().requests),
    /** The most in a second at any node, from all routers. */
    PROBES_AT_NODE(World::mostProbes),
    /** The most at once at any node, from all routers. */
    CONNECTIONS_AT_NODE(World::mostConnections),
    /** The most in a second, from all routers. */
    LIST_CALLS(World::mostListCalls),
    /** The most sent to a cold node, as a part of what tips it over. */
    COLD_PRESSURE(World::mostPressed),
    FAILOVERS(w -> w.failovers()),
    BROKEN(w -> w.audit().total()),
    INVARIANTS(w -> w.invariants());

    @SuppressWarnings("ImmutableEnumChecker") // a lambda that captures nothing, or a method reference
    private final ToDoubleFunction<World> figure;

    Metric(ToDoubleFunction<World> figure) {
        this.figure = figure;
    }

    double of(World world) {
        return figure.applyAsDouble(world);
    }

    /** As experiments write it. */
    public String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
