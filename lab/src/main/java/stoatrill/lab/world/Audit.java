package stoatrill.lab.world;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** The operators' rules, as the model sees them kept or broken. */
public final class Audit {

    /** The rules that are checked. */
    public enum Rule {
        /** Each request taken gets one final answer, within the slack after its deadline. */
        ANSWER,
        /** What may have run is not sent again or called refused, where it must not run twice. */
        ONCE,
        /** Nothing new goes to a node later than the grace after the router was told. */
        DRAIN,
        /** A cold node is not sent so much that it falls over. */
        COLD,
        /** No bounded read goes to a node whose data is older than it may be. */
        STALE
    }

    /** One break; {@code request} is negative where none is to blame alone. */
    public record Breach(Rule rule, long at, int router, int node, long request) {}

    private static final int KEPT = 100;
    private final Map<Rule, Long> counts = new EnumMap<>(Rule.class);
    private final List<Breach> first = new ArrayList<>();

    void broken(Rule rule, long at, int router, int node, long request) {
        counts.merge(rule, 1L, Long::sum);
        if (first.size() < KEPT) {
            first.add(new Breach(rule, at, router, node, request));
        }
    }

    /** How often each was broken; empty is the good case. */
    public Map<Rule, Long> counts() {
        return counts;
    }

    /** The first hundred breaks; times count from the day's start. */
    public List<Breach> first() {
        return first;
    }

    public long total() {
        return counts.values().stream().mapToLong(Long::longValue).sum();
    }
}
