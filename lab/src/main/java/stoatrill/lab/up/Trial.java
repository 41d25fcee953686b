package stoatrill.lab.up;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import stoatrill.settings.Quantity;
import stoatrill.standins.model.Node;
import stoatrill.standins.net.Deployment;

/**
 * Four nodes, two routers and a load, with commands that do them harm. Closing it leaves no process and no file;
 * it may be closed while it starts, from any thread, and more than once.
 */
public final class Trial implements AutoCloseable {
    /** What {@code help} shows. */
    public static final String HELP = """
      kill NAME        end a node or a router at once        start NAME      start it again
      drain NODE       let a node finish and take no more    hang NODE       let a node hang; wake NODE ends it
      lag NODE TIMES   apply the log so much more slowly     errors NODE 30%  fail a share of its requests
      jump TIMES SPAN  so many times the load for a while    rate 40/s       the usual load
      status           how it stands now                     quit            end it all""";

    private static final long NOTICE = 1_000_000_000L;
    private static final int NODES = 4;

    private final Path folder;
    private final List<Integer> wanted;
    private final List<RouterProcess> routers = new ArrayList<>();
    private Deployment deployment;
    private Load load;
    private double usual;
    private long jumpUntil;
    private boolean closed;

    /** {@code ports} for the two routers; 0 lets the system pick one. */
    public Trial(double rate, List<Integer> ports) throws IOException {
        this.usual = rate;
        this.wanted = ports;
        this.folder = Files.createTempDirectory("stoatrill-lab");
    }

    /** Starts it all; returns once the routers listen. */
    public void start() throws IOException {
        synchronized (this) {
            if (closed) {
                throw new IOException("ended before it had started");
            }
            deployment = new Deployment(NODES, NOTICE);
            for (int i = 0; i < wanted.size(); i++) {
                routers.add(process(i));
            }
        }
        for (RouterProcess r : List.copyOf(routers)) {
            r.await();
        }
        synchronized (this) {
            if (!closed) {
                load = new Load(usual, this::ports);
            }
        }
    }

    private RouterProcess process(int i) throws IOException {
        String name = "router" + i;
        int port = wanted.get(i);
        Path config = Files.writeString(
                folder.resolve(name + ".json"),
                deployment.config(name, i % 2 == 0 ? "mona" : "papine", "127.0.0.1:" + port),
                StandardCharsets.UTF_8);
        return new RouterProcess(name, config, folder.resolve(name + ".log"));
    }

    private synchronized List<Integer> ports() {
        return routers.stream()
                .filter(RouterProcess::alive)
                .map(RouterProcess::port)
                .toList();
    }

    /** The line that talks to the first router that is up. */
    public String psql() {
        List<Integer> up = ports();
        return "psql -h 127.0.0.1 -p " + (up.isEmpty() ? "?" : up.get(0))
                + " -U svc -d main -c \"SELECT v FROM records "
                + "WHERE k = 'station-7' /* id=me1,c=archive-read,d=500,cluster=0 */\"";
    }

    /** Carries out a command; returns what to show, or null if it was {@code quit}. */
    public String command(String line) throws IOException {
        String[] words = line.strip().split("\\s+");
        try {
            switch (words[0]) {
                case "" -> {
                    return "";
                }
                case "quit", "exit" -> {
                    return null;
                }
                case "help" -> {
                    return HELP;
                }
                case "status" -> {
                    return status();
                }
                case "kill" -> kill(word(words, 1));
                case "start" -> again(word(words, 1));
                case "drain" -> deployment.drain(node(word(words, 1)));
                case "hang" -> deployment.hang(node(word(words, 1)), true);
                case "wake" -> deployment.hang(node(word(words, 1)), false);
                case "lag" -> deployment.lag(node(word(words, 1)), Quantity.NUMBER.parse(word(words, 2)) / 1e3);
                case "errors" -> deployment.failing(node(word(words, 1)), Quantity.SHARE.parse(word(words, 2)) / 1e6);
                case "rate" -> {
                    usual = Quantity.RATE.parse(word(words, 1)) / 86_400.0;
                    load.rate(usual);
                }
                case "jump" -> {
                    load.rate(usual * Quantity.NUMBER.parse(word(words, 1)) / 1e3);
                    jumpUntil =
                            System.nanoTime() + (words.length > 2 ? Quantity.SPAN.parse(words[2]) : 10_000_000_000L);
                }
                default -> {
                    return "\"" + words[0] + "\" is not a command; help shows them";
                }
            }
            return "done: " + String.join(" ", words);
        } catch (IllegalArgumentException e) {
            return e.getMessage();
        }
    }

    private static String word(String[] words, int at) {
        if (at >= words.length) {
            throw new IllegalArgumentException("\"" + words[0] + "\" needs more words; help shows them");
        }
        return words[at];
    }

    private static int node(String name) {
        if (!name.matches("node[0-" + (NODES - 1) + "]")) {
            throw new IllegalArgumentException("\"" + name + "\" is not one of node0 to node" + (NODES - 1));
        }
        return name.charAt(4) - '0';
    }

    private int router(String name) {
        for (int i = 0; i < routers.size(); i++) {
            if (routers.get(i).name().equals(name)) {
                return i;
            }
        }
        return -1;
    }

    private synchronized void kill(String name) throws IOException {
        int router = router(name);
        if (router >= 0) {
            routers.get(router).kill();
        } else {
            deployment.kill(node(name));
        }
    }

    private synchronized void again(String name) throws IOException {
        int router = router(name);
        if (router < 0) {
            deployment.start(node(name));
        } else if (!routers.get(router).alive()) {
            RouterProcess anew = process(router);
            routers.set(router, anew);
            anew.await();
        }
    }

    /** One line for the load and one for each part; meant to be shown once a second. */
    public String status() throws IOException {
        if (jumpUntil != 0 && System.nanoTime() > jumpUntil) {
            load.rate(usual);
            jumpUntil = 0;
        }
        Load.Second s = load.second();
        StringBuilder text = new StringBuilder(String.format(
                Locale.ROOT,
                "load %.0f/s  served %d  refused %d  failed %d  p50 %.1f ms  p99 %.1f ms",
                load.rate(),
                s.served(),
                s.refused(),
                s.failed(),
                s.p50Millis(),
                s.p99Millis()));
        synchronized (this) {
            for (RouterProcess r : routers) {
                text.append(
                        String.format(Locale.ROOT, "%n%s  %s  port %d", r.name(), r.alive() ? "up" : "down", r.port()));
            }
        }
        for (Deployment.View v : deployment.views()) {
            text.append(String.format(
                    Locale.ROOT,
                    "%n%s  %-6s  %-8s  %-7s  lag %5d ms  held %2d  served %d  connections %d",
                    v.name(),
                    v.zone(),
                    v.state() == Node.State.UP ? "up" : v.state().name().toLowerCase(Locale.ROOT),
                    v.primary() ? "primary" : "replica",
                    v.lagMillis(),
                    v.held(),
                    v.served(),
                    v.connections()));
        }
        return text.toString();
    }

    /** The processes that were started and may still run. */
    synchronized List<RouterProcess> processes() {
        return List.copyOf(routers);
    }

    @Override
    public void close() {
        List<RouterProcess> running;
        synchronized (this) {
            closed = true;
            running = List.copyOf(routers);
        }
        if (load != null) {
            load.close();
        }
        running.parallelStream().forEach(RouterProcess::close);
        if (deployment != null) {
            deployment.close();
        }
        try (Stream<Path> files = Files.exists(folder) ? Files.walk(folder) : Stream.empty()) {
            for (Path p : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(p);
            }
        } catch (IOException | UncheckedIOException e) {
            System.err.println("stoatrill: left behind: " + folder);
        }
    }
}
