package stoatrill.standins.fleet;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import stoatrill.standins.fleet.DiscoveryConnection.Call;

/**
 * Serves a {@link FleetList} over HTTP on loopback: {@code GET /v1/servers} gives all of it, and {@code
 * ?from=V&hold_ms=H} what is newer than version V, waiting up to H for it. Calls that are due are answered in the
 * order in which they came to be due. One thread runs {@link #turn} and calls all else but {@link #wakeUp}.
 */
public final class FleetDiscovery implements AutoCloseable {
    private static final long MILLI = 1_000_000L;
    private static final long LONGEST_HOLD_MILLIS = 60_000;
    private static final long LONGEST_TURN_MILLIS = 1_000;
    private static final int BACKLOG = 4096;

    /** A call that is due, and since when. */
    private record Due(Call call, long since) {}

    private final FleetList list;
    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private final Selector selector = Selector.open();
    private final Set<Integer> ports = new LinkedHashSet<>();
    private final List<ServerSocketChannel> listeners = new ArrayList<>();
    private final Set<DiscoveryConnection> connections = new LinkedHashSet<>();
    private final PriorityQueue<Call> watches = new PriorityQueue<>(Comparator.comparingLong(Call::until));
    private final ArrayDeque<Due> due = new ArrayDeque<>();
    private final Map<String, CallerCounts> callers = new LinkedHashMap<>();
    private final PeakSecond peakCalls = new PeakSecond();
    private final PeakSecond peakBytesOut = new PeakSecond();
    private final ByteBuffer buffer = ByteBuffer.allocateDirect(64 * 1024);
    private int longestQueue;
    private long longestWait;

    /** Serves this list, on no port yet. */
    public FleetDiscovery(FleetList list) throws IOException {
        this.list = list;
    }

    /** Listens on one more port of loopback, which the system chooses. Returns it. */
    public int listen() throws IOException {
        int port = bind(0);
        ports.add(port);
        return port;
    }

    private int bind(int port) throws IOException {
        ServerSocketChannel listener = ServerSocketChannel.open();
        listener.configureBlocking(false);
        listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG);
        listener.register(selector, SelectionKey.OP_ACCEPT);
        listeners.add(listener);
        return ((InetSocketAddress) listener.getLocalAddress()).getPort();
    }

    /** Goes away: connections are reset and new ones refused, until {@link #comeBack}. */
    public void goAway() throws IOException {
        for (ServerSocketChannel listener : listeners) {
            listener.close();
        }
        listeners.clear();
        List.copyOf(connections).forEach(this::drop);
        watches.clear();
        due.clear();
        selector.selectNow(); // lets the ports go
    }

    /** Listens on the same ports as before. */
    public void comeBack() throws IOException {
        for (int port : ports) {
            bind(port);
        }
    }

    /** The list has a new version: all watches are due. */
    public void changed() {
        long now = System.nanoTime();
        List<Call> waiting = new ArrayList<>(watches);
        waiting.sort(Comparator.comparingLong(Call::until));
        watches.clear();
        waiting.forEach(call -> place(call, now));
    }

    /** Lets {@link #turn} return; may be called by any thread. */
    public void wakeUp() {
        selector.wakeup();
    }

    /** Waits for the next thing to do, and does what there is. */
    public void turn() throws IOException {
        select();
        for (SelectionKey key : selector.selectedKeys()) {
            if (!key.isValid()) {
                continue;
            }
            if (key.isAcceptable()) {
                accept((ServerSocketChannel) key.channel());
            } else {
                serve((DiscoveryConnection) key.attachment(), key);
            }
        }
        selector.selectedKeys().clear();
        expire();
        answerAll();
    }

    private void select() throws IOException {
        if (!due.isEmpty()) {
            selector.selectNow();
            return;
        }
        long wait = watches.isEmpty() ? Long.MAX_VALUE : watches.peek().until() - System.nanoTime();
        if (wait <= 0) {
            selector.selectNow();
        } else {
            selector.select(Math.min(LONGEST_TURN_MILLIS, wait / MILLI + 1));
        }
    }

    private void accept(ServerSocketChannel listener) throws IOException {
        SocketChannel channel = listener.accept();
        while (channel != null) {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            SelectionKey key = channel.register(selector, SelectionKey.OP_READ);
            DiscoveryConnection connection = new DiscoveryConnection(channel, key);
            key.attach(connection);
            connections.add(connection);
            channel = listener.accept();
        }
    }

    private void serve(DiscoveryConnection connection, SelectionKey key) {
        long before = threads.getCurrentThreadCpuTime();
        try {
            if (key.isWritable()) {
                flush(connection);
            }
            if (key.isValid() && key.isReadable()) {
                read(connection, (SocketChannel) key.channel());
            }
        } catch (IOException e) {
            drop(connection);
        }
        caller(connection).worked(threads.getCurrentThreadCpuTime() - before);
    }

    private void read(DiscoveryConnection connection, SocketChannel channel) throws IOException {
        buffer.clear();
        if (channel.read(buffer) < 0) {
            drop(connection);
            return;
        }
        buffer.flip();
        byte[] whole = connection.take(buffer);
        if (whole != null) {
            long now = System.nanoTime();
            Call call = connection.parse(whole, now, LONGEST_HOLD_MILLIS);
            caller(connection).asked(whole.length);
            peakCalls.add(now, 1);
            place(call, now);
        }
    }

    private void place(Call call, long now) {
        if (call.from() < list.version() || call.until() <= now) {
            due.add(new Due(call, now));
            longestQueue = Math.max(longestQueue, due.size());
        } else {
            watches.add(call);
        }
    }

    private void expire() {
        long now = System.nanoTime();
        while (!watches.isEmpty() && watches.peek().until() <= now) {
            place(watches.poll(), now);
        }
    }

    private void answerAll() {
        Due next = due.poll();
        while (next != null) {
            if (next.call().by().open()) {
                answer(next);
            }
            next = due.poll();
        }
    }

    private void answer(Due next) {
        long before = threads.getCurrentThreadCpuTime();
        long now = System.nanoTime();
        longestWait = Math.max(longestWait, now - next.since());
        boolean whole = next.call().from() < 0;
        byte[] body = whole ? list.whole() : list.since(next.call().from());
        byte[] head = ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length
                        + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
        DiscoveryConnection connection = next.call().by();
        CallerCounts caller = caller(connection);
        caller.answered(whole, head.length + body.length);
        peakBytesOut.add(now, head.length + body.length);
        connection.answer(head, body, list.version());
        try {
            flush(connection);
        } catch (IOException e) {
            drop(connection);
        }
        caller.worked(threads.getCurrentThreadCpuTime() - before);
    }

    private void flush(DiscoveryConnection connection) throws IOException {
        long told = connection.flush();
        if (told >= 0) {
            caller(connection).told(told, System.nanoTime());
        }
    }

    private CallerCounts caller(DiscoveryConnection connection) {
        return callers.computeIfAbsent(connection.name(), name -> new CallerCounts());
    }

    private void drop(DiscoveryConnection connection) {
        connections.remove(connection);
        connection.close();
        watches.removeIf(call -> call.by() == connection);
    }

    /** The counts so far; the peaks begin anew. */
    public DiscoveryCounts counts() {
        List<DiscoveryCounts.Caller> all = new ArrayList<>();
        callers.forEach((name, caller) -> {
            if (!name.isEmpty()) {
                all.add(caller.view(name));
            }
        });
        DiscoveryCounts counts = new DiscoveryCounts(
                System.nanoTime(),
                threads.getCurrentThreadCpuTime(),
                peakCalls.peak(),
                peakBytesOut.peak(),
                longestQueue,
                longestWait,
                all);
        peakCalls.reset();
        peakBytesOut.reset();
        longestQueue = 0;
        longestWait = 0;
        return counts;
    }

    /** When each caller was first told of a version. */
    public DiscoveryReply.Told told(long version) {
        List<DiscoveryReply.ToldCaller> all = new ArrayList<>();
        callers.forEach((name, caller) -> {
            if (caller.toldAt(version) >= 0) {
                all.add(new DiscoveryReply.ToldCaller(name, caller.toldAt(version)));
            }
        });
        return new DiscoveryReply.Told(all);
    }

    @Override
    public void close() throws IOException {
        goAway();
        selector.close();
    }
}
