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
import stoatrill.wire.Loop;
import stoatrill.wire.MalformedInputException;

/**
 * Starts the program: {@code serve} runs one router on sockets, {@code simhost} runs the same decisions on the
 * simulator's wire, on standard input and output. These two words alone go the short way, which loads neither
 * the command line's library nor a second log library; all else is read by {@link Commands}.
 */
public final class Main {
    /** How long a start goes on trying what fails for a moment, in nanoseconds. */
    private static final long START_PATIENCE = 2_000_000_000L;
    /** How long a configuration that can't be read after SIGHUP is tried again, in nanoseconds. */
    private static final long RELOAD_PATIENCE = 600_000_000_000L;

    private static final AtomicInteger RELOADS = new AtomicInteger();
    /** The last reload of which it was said that the configuration can't be read. */
    private static final AtomicInteger SAID = new AtomicInteger();

    /** The loop that signals go to, and those that came before there was one; guarded by this class. */
    private static EventLoop serving;

    private static boolean reloadAsked;
    private static boolean stopAsked;

    private Main() {}

    /** Exits with 0 at an orderly end, 1 on bad input or a failure, 2 on wrong usage or configuration. */
    public static void main(String[] args) {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "serve" -> {
                Logs.PLAIN.choose();
                serve();
            }
            case "simhost" -> simhost();
            default -> System.exit(Commands.line().execute(args));
        }
    }

    /** Runs one router until SIGTERM; {@link Logs#choose} comes first. */
    public static void serve() {
        Signals.handle("HUP", Main::reload);
        // Before the listener is up: what comes in from then on counts as taken, also if SIGTERM is here already.
        Signals.handle("TERM", Main::stop);
        Signals.handle("INT", Main::stop);
        try {
            Config config = Retry.within(START_PATIENCE, Main::passes, () -> Config.read(System.getenv()));
            Logs.name(config.name());
            int classes = Retry.within(START_PATIENCE, Main::passes, ClassPreloader::load);
            log().debug("{} classes loaded before the first client", classes);
            EventLoop loop = Retry.within(
                    START_PATIENCE, Main::passes, () -> new EventLoop(config, PgClient::new, PgServer::new));
            serves(loop);
            loop.run();
        } catch (ConfigException e) {
            exit(2, e.getMessage());
        } catch (IOException e) {
            exit(1, e.getMessage());
        }
    }

    /** Whether what failed may succeed if it is tried again. */
    private static boolean passes(Exception e) {
        return e instanceof ConfigException config ? config.passes() : !(e instanceof BindException);
    }

    /** SIGTERM: the loop ends in order, and the program with it. */
    private static void stop() {
        asked(EventLoop::stop, () -> stopAsked = true);
    }

    /**
     * SIGHUP: reads the configuration anew, on the signal's own thread. A file that can't be read is tried again, and
     * said once; a newer signal takes over.
     */
    private static void reload() {
        int mine = RELOADS.incrementAndGet();
        try {
            Config anew = Retry.within(RELOAD_PATIENCE, e -> RELOADS.get() == mine && passes(e), () -> readOrSay(mine));
            asked(loop -> loop.reload(anew), () -> reloadAsked = true);
        } catch (ConfigException e) {
            log().warn("the configuration is kept as it was: {}", e.getMessage());
        }
    }

    private static Config readOrSay(int reload) throws ConfigException {
        try {
            return Config.read(System.getenv());
        } catch (ConfigException e) {
            if (e.passes() && SAID.getAndSet(reload) != reload) {
                log().warn("the configuration is read again until it can be: {}", e.getMessage());
            }
            throw e;
        }
    }

    /** Does what a signal asks for, or keeps it in mind until there is a loop that can do it. */
    private static synchronized void asked(Consumer<EventLoop> now, Runnable orElse) {
        if (serving != null) {
            now.accept(serving);
        } else {
            orElse.run();
        }
    }

    /** From now on signals go to this loop; those that came before it was up are carried out. */
    private static synchronized void serves(EventLoop loop) {
        serving = loop;
        if (reloadAsked) {
            reload();
        }
        if (stopAsked) {
            loop.stop();
        }
    }

    private static Logger log() {
        return LoggerFactory.getLogger(Main.class); // not before the library of the logs was chosen
    }

    /** Serves the simulator's wire until standard input ends. */
    public static void simhost() {
        try (BufferedInputStream in = new BufferedInputStream(System.in, 1 << 16);
                FileOutputStream out = new FileOutputStream(FileDescriptor.out)) {
            new Loop(in, out).run();
        } catch (MalformedInputException e) {
            exit(1, "malformed input: " + e.getMessage());
        } catch (IOException e) {
            exit(1, e.getMessage());
        }
    }

    private static void exit(int status, String line) {
        System.err.println("stoatrill: " + line);
        System.exit(status);
    }
}
