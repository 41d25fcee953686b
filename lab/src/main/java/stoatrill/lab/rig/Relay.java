package stoatrill.lab.rig;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.IntFunction;

/**
 * A TCP relay on loopback in front of one process, that does harm to what passes on command. Each accepted
 * connection is joined to a new one to the target, with one thread a direction. The faults, all of which may be
 * set from any thread and hold from then on:
 *
 * <ul>
 *   <li>{@link #cut}: connections are refused (reset at once) and those open are reset, until it is healed;
 *   <li>{@link #resetAnswers}: the next so many answers (bytes from the target after a statement to it) are not passed:
 *       both sides are reset instead, in the middle of a request whose statement has reached the target;
 *   <li>{@link #copyAnswers}: every so many answers are sent twice, the copy held back until the peer sends something,
 *       as a system without TCP_NODELAY may do;
 *   <li>{@link #deafen}: one peer hears nothing from the target, while the target hears it (a one-sided cut).
 * </ul>
 *
 * A peer is named, when it connects, by the function given to the relay, from the port it connects from.
 *
 * A reset is a close with linger 0, so that the peer sees ECONNRESET rather than an orderly end.
 */
public final class Relay implements AutoCloseable {
    private static final int CHUNK = 16 * 1024;
    /** ReadyForQuery, which ends an answer. */
    private static final byte[] READY = {'Z', 0, 0, 0, 5, 'I'};

    private final String name;
    private final InetSocketAddress target;
    private final ServerSocket listener;
    private final IntFunction<String> peers;
    private final Consumer<String> statements;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final Set<String> deaf = ConcurrentHashMap.newKeySet();
    private final AtomicInteger resetAnswers = new AtomicInteger();
    private final AtomicInteger copyInterval = new AtomicInteger();
    private final AtomicInteger copyableAnswers = new AtomicInteger();
    private final AtomicLong copies = new AtomicLong();
    private final AtomicLong resets = new AtomicLong();
    private final AtomicLong withheld = new AtomicLong();
    private volatile boolean cut;
    private volatile boolean closed;

    /** What both directions of a connection share; guarded by itself. */
    private static final class Exchange {
        boolean isAnswerDue;
        /** A copy of an answer that waits for the peer's next message; null if there is none. */
        byte[] heldBackCopy;
    }

    /** Starts to listen on a port that the system chooses; peers are not named. */
    public Relay(String name, InetSocketAddress target) throws IOException {
        this(name, target, port -> "", peer -> {});
    }

    /**
     * As {@link #Relay(String, InetSocketAddress)}; {@code peers} names a peer by the port it connects from, and
     * {@code statements} hears, on one of the relay's threads, of each request that a peer sends to the target.
     */
    public Relay(String name, InetSocketAddress target, IntFunction<String> peers, Consumer<String> statements)
            throws IOException {
        this.name = name;
        this.target = target;
        this.peers = peers;
        this.statements = statements;
        this.listener = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
        Thread accept = new Thread(this::accept, "relay-" + name);
        accept.setDaemon(true);
        accept.start();
    }

    /** Where clients of the target are to connect instead. */
    public InetSocketAddress address() {
        return new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort());
    }

    public String name() {
        return name;
    }

    /** Refuses and resets all connections while {@code on}. */
    public void cut(boolean on) {
        cut = on;
        if (on) {
            open.forEach(this::reset);
        }
    }

    /** While {@code on}, the peer so named hears nothing from the target; it is heard. */
    public void deafen(String peer, boolean on) {
        if (on) {
            deaf.add(peer);
        } else {
            deaf.remove(peer);
        }
    }

    /** Resets, instead of passing it, each of the next {@code count} answers that follow a request. */
    public void resetAnswers(int count) {
        resetAnswers.set(count);
    }

    /** Sends every {@code interval}-th whole answer twice from now on; 0 to stop. */
    public void copyAnswers(int interval) {
        copyInterval.set(interval);
    }

    /** Copies of answers sent so far. */
    public long copies() {
        return copies.get();
    }

    /** Connections reset by a fault so far. */
    public long resets() {
        return resets.get();
    }

    /** Chunks not passed so far to a deaf peer. */
    public long withheld() {
        return withheld.get();
    }

    private void accept() {
        while (!closed) {
            Socket client;
            try {
                client = listener.accept();
            } catch (IOException e) {
                return; // closed
            }
            if (cut) {
                reset(client);
                continue;
            }
            Socket server = new Socket();
            try {
                server.connect(target, 1000);
            } catch (IOException e) {
                reset(client); // the target is down: so the client sees it too
                continue;
            }
            open.add(client);
            open.add(server);
            Exchange exchange = new Exchange();
            AtomicInteger ended = new AtomicInteger();
            String peer = peers.apply(client.getPort());
            pump(client, server, peer, exchange, ended, false);
            pump(server, client, peer, exchange, ended, true);
        }
    }

    /** Passes one direction; the second direction to end closes both sockets. */
    private void pump(Socket from, Socket to, String peer, Exchange exchange, AtomicInteger ended, boolean answers) {
        Thread t = new Thread(
                () -> {
                    byte[] chunk = new byte[CHUNK];
                    try {
                        InputStream in = from.getInputStream();
                        OutputStream out = to.getOutputStream();
                        int n;
                        while ((n = in.read(chunk)) >= 0) {
                            if (answers && deaf.contains(peer)) {
                                withheld.incrementAndGet();
                                continue;
                            }
                            if (answers) {
                                synchronized (exchange) {
                                    if (exchange.isAnswerDue
                                            && resetAnswers.getAndUpdate(k -> Math.max(0, k - 1)) > 0) {
                                        resets.incrementAndGet();
                                        reset(from);
                                        reset(to);
                                        return;
                                    }
                                    exchange.isAnswerDue = false;
                                    exchange.heldBackCopy = copyOf(chunk, n);
                                }
                            } else {
                                boolean isStatement =
                                        new String(chunk, 0, n, StandardCharsets.ISO_8859_1).contains("/* id=");
                                if (isStatement) {
                                    statements.accept(peer);
                                }
                                synchronized (exchange) {
                                    exchange.isAnswerDue |= isStatement;
                                    releaseCopy(exchange, from);
                                }
                            }
                            out.write(chunk, 0, n);
                            out.flush();
                        }
                        to.shutdownOutput();
                        if (ended.incrementAndGet() == 2) {
                            from.close();
                            to.close();
                            open.remove(from);
                            open.remove(to);
                        }
                    } catch (IOException e) {
                        reset(from); // one side ended badly: so the other sees it too
                        reset(to);
                    }
                },
                "relay-" + name + (answers ? "-back" : "-on"));
        t.setDaemon(true);
        t.start();
    }

    /** The copy to send of what a target has sent; null if it is no whole answer with a row, or not its turn. */
    private byte[] copyOf(byte[] chunk, int length) {
        boolean isWhole = length > READY.length
                && chunk[0] == 'T'
                && Arrays.equals(chunk, length - READY.length, length, READY, 0, READY.length);
        int interval = copyInterval.get();
        boolean isCopied = isWhole && interval > 0 && copyableAnswers.incrementAndGet() % interval == 0;
        return isCopied ? Arrays.copyOf(chunk, length) : null;
    }

    private void releaseCopy(Exchange exchange, Socket peer) throws IOException {
        if (exchange.heldBackCopy != null) {
            copies.incrementAndGet();
            peer.getOutputStream().write(exchange.heldBackCopy);
            exchange.heldBackCopy = null;
        }
    }

    private void reset(Socket s) {
        try (s) {
            s.setSoLinger(true, 0);
        } catch (IOException e) {
            // it is closed either way
        }
        open.remove(s);
    }

    @Override
    public void close() {
        closed = true;
        try {
            listener.close();
        } catch (IOException e) {
            // nothing more is accepted either way
        }
        open.forEach(this::reset);
    }
}
