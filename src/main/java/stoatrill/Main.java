package stoatrill;

import java.io.BufferedInputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.util.concurrent.CountDownLatch;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stoatrill.config.Config;
import stoatrill.config.ConfigException;
import stoatrill.net.EventLoop;
import stoatrill.pg.PgClient;
import stoatrill.pg.PgServer;
import stoatrill.wire.Loop;
import stoatrill.wire.MalformedInputException;

/**
 * The command line: {@code serve} runs one router on sockets, {@code simhost} runs the same decisions on the
 * simulator's wire, on standard input and output.
 */
public final class Main {
  private static final Logger LOG = LoggerFactory.getLogger(Main.class);
  private static volatile EventLoop serving;

  private Main() {}

  /** Exits with 0 at an orderly end, 1 on bad input or a failure, 2 on wrong usage or configuration. */
  public static void main(String[] args) {
    String command = args.length == 1 ? args[0] : "";
    switch (command) {
      case "serve" -> serve();
      case "simhost" -> simhost();
      default -> exit(2, "usage: java -jar stoatrill.jar serve|simhost");
    }
  }

  private static void serve() {
    CountDownLatch ended = new CountDownLatch(1);
    onHangUp(Main::reload);
    try {
      EventLoop loop = new EventLoop(Config.read(System.getenv()), PgClient::new, PgServer::new);
      Runtime.getRuntime().addShutdownHook(new Thread(() -> {
        loop.stop();
        try {
          ended.await(); // the process ends when the hook does: only once all is answered
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }));
      serving = loop;
      try {
        loop.run();
      } finally {
        ended.countDown();
      }
    } catch (ConfigException e) {
      exit(2, e.getMessage());
    } catch (IOException e) {
      exit(1, e.getMessage());
    }
  }

  /**
   * Guards the process from SIGHUP, which by default ends it. The virtual machine's only way to a signal is a
   * class that javac warns of whenever it is named, so it is reached by name at run time.
   */
  private static void onHangUp(Runnable then) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object calls = Proxy.newProxyInstance(Main.class.getClassLoader(), new Class<?>[] {handler},
          (self, method, args) -> {
            then.run();
            return null;
          });
      signal.getMethod("handle", signal, handler).invoke(null,
          signal.getConstructor(String.class).newInstance("HUP"), calls);
    } catch (ReflectiveOperationException | IllegalArgumentException e) {
      LOG.warn("SIGHUP is not handled here: {}", e.toString());
    }
  }

  /** Reads the configuration anew. Each signal has a thread of its own: the last one in reads last. */
  private static synchronized void reload() {
    EventLoop loop = serving;
    if (loop != null) {
      try {
        loop.reload(Config.read(System.getenv()));
      } catch (ConfigException e) {
        LOG.warn("the configuration is kept as it was: {}", e.getMessage());
      }
    }
  }

  private static void simhost() {
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
