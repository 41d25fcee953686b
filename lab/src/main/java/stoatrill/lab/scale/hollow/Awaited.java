package stoatrill.lab.scale.hollow;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import stoatrill.Gateway.ListKind;
import stoatrill.Gateway.ListedState;
import stoatrill.core.ServerEntry;

/** What a router has still to be told before it knows of a change, or of a whole list. Used by one thread. */
final class Awaited {
    private static final long UNKNOWN_NANOS = -1;
    private static final String WHOLE_LIST = "list";
    private static final String PRIMARY = "writer";

    /** What the list will say of a server. */
    private record Expected(ListedState state, boolean primary) {
        boolean met(ServerEntry entry) {
            return entry.state() == state && entry.isPrimary() == primary;
        }
    }

    private final Map<String, Expected> entries = new HashMap<>();
    private boolean wholeList;
    private long knownAt = UNKNOWN_NANOS;

    /**
     * Reads what is awaited: {@code list} for a whole list, or entries as {@code uid:State:access} with commas between
     * them, in the list's own words.
     */
    static Awaited parse(String text) {
        Awaited awaited = new Awaited();
        if (text.equals(WHOLE_LIST)) {
            awaited.wholeList = true;
            return awaited;
        }
        for (String entry : text.split(",", -1)) {
            String[] parts = entry.split(":", -1);
            ListedState state =
                    switch (parts[1]) {
                        case "Terminating" -> ListedState.DRAINING;
                        case "Gone" -> ListedState.GONE;
                        default -> ListedState.READY;
                    };
            awaited.entries.put(parts[0], new Expected(state, parts[2].equals(PRIMARY)));
        }
        return awaited;
    }

    /** Takes note of an answer that the router has taken in by now. */
    void heard(long now, ListKind kind, List<ServerEntry> heard) {
        if (knownAt != UNKNOWN_NANOS) {
            return;
        }
        if (kind == ListKind.FULL) {
            wholeList = false;
            Set<String> all = new HashSet<>();
            heard.forEach(entry -> all.add(entry.uid()));
            entries.entrySet().removeIf(e -> e.getValue().state() == ListedState.GONE && !all.contains(e.getKey()));
        }
        for (ServerEntry entry : heard) {
            Expected expected = entries.get(entry.uid());
            if (expected != null && expected.met(entry)) {
                entries.remove(entry.uid());
            }
        }
        if (!wholeList && entries.isEmpty()) {
            knownAt = now;
        }
    }

    /** When the router knew all of it, in nanoseconds of the monotonic clock; -1 if it does not yet. */
    long knownAt() {
        return knownAt;
    }
}
