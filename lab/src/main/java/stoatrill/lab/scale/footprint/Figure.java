package stoatrill.lab.scale.footprint;

/** What is measured of a router, each with its unit and whether a line is fitted through it. */
public enum Figure {
    START_MILLIS("start to first answer", "ms", true),
    START_PROCESSOR_MILLIS("processor time of the start", "ms", true),
    START_BYTES("bytes from discovery until the first answer", "B", true),
    KNOWN_START_MILLIS("start to first answer with the list in the configuration", "ms", true),
    KNOWN_START_PROCESSOR_MILLIS("processor time of that start", "ms", true),
    KNOWN_START_BYTES("bytes from discovery until that start's first answer", "B", false),
    SETTLED_BYTES("bytes from discovery until settled", "B", true),
    LIST_BYTES("whole list as JSON", "B", true),
    REST_PROCESSOR("processor time at rest, a second", "ms", true),
    REST_BYTES_IN("bytes from discovery at rest, a second", "B", true),
    REST_BYTES_OUT("bytes to discovery at rest, a second", "B", true),
    RESIDENT_KIB("resident memory (VmRSS)", "KiB", true),
    ANONYMOUS_KIB("anonymous part of it (RssAnon)", "KiB", true),
    HEAP_KIB("live heap after a full collection", "KiB", true),
    RESIDENT_AFTER_KIB("resident memory after that collection", "KiB", true),
    SERVER_CONNECTIONS("connections opened to servers", "", false),
    PROBES("probes", "", false),
    CLIENTS_SERVED("clients that got their first answer", "", false),
    CLIENTS_HELD("clients still connected at the end", "", false),
    FIRST_ANSWER_P50("first answer after connect, median", "ms", false),
    FIRST_ANSWER_P99("first answer after connect, p99", "ms", false),
    FIRST_ANSWER_LAST("first answer after connect, last", "ms", false),
    CROWD_PROCESSOR_MILLIS("processor time to take the clients in", "ms", true),
    AT_SERVERS("statements that servers hold", "", false),
    UNANSWERED("statements without an answer", "", false),
    IDLE_HEAP_KIB("live heap with the same clients at rest", "KiB", false),
    IDLE_RESIDENT_KIB("resident memory with the same clients at rest", "KiB", false),
    HEAP_ADDED_KIB("live heap added by the statements", "KiB", true),
    SENT("statements sent", "", false),
    ANSWERED("statements answered by a row", "", false),
    REFUSED("statements refused", "", false),
    FAILED("statements failed", "", false),
    LOAD_PROCESSOR("processor time under load, a second", "ms", true),
    AFTER_LOAD_PROCESSOR("processor time at rest after the load, a second", "ms", true),
    MICROS_A_STATEMENT("processor time a statement beyond that at rest", "us", true);

    private final String label;
    private final String unit;
    private final boolean fitted;

    Figure(String label, String unit, boolean fitted) {
        this.label = label;
        this.unit = unit;
        this.fitted = fitted;
    }

    /** What it is, in words. */
    public String label() {
        return label;
    }

    /** Its unit; empty for a count. */
    public String unit() {
        return unit;
    }

    /** Whether a line through it over the sizes says anything. */
    public boolean fitted() {
        return fitted;
    }
}
