package stoatrill.lab.rig;

import java.util.List;
import java.util.stream.Stream;

/** The events of a history, in the order in which they were recorded. Immutable. */
record Events(List<HistoryEvent> all) {
    /** Reads the lines of a history. */
    static Events parse(List<String> lines) {
        return new Events(lines.stream().map(HistoryEvent::parse).toList());
    }

    /** Those of one kind. */
    <T extends HistoryEvent> Stream<T> of(Class<T> kind) {
        return all.stream().filter(kind::isInstance).map(kind::cast);
    }
}
