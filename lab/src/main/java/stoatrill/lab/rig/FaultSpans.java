package stoatrill.lab.rig;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import stoatrill.lab.rig.HistoryEvent.Fault;

/**
 * When each router of a {@link History} was being killed or stood paused. Times are nanoseconds of the rig. Immutable
 * once it has been taken from the events.
 */
final class FaultSpans {
    private static final long NOT_OVER = Long.MAX_VALUE;

    /** A span of time, both ends included. */
    private record Span(long from, long to) {
        boolean overlaps(long start, long end) {
            return from <= end && to >= start;
        }

        long overlapNanos(long start, long end) {
            return Math.max(0, Math.min(to, end) - Math.max(from, start));
        }
    }

    private final Map<String, List<Span>> kills = new HashMap<>();
    private final Map<String, List<Span>> pauses = new HashMap<>();

    private FaultSpans() {}

    /** Takes the faults of a history. */
    static FaultSpans of(Events events) {
        FaultSpans spans = new FaultSpans();
        events.of(Fault.class).forEach(spans::add);
        return spans;
    }

    private void add(Fault fault) {
        switch (fault.kind()) {
            case "kill" -> begin(kills, fault.target(), fault.at(), fault.at());
            case "killed" -> end(kills, fault.target(), fault.at());
            case "pause" -> begin(pauses, fault.target(), fault.at(), NOT_OVER);
            case "resume" -> end(pauses, fault.target(), fault.at());
            default -> {}
        }
    }

    private static void begin(Map<String, List<Span>> spans, String router, long from, long to) {
        spans.computeIfAbsent(router, r -> new ArrayList<>()).add(new Span(from, to));
    }

    private static void end(Map<String, List<Span>> spans, String router, long to) {
        List<Span> begun = spans.getOrDefault(router, List.of());
        if (!begun.isEmpty()) {
            int last = begun.size() - 1;
            begun.set(last, new Span(begun.get(last).from(), to));
        }
    }

    /**
     * Whether the router died at some time from {@code start} to {@code end}: a kill takes effect somewhere between the
     * signal and the end of the process. A kill whose end is not in the history counts at its signal alone.
     */
    boolean killedWithin(String router, long start, long end) {
        return kills.getOrDefault(router, List.of()).stream().anyMatch(span -> span.overlaps(start, end));
    }

    /** Whether the router stood paused at some time from {@code start} to {@code end}. */
    boolean pausedWithin(String router, long start, long end) {
        return pauses.getOrDefault(router, List.of()).stream().anyMatch(span -> span.overlaps(start, end));
    }

    /** For how long the router stood paused from {@code start} to {@code end}. */
    long pausedNanos(String router, long start, long end) {
        return pauses.getOrDefault(router, List.of()).stream()
                .mapToLong(span -> span.overlapNanos(start, end))
                .sum();
    }
}
