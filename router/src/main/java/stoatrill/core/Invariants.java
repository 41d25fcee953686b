package stoatrill.core;

import java.util.Map;
import java.util.TreeMap;

/** Checks invariants: a broken one is counted, and thrown if assertions are enabled. */
public final class Invariants {
    private final Map<String, Long> violations = new TreeMap<>();

    /** Returns the condition, so that the caller can handle a broken invariant where assertions are disabled. */
    public boolean check(boolean condition, String description) {
        if (!condition) {
            violations.merge(description, 1L, Long::sum);
            assert false : description;
        }
        return condition;
    }

    /** How often each invariant was broken; empty if none was. */
    public Map<String, Long> violations() {
        return Map.copyOf(violations);
    }
}
