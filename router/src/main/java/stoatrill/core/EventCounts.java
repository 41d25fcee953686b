package stoatrill.core;

import java.util.Map;
import java.util.TreeMap;

/**
 * Counts the events of one router by subject and cause, so that the counts in the logs of a fleet can be added up. Not
 * thread-safe. Created only if the log level includes the counts.
 */
public final class EventCounts {
    private final Map<String, Long> counts = new TreeMap<>();

    /** Counts one event. */
    public void increment(String subject, String cause) {
        counts.merge(subject + '.' + cause, 1L, Long::sum);
    }

    /** Returns and resets the counts as {@code subject.cause=number}, sorted by name. */
    public String takeSummary() {
        StringBuilder line = new StringBuilder("counts");
        counts.forEach((name, number) ->
                line.append(' ').append(name.replace(' ', '-')).append('=').append(number));
        counts.clear();
        return line.toString();
    }
}
