package stoatrill.config;

/** A configuration that a router can't start with; the message is one plain line. */
public final class ConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    private final boolean passes;

    public ConfigException(String message) {
        this(message, false);
    }

    /** {@code passes}: whether it may be another time, since it was the reading that failed. */
    public ConfigException(String message, boolean passes) {
        super(message);
        this.passes = passes;
    }

    /** Whether reading it again may succeed. */
    public boolean passes() {
        return passes;
    }
}
