package stoatrill.io;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The selector, and the connections that are made for it. It repairs registrations that the system has refused or lost,
 * which the platform's selector does not report. For one thread, except {@link #wakeUp}.
 */
public final class Poller {
    /** How long the system has to show that it knows a registration, in nanoseconds; doubled with each repair. */
    private static final long CONFIRM_NANOS = 2_000_000L;

    private static final long LONGEST_CONFIRM_NANOS = 128_000_000L;
    /** Waits that end at once with nothing found, and none that lasts, from which on a change of interest was lost. */
    private static final int MOST_EMPTY = 64;

    /** How often a call that prepares a socket is made again. */
    private static final int REPEATS = 8;

    private static final long MILLI = 1_000_000L;

    private final SystemCalls calls;
    private final Selector selector;
    private final Set<Connection> unconfirmed = new LinkedHashSet<>();
    private final Set<Connection> connections = new LinkedHashSet<>();
    private final ByteBuffer oneByte = ByteBuffer.allocate(1);
    private long repairAt;
    private long confirm = CONFIRM_NANOS;
    private int empty;
    private long repairs;

    /**
     * Opens a selector.
     *
     * @throws IOException if the system has no descriptor or memory for it
     */
    public Poller(SystemCalls calls) throws IOException {
        this.calls = calls;
        this.selector = Selector.open();
    }

    /** Waits for so many milliseconds at most until something is found; 0 does not wait. */
    public IoResult select(long millis) {
        long began = System.nanoTime();
        repair(began);
        long wait = unconfirmed.isEmpty() ? millis : Math.min(millis, Math.max(1, (repairAt - began) / MILLI));
        try {
            int found = calls.select(selector, wait);
            if (wait > 0) {
                noteWait(found, System.nanoTime() - began);
            }
            return IoResult.progress(found);
        } catch (IOException e) {
            return IoResult.failed(Outcome.NO_RESOURCE, e); // what was closed, or the call itself, failed; made anew
        }
    }

    /** What the last call of {@link #select} found, and what was left there before. */
    public Set<SelectionKey> found() {
        return selector.selectedKeys();
    }

    /** Ends a wait; may be called from any thread. */
    public void wakeUp() {
        try {
            selector.wakeup();
        } catch (InternalError e) {
            // the system refused the write that ends the wait: it ends by itself within the time it was given
        }
    }

    /** How many registrations were made again since the system did not show that it knew them. */
    public long repairs() {
        return repairs;
    }

    /** Closes the selector. */
    public void close() {
        try {
            selector.close();
        } catch (IOException e) {
            // of no more use either way
        }
    }

    // ---- Connections ----

    /** Begins a connection: {@link Connection#finishConnect} tells when it is up. */
    public Opened<Connection> connect(InetSocketAddress to, Object owner) {
        SocketChannel channel;
        try {
            channel = calls.open();
        } catch (IOException e) {
            return Opened.none(Outcome.NO_RESOURCE, String.valueOf(e.getMessage()));
        }
        try {
            prepare(channel);
            Connection connection = new Connection(calls, this, channel, SelectionKey.OP_CONNECT, owner);
            connection.connect(to);
            return Opened.of(connection);
        } catch (IOException e) {
            discard(channel);
            return Opened.none(Outcome.BROKEN, String.valueOf(e.getMessage()));
        }
    }

    /** Takes over a socket that is connected: it is read from now on. */
    public Opened<Connection> adopt(SocketChannel channel, Object owner) {
        try {
            prepare(channel);
            return Opened.of(new Connection(calls, this, channel, SelectionKey.OP_READ, owner));
        } catch (IOException e) {
            discard(channel);
            return Opened.none(Outcome.BROKEN, String.valueOf(e.getMessage()));
        }
    }

    /** Whether the system gives a descriptor; asked a few times, since one call may fail by itself. */
    public boolean hasDescriptor() {
        for (int n = 0; n < REPEATS; n++) {
            try {
                discard(calls.open());
                return true;
            } catch (IOException e) {
                // asked again
            }
        }
        return false;
    }

    private void prepare(SocketChannel channel) throws IOException {
        repeated(() -> calls.neverBlock(channel), true);
        repeated(() -> calls.sendAtOnce(channel), false); // without it small writes only come later
    }

    private interface Step {
        void take() throws IOException;
    }

    /** Makes a call again while it fails, a few times; fails with the last failure if it must succeed. */
    private static void repeated(Step step, boolean must) throws IOException {
        IOException last = null;
        for (int n = 0; n < REPEATS; n++) {
            try {
                step.take();
                return;
            } catch (IOException e) {
                last = e;
            }
        }
        if (must) {
            throw last;
        }
    }

    private void discard(SocketChannel channel) {
        try {
            calls.close(channel);
        } catch (IOException e) {
            // Linux frees the descriptor also where close fails
        }
    }

    /** Room for one byte, for looking whether any has come in. */
    ByteBuffer oneByte() {
        return oneByte.clear();
    }

    // ---- Registrations ----

    SelectionKey register(SelectableChannel channel, int interest, Object owner) throws ClosedChannelException {
        return channel.register(selector, interest, owner);
    }

    void unconfirmed(Connection connection) {
        if (unconfirmed.isEmpty()) {
            confirm = CONFIRM_NANOS;
            repairAt = System.nanoTime() + confirm;
        }
        connections.add(connection);
        unconfirmed.add(connection);
    }

    void confirmed(Connection connection) {
        unconfirmed.remove(connection);
    }

    void closed(Connection connection) {
        connections.remove(connection);
        unconfirmed.remove(connection);
    }

    private void repair(long now) {
        if (!unconfirmed.isEmpty() && now - repairAt >= 0) {
            registerAnew(unconfirmed);
            confirm = Math.min(LONGEST_CONFIRM_NANOS, confirm * 2);
            repairAt = now + confirm;
        }
    }

    /**
     * Guards against a change of interest that the system refused: it goes on telling of what nobody asks for, and
     * every wait ends at once.
     */
    private void noteWait(int found, long nanos) {
        if (nanos >= MILLI) {
            empty = 0;
        } else if (found == 0 && ++empty >= MOST_EMPTY) {
            empty = 0;
            registerAnew(connections);
        }
    }

    private void registerAnew(Set<Connection> which) {
        List<Connection> all = List.copyOf(which);
        repairs += all.size();
        all.forEach(Connection::unregister);
        try {
            calls.select(selector, 0); // carries out what was taken back
        } catch (IOException e) {
            // carried out by the next one
        }
        all.forEach(Connection::registerAnew);
    }
}
