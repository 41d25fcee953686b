package stoatrill.lab.scale.hollow;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Selector;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Locale;
import stoatrill.Gateway.ListKind;
import stoatrill.config.Config;
import stoatrill.core.Answer;
import stoatrill.core.Clocks;
import stoatrill.core.DeadlineQueue;
import stoatrill.core.Effects;
import stoatrill.core.Reducer;
import stoatrill.core.ServerEntry;
import stoatrill.core.Statement;
import stoatrill.discovery.DiscoveryClient;
import stoatrill.standins.fleet.PeakSecond;

/**
 * One router without client sockets: the carrier of the real {@link Reducer} and {@link DiscoveryClient}, as {@code
 * net.EventLoop} is, with {@link ModelServers} for the servers and statements at a rate of its own. Used by one thread.
 */
final class HollowRouter implements Effects, DiscoveryClient.Environment, DiscoverySocket.Owner {
    private static final long MILLI = 1_000_000L;
    private static final long COMPARE_CLOCKS = 1_000 * MILLI;

    private final int number;
    private final Selector selector;
    private final HollowTally tally;
    private final Clocks clocks;
    private final DeadlineQueue deadlines = new DeadlineQueue();
    private final ModelServers servers;
    private final ModelClients clients;
    private final Reducer reducer;
    private final DiscoveryClient discovery;
    private final ArrayDeque<Runnable> later = new ArrayDeque<>();
    private final PeakSecond bytesIn = new PeakSecond();
    private InetSocketAddress discoveryAt;
    private DiscoverySocket socket;
    private Awaited awaited = Awaited.parse("list");
    private boolean ended;

    /** A router that has no list yet; {@link #start} makes it ask for one. */
    HollowRouter(int number, int groups, Config config, Selector selector, HollowTally tally) {
        this.number = number;
        this.selector = selector;
        this.tally = tally;
        this.discoveryAt = config.discoveryAddress();
        this.clocks = new Clocks(wall(), System.nanoTime());
        this.servers = new ModelServers(deadlines, this::now);
        this.reducer = new Reducer(this, clocks, deadlines, config.reducerSetup(config.socketLimit(), config.seed()));
        servers.answerTo(reducer);
        this.clients = new ModelClients(reducer, deadlines, this::now, groups, config.seed(), tally);
        this.discovery = new DiscoveryClient(
                this, deadlines, name(number), -1, DiscoveryClient.Timing.of(config.settings(), config.seed()));
    }

    /** What router {@code number} calls itself to discovery, as long as an address with its port. */
    static String name(int number) {
        return String.format(Locale.ROOT, "h%04d.hollow:00", number);
    }

    private static long wall() {
        return System.currentTimeMillis() * MILLI;
    }

    private long now() {
        return clocks.toModuleTime(System.nanoTime());
    }

    void start() {
        reducer.onServerList(now(), ListKind.CACHED, List.of());
        compareClocks();
    }

    private void compareClocks() {
        clocks.resync(wall(), System.nanoTime());
        deadlines.schedule(now() + COMPARE_CLOCKS, this::compareClocks);
    }

    /** Ends it at once, as a killed process does. */
    void end() {
        ended = true;
        closeDiscovery();
    }

    boolean ended() {
        return ended;
    }

    /** Runs what is due and what waited. Returns in how many nanoseconds it next has something to do. */
    long proceed() {
        reducer.runDueDeadlines(now());
        for (int n = later.size(); n > 0; n--) {
            later.poll().run();
        }
        return later.isEmpty() ? reducer.openDeferredConnections(now()) - now() : 0;
    }

    /** Waits from now on for something new to be told. */
    void await(Awaited what) {
        awaited = what;
    }

    /** When it knew what it was to wait for; -1 if it does not yet. */
    long knownAt() {
        return awaited.knownAt();
    }

    /** Follows another discovery from now on, as a router does when SIGHUP has it read such a configuration. */
    void move(InetSocketAddress to) {
        discoveryAt = to;
        discovery.changeHost(now(), name(number));
        reducer.onDiscoveryMoved(now());
    }

    long brokenInvariants() {
        return reducer.brokenInvariants().values().stream()
                .mapToLong(Long::longValue)
                .sum();
    }

    long peakBytesIn() {
        long peak = bytesIn.peak();
        bytesIn.reset();
        return peak;
    }

    // ---- Modelled clients ----

    /** Sends so many statements a second from now on, at random times. */
    void statements(double perSecond) {
        clients.rate(perSecond);
    }

    @Override
    public void answerClient(long client, long slot, Answer answer) {
        tally.served += answer instanceof Answer.Served ? 1 : 0;
    }

    // ---- Modelled servers ----

    @Override
    public void openConnection(long connection, InetSocketAddress endpoint) {
        tally.serverConnections++;
        servers.open(connection);
    }

    @Override
    public void sendQuery(long connection, Statement statement, long waitMillis) {
        servers.ask(connection);
        later.add(() -> reducer.onQueryWritten(connection));
    }

    @Override
    public void sendProbe(long connection) {
        tally.probes++;
        servers.ask(connection);
        later.add(() -> reducer.onQueryWritten(connection));
    }

    @Override
    public void synchronize(long connection) {
        servers.synchronize(connection);
    }

    @Override
    public boolean hasNoUnreadData(long connection) {
        return servers.up(connection);
    }

    @Override
    public void closeConnection(long connection) {
        servers.close(connection);
    }

    // ---- Discovery: the client's wishes ----

    @Override
    public void watchServerList(boolean on) {
        later.add(() -> discovery.follow(now(), on));
    }

    @Override
    public void fetchServerList() {
        later.add(() -> discovery.fetch(now()));
    }

    @Override
    public void openDiscovery() {
        tally.connects++;
        try {
            socket = new DiscoverySocket(this, selector, discoveryAt);
        } catch (IOException e) {
            socket = null;
            later.add(() -> discovery.broken(now()));
        }
    }

    @Override
    public void sendToDiscovery(byte[] request) {
        tally.calls++;
        tally.bytesOut += request.length;
        socket.write(request);
    }

    @Override
    public void closeDiscovery() {
        if (socket != null) {
            socket.close();
            socket = null;
        }
    }

    @Override
    public void onServerList(long now, ListKind kind, List<ServerEntry> entries) {
        reducer.onServerList(now, kind, entries);
        awaited.heard(System.nanoTime(), kind, entries);
        switch (kind) {
            case FULL -> tally.wholeLists++;
            case DELTA -> tally.changes++;
            case SILENT -> tally.silent++;
            case FAILED -> tally.failed++;
            case CACHED -> throw new IllegalStateException("discovery brings no cached list");
        }
    }

    @Override
    public void log(String line) {
        System.err.println(name(number) + " " + line);
    }

    // ---- Discovery: what the socket tells ----

    @Override
    public int number() {
        return number;
    }

    @Override
    public void connected() {
        discovery.connected(now());
    }

    @Override
    public void received(ByteBuffer bytes) {
        tally.bytesIn += bytes.remaining();
        bytesIn.add(System.nanoTime(), bytes.remaining());
        discovery.received(now(), bytes);
    }

    @Override
    public void lost() {
        socket = null;
        discovery.broken(now());
    }
}
