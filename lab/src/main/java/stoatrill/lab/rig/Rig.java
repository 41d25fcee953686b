package stoatrill.lab.rig;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import stoatrill.standins.net.Deployment;

/**
 * Real router processes, started by the deploy file's {@code run}, in front of stand-in nodes and discovery on
 * loopback, with a {@link Relay} on every path from a router to a node, and faults on processes and relays. Each
 * fault is recorded in the {@link History} beside the clients' requests, for the {@link Checker}.
 *
 * <p>It owns every process it starts: {@link #close} ends them by id, a shutdown hook kills those left if the
 * rig's own JVM ends first, and a {@link Watchdog} kills them if that JVM is killed. Not safe for several threads,
 * except {@link #doors}, which the clients call.
 */
public final class Rig implements AutoCloseable {
    private static final double STANDSTILL = 10_000; // times the usual: 20 s for one write of the log
    /** What a line of a log has that tells of an error, of an exception nobody caught, or of a failed start. */
    private static final Pattern TROUBLE =
            Pattern.compile("\\bERROR\\b|Exception in thread|^stoatrill: |invariants broken: \\{[^}]");

    /** The longest deadline of the clients here, 3 s, and the 0.7 s of the protocol. */
    private static final long KILL_AFTER_TERM_MILLIS = 3_700;

    private static final long NOTICE = 200_000_000L;

    private final RunLine run;
    private final Path dir;
    private final Deployment deployment;
    private final List<Relay> relays = new ArrayList<>();
    private final List<RouterProc> routers = new ArrayList<>();
    /** Every router process that was started, also those that were replaced; guarded by this. */
    private final List<RouterProc> started = new ArrayList<>();

    private final History history = new History();
    private final Thread hook = new Thread(this::killAll, "rig-hook");
    private final Watchdog watchdog;
    private final CallFaultLibrary library;
    private final Map<Integer, CallFaults> callFaults = new HashMap<>();
    private Clients clients;

    /**
     * Starts {@code nodes} stand-in nodes (the first the primary) and {@code routers} routers; returns once all
     * listen.
     */
    public Rig(int routers, int nodes, Path dir) throws IOException {
        this(RunLine.find(Path.of(System.getProperty("stoatrill.root", ""))), routers, nodes, dir);
    }

    /** As {@link #Rig(int, int, Path)}, with routers started by {@code run}: a test's variant of the program. */
    public Rig(RunLine run, int routers, int nodes, Path dir) throws IOException {
        this(run, routers, nodes, dir, null);
    }

    /**
     * As {@link #Rig(RunLine, int, int, Path)}, with routers whose system calls can be made to fail through {@code
     * library}; null for none.
     */
    public Rig(RunLine run, int routers, int nodes, Path dir, CallFaultLibrary library) throws IOException {
        this.run = run;
        this.library = library;
        this.dir = dir;
        this.watchdog = new Watchdog();
        Runtime.getRuntime().addShutdownHook(hook);
        List<IOException> failed = new ArrayList<>();
        deployment = new Deployment(nodes, NOTICE, at -> {
            try {
                String node = "node" + relays.size();
                Relay relay = new Relay(node, at, this::who, router -> history.sent(node, router));
                relays.add(relay);
                return relay.address();
            } catch (IOException e) {
                failed.add(e);
                return at;
            }
        });
        try {
            if (!failed.isEmpty()) {
                throw failed.get(0);
            }
            for (int i = 0; i < routers; i++) {
                RouterProc r = start(i);
                synchronized (this) {
                    this.routers.add(r);
                }
            }
            for (RouterProc r : this.routers) {
                r.await();
            }
        } catch (IOException | RuntimeException e) {
            close();
            throw e;
        }
    }

    private RouterProc start(int i) throws IOException {
        String name = "router" + i;
        Path config = Files.writeString(
                dir.resolve(name + ".json"),
                deployment.config(name, i % 2 == 0 ? "mona" : "papine", "127.0.0.1:0"),
                StandardCharsets.UTF_8);
        Path log = dir.resolve(name + "." + System.nanoTime() + ".log");
        RouterProc r = new RouterProc(run, name, config, log, variables(i), watchdog::started);
        synchronized (this) {
            started.add(r);
        }
        r.onEnd(() -> {
            watchdog.ended(r.pid());
            if (!r.ending()) {
                history.endedByItself(name, r.exitStatus());
            }
        });
        return r;
    }

    private Map<String, String> variables(int router) throws IOException {
        return library == null ? Map.of() : calls(router).environment(library);
    }

    /** The faults of the system calls of router {@code i}, which outlast its restarts; the rig has a library. */
    public synchronized CallFaults calls(int i) throws IOException {
        CallFaults faults = callFaults.get(i);
        if (faults == null) {
            faults = new CallFaults(dir.resolve("router" + i + ".calls"), i + 1L);
            callFaults.put(i, faults);
        }
        return faults;
    }

    /** What router {@code i} has written to its log so far. */
    public List<String> log(int i) throws IOException {
        return routers.get(i).logLines();
    }

    /** Sends SIGHUP to router {@code i}: it reads its configuration anew. */
    public void hangUp(int i) throws IOException {
        history.fault("hangup", routers.get(i).name());
        routers.get(i).signal("HUP");
    }

    /** Sets the wall clock of router {@code i} apart from the machine's by so many nanoseconds. */
    public void stepWallClock(int i, long nanos) throws IOException {
        history.fault("clock " + nanos / 1_000_000L + " ms", "router" + i);
        calls(i).stepWallClock(nanos);
    }

    /**
     * Ends router {@code i} by SIGTERM, and by SIGKILL at the earliest that the protocol allows. Such a kill excuses no
     * request: all were to be answered by then.
     */
    public void termThenKill(int i) throws IOException, InterruptedException {
        history.fault("term", routers.get(i).name());
        routers.get(i).ending(true);
        routers.get(i).signal("TERM");
        if (!routers.get(i).awaitEnd(KILL_AFTER_TERM_MILLIS)) {
            history.fault("kill after term", routers.get(i).name());
            routers.get(i).signal("KILL");
            routers.get(i).awaitEnd(Long.MAX_VALUE);
        }
    }

    /** How many descriptors router {@code i} holds. */
    public int descriptors(int i) throws IOException {
        try (java.util.stream.Stream<Path> all =
                Files.list(Path.of("/proc", Long.toString(routers.get(i).pid()), "fd"))) {
            return (int) all.count();
        }
    }

    /** How much memory of router {@code i} is resident, in KiB. */
    public long residentKib(int i) throws IOException {
        for (String line :
                Files.readAllLines(Path.of("/proc", Long.toString(routers.get(i).pid()), "status"))) {
            if (line.startsWith("VmRSS:")) {
                return Long.parseLong(line.replaceAll("\\D", ""));
            }
        }
        return 0;
    }

    /** Makes a share of a kind of system calls of router {@code i} fail, each with one of these errors. */
    public void failCalls(int i, SystemCall call, double share, List<Errno> errors) throws IOException {
        history.fault("fail " + call + errors + " " + share, "router" + i);
        calls(i).fail(call, share, errors);
    }

    /** Lets the system calls of router {@code i} succeed again. */
    public void healCalls(int i, SystemCall call) throws IOException {
        calls(i).heal(call);
        history.fault("heal " + call, "router" + i);
    }

    /** Starts {@code count} clients that send {@code uploads} of their requests as uploads (0 to 1). */
    public void clients(int count, double uploads) {
        clients = new Clients(count, uploads, this::doors, history);
    }

    /** The routers that are up now, for clients. */
    synchronized List<Clients.Door> doors() {
        return routers.stream()
                .filter(RouterProc::alive)
                .filter(r -> r.port() > 0 && !r.ending())
                .map(r -> new Clients.Door(r.name(), r.port()))
                .toList();
    }

    public History history() {
        return history;
    }

    /** The relay in front of node {@code i}. */
    public Relay node(int i) {
        return relays.get(i);
    }

    /** Pauses router {@code i} by SIGSTOP: it keeps its sockets and does nothing until {@link #resume}. */
    public void pause(int i) throws IOException {
        history.fault("pause", routers.get(i).name());
        routers.get(i).signal("STOP");
    }

    public void resume(int i) throws IOException {
        routers.get(i).signal("CONT");
        history.fault("resume", routers.get(i).name());
    }

    /** Kills router {@code i} by SIGKILL and waits until it has ended. */
    public void kill(int i) throws IOException, InterruptedException {
        history.fault("kill", routers.get(i).name());
        routers.get(i).ending(true);
        routers.get(i).signal("KILL");
        routers.get(i).awaitEnd(Long.MAX_VALUE);
        history.fault("killed", routers.get(i).name());
    }

    /** Ends router {@code i} by SIGTERM and waits until it has ended; it owes every request an answer. */
    public void term(int i) throws IOException, InterruptedException {
        history.fault("term", routers.get(i).name());
        routers.get(i).ending(true);
        routers.get(i).signal("TERM");
        routers.get(i).awaitEnd(Long.MAX_VALUE);
    }

    /** Router {@code i} hears nothing from node {@code node} while {@code on}; the node still hears it. */
    public void deafen(int i, int node, boolean on) {
        history.fault(on ? "deafen" : "hear", routers.get(i).name() + "<node" + node);
        relays.get(node).deafen(routers.get(i).name(), on);
    }

    /** The relay of node {@code node} resets the next {@code count} answers that follow statements (0 to stop). */
    public void resetAnswers(int node, int count) {
        history.fault(count > 0 ? "reset" : "unreset", "node" + node);
        relays.get(node).resetAnswers(count);
    }

    /** The relays of all nodes send every {@code interval}-th answer twice (0 to stop). */
    public void copyAnswers(int interval) {
        history.fault("copies of every " + interval, "nodes");
        relays.forEach(relay -> relay.copyAnswers(interval));
    }

    /** Copies of answers that the relays have sent so far. */
    public long copies() {
        return relays.stream().mapToLong(Relay::copies).sum();
    }

    /** Node {@code node} applies the log so slowly that its data stands nearly still while {@code on}. */
    public void lag(int node, boolean on) throws IOException {
        history.fault(on ? "lag" : "caughtup", "node" + node);
        deployment.lag(node, on ? STANDSTILL : 1);
    }

    /** Every call to discovery fails from now on, open watches too, or is answered again. */
    public void discoveryAway(boolean away) {
        history.fault(away ? "away" : "back", "discovery");
        deployment.discovery().down(away);
    }

    /**
     * All open watches fall silent; later calls to discovery are answered. Returns the last end of their waits, ns
     * of the rig.
     */
    public long silence() {
        long last = 0;
        for (Map.Entry<Integer, Long> watch : deployment.discovery().silence().entrySet()) {
            long until = history.at(watch.getValue());
            history.silent(who(watch.getKey()), until);
            last = Math.max(last, until);
        }
        history.fault("silence", "discovery");
        return last;
    }

    /** Discovery shows from now on that node {@code node} drains; the node goes on serving what is sent to it. */
    public void announce(int node) {
        history.leaves("node" + node);
        deployment.announce(node);
    }

    /** How far behind the primary node {@code node} is now, in milliseconds. */
    public long lagMillis(int node) throws IOException {
        return deployment.views().get(node).lagMillis();
    }

    /** The relay of node {@code node} resets and refuses every connection while {@code on}. */
    public void cut(int node, boolean on) {
        history.fault(on ? "cut" : "heal", "node" + node);
        relays.get(node).cut(on);
    }

    /** Starts router {@code i} again under the same name, at a new port; returns once it listens. */
    public void restart(int i) throws IOException {
        RouterProc anew = start(i);
        synchronized (this) {
            routers.set(i, anew);
        }
        anew.await();
        history.fault("start", anew.name());
    }

    /** Stops the clients, waits for what they have under way, and adds what the stand-ins ran. */
    public List<String> finish() throws IOException {
        if (clients != null) {
            clients.close();
            clients = null;
        }
        history.ran(deployment.ran());
        history.ages(deployment.ages());
        synchronized (this) {
            for (RouterProc r : started) {
                r.logLines().stream()
                        .filter(line -> TROUBLE.matcher(line).find())
                        .forEach(line -> history.logged(r.name(), line));
            }
        }
        return history.lines();
    }

    /**
     * The router that holds the local end of a TCP connection from {@code port} on loopback, found by the socket's
     * inode in {@code /proc/net/tcp} and the routers' descriptors; "" if none does (a client, or one that ended).
     */
    String who(int port) {
        String inode = null;
        try {
            String local = String.format(java.util.Locale.ROOT, ":%04X", port);
            for (String line : Files.readAllLines(Path.of("/proc/self/net/tcp"))) {
                String[] f = line.trim().split("\\s+", 0);
                if (f.length > 9 && f[1].endsWith(local)) {
                    inode = "socket:[" + f[9] + "]";
                    break;
                }
            }
            if (inode == null) {
                return "";
            }
            List<RouterProc> now;
            synchronized (this) {
                now = List.copyOf(routers);
            }
            for (RouterProc r : now) {
                try (java.util.stream.Stream<Path> fds = Files.list(Path.of("/proc", Long.toString(r.pid()), "fd"))) {
                    for (Path fd : (Iterable<Path>) fds::iterator) {
                        try {
                            if (Files.readSymbolicLink(fd).toString().equals(inode)) {
                                return r.name();
                            }
                        } catch (IOException closed) {
                            // a descriptor that closed meanwhile is not the one
                        }
                    }
                } catch (IOException ended) {
                    // a router that ended holds nothing
                }
            }
        } catch (IOException e) {
            return "";
        }
        return "";
    }

    private void killAll() {
        for (RouterProc r : List.copyOf(routers)) {
            r.kill();
        }
    }

    @Override
    public void close() {
        if (clients != null) {
            clients.close();
        }
        routers.forEach(r -> r.ending(true));
        routers.parallelStream().forEach(RouterProc::close);
        watchdog.close();
        relays.forEach(Relay::close);
        deployment.close();
        try {
            Runtime.getRuntime().removeShutdownHook(hook);
        } catch (IllegalStateException ending) {
            // the JVM is ending already, and the hook runs
        }
    }
}
