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
 * A selector and the connections registered with it. It restores registrations that the system has refused or lost,
 * which the platform's selector does not report. Not thread-safe, except {@link #wakeUp}.
 */
public final class Poller {
    /** Time within which an event must confirm a registration; doubled with each repair. */
    private static final long FIRST_CONFIRM_NANOS = 2_000_000L;

    /** Upper bound of that time. */
    private static final long LONGEST_CONFIRM_NANOS = 128_000_000L;
    /**
     * Waits that return at once with nothing found, and no longer wait between them, after which a change of interest
     * counts as lost.
     */
    private static final int EMPTY_SELECT_LIMIT = 64;

    /** Attempts for a call that prepares or opens a socket. */
    private static final int SETUP_ATTEMPT_LIMIT = 8;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final SystemCalls calls;
    private final Selector selector;
    private final Set<Connection> unconfirmed = new LinkedHashSet<>();
    private final Set<Connection> connections = new LinkedHashSet<>();
    private final ByteBuffer probeBuffer = ByteBuffer.allocate(1);
    private long repairAt;
    private long confirmTimeoutNanos = FIRST_CONFIRM_NANOS;
    private int emptySelects;
    private long repairCount;

    /**
     * Opens a selector.
     *
     * @throws IOException if the system has no descriptor or memory for it
     */
    public Poller(SystemCalls calls) throws IOException {
        this.calls = calls;
        this.selector = Selector.open();
    }

    /** Waits until something is found, at most for the given time; 0 does not wait. */
    public IoResult select(long timeoutMillis) {
        long startedAt = System.nanoTime();
        repairRegistrations(startedAt);
        long waitMillis = unconfirmed.isEmpty()
                ? timeoutMillis
                : Math.min(timeoutMillis, Math.max(1, (repairAt - startedAt) / NANOS_PER_MILLI));
        try {
            int found = calls.select(selector, waitMillis);
            if (waitMillis > 0) {
                checkForBusyLoop(found, System.nanoTime() - startedAt);
            }
            return IoResult.progress(found);
        } catch (IOException e) {
            // either the call itself or a pending close that it carried out has failed; the caller retries
            return IoResult.failed(Outcome.TEMPORARY_FAILURE, e);
        }
    }

    /** The keys that the last {@link #select} found, and those left from before. */
    public Set<SelectionKey> selectedKeys() {
        return selector.selectedKeys();
    }

    /** Ends a wait in {@link #select}; may be called from any thread. */
    public void wakeUp() {
        try {
            selector.wakeup();
        } catch (InternalError e) {
            // the system refused the write that ends the wait; the wait ends at its own timeout
        }
    }

    /** The number of registrations made again because they were not confirmed or a change of interest was lost. */
    public long repairCount() {
        return repairCount;
    }

    /** Closes the selector. */
    public void close() {
        try {
            selector.close();
        } catch (IOException e) {
            // the selector is no longer used either way
        }
    }

    // ---- Connections ----

    /** Begins a connection: {@link Connection#finishConnect} tells when it is established. */
    public CallResult<Connection> connect(InetSocketAddress address, Object owner) {
        SocketChannel channel;
        try {
            channel = calls.openSocket();
        } catch (IOException e) {
            return CallResult.failure(Outcome.TEMPORARY_FAILURE, String.valueOf(e.getMessage()));
        }
        try {
            prepare(channel);
            Connection connection = new Connection(calls, this, channel, SelectionKey.OP_CONNECT, owner);
            connection.connect(address);
            return CallResult.success(connection);
        } catch (IOException e) {
            closeQuietly(channel);
            return CallResult.failure(Outcome.BROKEN, String.valueOf(e.getMessage()));
        }
    }

    /** Registers a connected socket for reading. */
    public CallResult<Connection> adopt(SocketChannel channel, Object owner) {
        try {
            prepare(channel);
            return CallResult.success(new Connection(calls, this, channel, SelectionKey.OP_READ, owner));
        } catch (IOException e) {
            closeQuietly(channel);
            return CallResult.failure(Outcome.BROKEN, String.valueOf(e.getMessage()));
        }
    }

    /** Whether the system provides a descriptor; tries several times, since a single call may fail. */
    public boolean canOpenSocket() {
        for (int attempt = 0; attempt < SETUP_ATTEMPT_LIMIT; attempt++) {
            try {
                closeQuietly(calls.openSocket());
                return true;
            } catch (IOException e) {
                // retried
            }
        }
        return false;
    }

    private void prepare(SocketChannel channel) throws IOException {
        retry(() -> calls.configureNonBlocking(channel), true);
        retry(() -> calls.disableSendDelay(channel), false); // optional: without it small writes are only delayed
    }

    private interface Step {
        void run() throws IOException;
    }

    /** Retries a failing call a few times; throws the last failure if the call must succeed. */
    private static void retry(Step step, boolean mustSucceed) throws IOException {
        IOException lastFailure = null;
        for (int attempt = 0; attempt < SETUP_ATTEMPT_LIMIT; attempt++) {
            try {
                step.run();
                return;
            } catch (IOException e) {
                lastFailure = e;
            }
        }
        if (mustSucceed) {
            throw lastFailure;
        }
    }

    private void closeQuietly(SocketChannel channel) {
        try {
            calls.close(channel);
        } catch (IOException e) {
            // Linux frees the descriptor even if close fails
        }
    }

    /** A buffer of one byte, to check whether any data has arrived. */
    ByteBuffer probeBuffer() {
        return probeBuffer.clear();
    }

    // ---- Registrations ----

    SelectionKey register(SelectableChannel channel, int interest, Object owner) throws ClosedChannelException {
        return channel.register(selector, interest, owner);
    }

    void markUnconfirmed(Connection connection) {
        if (unconfirmed.isEmpty()) {
            confirmTimeoutNanos = FIRST_CONFIRM_NANOS;
            repairAt = System.nanoTime() + confirmTimeoutNanos;
        }
        connections.add(connection);
        unconfirmed.add(connection);
    }

    void markConfirmed(Connection connection) {
        unconfirmed.remove(connection);
    }

    void forget(Connection connection) {
        connections.remove(connection);
        unconfirmed.remove(connection);
    }

    private void repairRegistrations(long now) {
        if (!unconfirmed.isEmpty() && now - repairAt >= 0) {
            reregister(unconfirmed);
            confirmTimeoutNanos = Math.min(LONGEST_CONFIRM_NANOS, confirmTimeoutNanos * 2);
            repairAt = now + confirmTimeoutNanos;
        }
    }

    /**
     * Detects a change of interest that the system refused: it then keeps reporting an operation that is no longer
     * wanted, and every wait returns at once. All connections are registered again.
     */
    private void checkForBusyLoop(int found, long waitedNanos) {
        if (waitedNanos >= NANOS_PER_MILLI) {
            emptySelects = 0;
        } else if (found == 0 && ++emptySelects >= EMPTY_SELECT_LIMIT) {
            emptySelects = 0;
            reregister(connections);
        }
    }

    private void reregister(Set<Connection> affected) {
        List<Connection> copies = List.copyOf(affected);
        repairCount += copies.size();
        copies.forEach(Connection::clearInterest);
        try {
            calls.select(selector, 0); // carries out the cleared interest sets
        } catch (IOException e) {
            // the next select carries them out
        }
        copies.forEach(Connection::restoreInterest);
    }
}
