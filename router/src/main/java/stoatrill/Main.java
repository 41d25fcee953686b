package stoatrill;

import java.io.BufferedInputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.net.BindException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stoatrill.cli.Commands;
import stoatrill.cli.Logs;
import stoatrill.config.Config;
import stoatrill.config.ConfigException;
import stoatrill.net.EventLoop;
import stoatrill.pg.PgClient;
import stoatrill.pg.PgServer;
import stoatrill.startup.ClassPreloader;
import stoatrill.startup.Retry;
import stoatrill.startup.Signals;
import stoatrill.wire.MalformedInputException;
import stoatrill.wire.SimhostLoop;

/**
 * Entry point. {@code serve} runs one router on sockets. {@code simhost} runs the same decisions on the simulator's
 * wire protocol, over standard input and output. When one of these two words is the only argument, the program starts
 * without loading the command line library or a second logging library. {@link Commands} parses all other arguments.
 */
public final class Main {
    /** How long startup retries steps that fail with a transient error. */
    private static final long START_RETRY_LIMIT_NANOS = 2_000_000_000L;
    /** How long a reload after SIGHUP retries a configuration that can't be read. */
    private static final long RELOAD_RETRY_LIMIT_NANOS = 600_000_000_000L;

    /** The number of reloads requested so far, which is also the number of the newest reload. */
    private static final AtomicInteger RELOAD_COUNT = new AtomicInteger();
    /** The last reload for which a warning about an unreadable configuration was logged. */
    private static final AtomicInteger LAST_LOGGED_RELOAD = new AtomicInteger();

    /** The event loop that handles signals; null until it is up. Guarded by this class. */
    private static EventLoop servingLoop;

    /** Whether a reload was requested before the event loop was up. Guarded by this class. */
    private static boolean reloadPending;
    /** Whether a stop was requested before the event loop was up. Guarded by this class. */
    private static boolean stopPending;

    private Main() {}

    /**
     * Exits with 0 after an orderly shutdown, 1 on malformed input or a failure, 2 on a usage or configuration error.
     */
    public static void main(String[] args) {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "serve" -> {
                Logs.PLAIN.select();
                serve();
            }
            case "simhost" -> simhost();
            default -> System.exit(Commands.newCommandLine().execute(args));
        }
    }

    /** Runs one router until SIGTERM or SIGINT. Call {@link Logs#select} first. */
    public static void serve() {
        Signals.handle("HUP", Main::reload);
        // Installed before the listener is up: from then on every incoming connection counts as accepted, even if
        // SIGTERM has already arrived.
        Signals.handle("TERM", Main::stop);
        Signals.handle("INT", Main::stop);
        try {
            Config config =
                    Retry.within(START_RETRY_LIMIT_NANOS, Main::isTransient, () -> Config.read(System.getenv()));
            Logs.addRouterName(config.name());
            int classCount = Retry.within(START_RETRY_LIMIT_NANOS, Main::isTransient, ClassPreloader::load);
            log().debug("preloaded {} classes before accepting the first client", classCount);
            EventLoop loop = Retry.within(
                    START_RETRY_LIMIT_NANOS,
                    Main::isTransient,
                    () -> new EventLoop(config, PgClient::new, PgServer::new));
            attach(loop);
            loop.run();
        } catch (ConfigException e) {
            exit(2, e.getMessage());
        } catch (IOException e) {
            exit(1, e.getMessage());
        }
    }

    /** Returns whether a failed step may succeed if it is retried. */
    private static boolean isTransient(Exception e) {
        return e instanceof ConfigException config ? config.isTransient() : !(e instanceof BindException);
    }

    /** Handles SIGTERM and SIGINT: shuts the event loop down in order, after which the program ends. */
    private static void stop() {
        runOrDefer(EventLoop::stop, () -> stopPending = true);
    }

    /**
     * Handles SIGHUP: reads the configuration again, on the signal's own thread. Retries a file that can't be read,
     * logs that once, and gives up when a newer signal starts its own reload.
     */
    private static void reload() {
        int reload = RELOAD_COUNT.incrementAndGet();
        try {
            Config newConfig = Retry.within(
                    RELOAD_RETRY_LIMIT_NANOS,
                    e -> RELOAD_COUNT.get() == reload && isTransient(e),
                    () -> readOrWarn(reload));
            runOrDefer(loop -> loop.reload(newConfig), () -> reloadPending = true);
        } catch (ConfigException e) {
            log().warn("the configuration is kept as it was: {}", e.getMessage());
        }
    }

    /** Reads the configuration; on a transient failure, logs a warning unless this reload has logged one already. */
    private static Config readOrWarn(int reload) throws ConfigException {
        try {
            return Config.read(System.getenv());
        } catch (ConfigException e) {
            if (e.isTransient() && LAST_LOGGED_RELOAD.getAndSet(reload) != reload) {
                log().warn("the configuration is read again until it can be: {}", e.getMessage());
            }
            throw e;
        }
    }

    /** Runs a signal's action on the event loop, or records that it is pending while there is no loop yet. */
    private static synchronized void runOrDefer(Consumer<EventLoop> action, Runnable defer) {
        if (servingLoop != null) {
            action.accept(servingLoop);
        } else {
            defer.run();
        }
    }

    /** Makes this event loop handle all further signals, and carries out those that arrived before it was up. */
    private static synchronized void attach(EventLoop loop) {
        servingLoop = loop;
        if (reloadPending) {
            reload();
        }
        if (stopPending) {
            loop.stop();
        }
    }

    /**
     * Returns the logger. It is not a constant, since a logger made before {@link Logs#select} would fix the library.
     */
    private static Logger log() {
        return LoggerFactory.getLogger(Main.class);
    }

    /** Serves the simulator's wire protocol until standard input ends. */
    public static void simhost() {
        try (BufferedInputStream in = new BufferedInputStream(System.in, 1 << 16);
                FileOutputStream out = new FileOutputStream(FileDescriptor.out)) {
            new SimhostLoop(in, out).run();
        } catch (MalformedInputException e) {
            exit(1, "malformed input: " + e.getMessage());
        } catch (IOException e) {
            exit(1, e.getMessage());
        }
    }

    private static void exit(int status, String message) {
        System.err.println("stoatrill: " + message);
        System.exit(status);
    }
}
