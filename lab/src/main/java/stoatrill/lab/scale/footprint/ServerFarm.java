package stoatrill.lab.scale.footprint;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-in servers on loopback, each on a port of its own, all on one thread. They answer every statement at once, or
 * hold the answers until they are let go. Counts may be read, and {@link #hold} called, by any thread.
 */
final class ServerFarm implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int BACKLOG = 512;
    private static final long LONGEST_SELECT_MILLIS = 100;

    private final Selector selector = Selector.open();
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);
    private final Queue<ServerSession> held = new ArrayDeque<>();
    private final AtomicBoolean holds = new AtomicBoolean();
    private final AtomicLong statements = new AtomicLong();
    private final AtomicLong probes = new AtomicLong();
    private final AtomicLong connections = new AtomicLong();
    private final Thread thread = new Thread(this::run, "server-farm");
    private volatile boolean closed;

    /** Starts so many servers as the population has. */
    ServerFarm(Population population) throws IOException {
        for (int server = 0; server < population.servers(); server++) {
            listen(population.primary(server));
        }
        thread.setDaemon(true);
        thread.start();
    }

    /** Where each server listens. */
    List<InetSocketAddress> addresses() {
        return List.copyOf(addresses);
    }

    /** Holds the answers to statements from now on, or answers those held and all that come. */
    void hold(boolean on) {
        holds.set(on);
        selector.wakeup();
    }

    /** Statements that have come so far. */
    long statements() {
        return statements.get();
    }

    /** Probes that have come so far. */
    long probes() {
        return probes.get();
    }

    /** Connections that routers have opened so far. */
    long connections() {
        return connections.get();
    }

    private void listen(boolean primary) throws IOException {
        ServerSocketChannel listener = ServerSocketChannel.open();
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        listener.configureBlocking(false);
        listener.register(selector, SelectionKey.OP_ACCEPT, primary);
        addresses.add((InetSocketAddress) listener.getLocalAddress());
    }

    private void run() {
        try {
            while (!closed) {
                selector.select(this::ready, LONGEST_SELECT_MILLIS);
                if (!holds.get()) {
                    letGo();
                }
            }
            for (SelectionKey key : selector.keys()) {
                key.channel().close();
            }
            selector.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void ready(SelectionKey key) {
        try {
            if (key.channel() instanceof ServerSocketChannel listener) {
                accept(listener, key.attachment().equals(true));
            } else if (key.attachment() instanceof ServerSession session) {
                read(session);
            }
        } catch (IOException | IllegalStateException e) {
            key.cancel();
            closeQuietly(key);
        }
    }

    private void accept(ServerSocketChannel listener, boolean primary) throws IOException {
        SocketChannel channel = listener.accept();
        if (channel != null) {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            channel.register(selector, SelectionKey.OP_READ, new ServerSession(channel, primary));
            connections.incrementAndGet();
        }
    }

    private void read(ServerSession session) throws IOException {
        buffer.clear();
        if (session.channel().read(buffer) < 0) {
            session.channel().close();
            return;
        }
        buffer.flip();
        session.take(buffer).forEach(event -> count(event, session));
        if (!holds.get()) {
            letGo();
        }
    }

    private void count(ServerSession.Event event, ServerSession session) {
        switch (event) {
            case SYNCHRONIZATION -> {}
            case PROBE -> probes.incrementAndGet();
            case STATEMENT -> {
                statements.incrementAndGet();
                held.add(session);
            }
        }
    }

    private void letGo() {
        while (!held.isEmpty()) {
            ServerSession session = held.remove();
            try {
                session.answer();
            } catch (IOException e) {
                closeQuietly(session.channel().keyFor(selector)); // the router has called the attempt off
            }
        }
    }

    private static void closeQuietly(SelectionKey key) {
        try {
            if (key != null) {
                key.channel().close();
            }
        } catch (IOException e) {
            // it is of no more use either way
        }
    }

    @Override
    public void close() {
        closed = true;
        selector.wakeup();
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
