package stoatrill.config;

/** Thrown for a configuration that a router can't start with. The message is a single line. */
public final class ConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    private final boolean isTransient;

    /** Creates an exception for a permanent error: reading the configuration again would not help. */
    public ConfigException(String message) {
        this(message, false);
    }

    /**
     * Creates an exception.
     *
     * @param isTransient whether reading the configuration again may succeed, because the read itself failed
     */
    public ConfigException(String message, boolean isTransient) {
        super(message);
        this.isTransient = isTransient;
    }

    /** Returns whether reading the configuration again may succeed. */
    public boolean isTransient() {
        return isTransient;
    }
}
