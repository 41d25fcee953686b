package stoatrill.cli;

import org.slf4j.MDC;

/**
 * The formats of the log, each written by an slf4j provider. {@link #PLAIN}, the default, uses the smallest library,
 * since the time to load it adds to every restart.
 */
public enum Logs {
    /** Lines of text, written by slf4j-simple. */
    PLAIN("org.slf4j.simple.SimpleServiceProvider", null),
    /** {@code time=… level=… message=… key=value}, written by logback. */
    KV("ch.qos.logback.classic.spi.LogbackServiceProvider", "logback-kv.xml"),
    /** One JSON object a line, written by logback's JSON encoder. */
    JSON("ch.qos.logback.classic.spi.LogbackServiceProvider", "logback-json.xml");

    private final String provider;
    private final String configuration;

    Logs(String provider, String configuration) {
        this.provider = provider;
        this.configuration = configuration;
    }

    /** Adds the router's name to all further log lines of this thread, if the format has a field for it. */
    public static void addRouterName(String router) {
        if (System.getProperty("logback.configurationFile") != null) {
            MDC.put("router", router);
        }
    }

    /** Selects this format for the process. Has no effect once a logger has been created. */
    public void select() {
        System.setProperty("slf4j.provider", provider);
        System.setProperty("slf4j.internal.verbosity", "WARN"); // otherwise slf4j logs which provider it uses
        if (configuration != null) {
            System.setProperty("logback.configurationFile", configuration);
        }
    }
}
