package stoatrill.io;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;

/**
 * One non-blocking TCP connection, registered with a {@link Poller}. Failed calls are retried at once a few times, so
 * that a single failure is never taken for the end of a connection that still works; if the peer has really gone, the
 * retries fail too. For the poller's thread alone.
 */
public final class Connection {
    /** Bytes passed to the system in one call. */
    private static final int WRITE_LIMIT_BYTES = 128 * 1024;
    /** Attempts made at once for a call that is interrupted or fails. */
    private static final int ATTEMPT_LIMIT = 16;
    /** Immediate retries after the system has reported that the connection is broken. */
    private static final int BROKEN_RETRY_LIMIT = 2;

    private final SystemCalls calls;
    private final Poller poller;
    private final SocketChannel channel;
    private final SelectionKey key;
    private final RetryWindow readRetries = new RetryWindow();
    private final RetryWindow writeRetries = new RetryWindow();
    /** Null for a connection that is still to be made. */
    private final SocketAddress peer;
    /** The interest set of the owner; that of the key is larger while the registration is unconfirmed. */
    private int wantedInterest;
    /** Whether no event has shown yet that the system has the registration. */
    private boolean isUnconfirmed;
    /** Whether the call that began the connection also completed it. */
    private boolean connectedImmediately;

    /** Registers a non-blocking socket. */
    Connection(SystemCalls calls, Poller poller, SocketChannel channel, int interest, Object owner)
            throws ClosedChannelException {
        this.calls = calls;
        this.poller = poller;
        this.channel = channel;
        this.peer = remoteAddress(channel);
        this.wantedInterest = interest;
        this.key = poller.register(channel, interest, owner);
        if (includesRead(interest)) {
            requestConfirmation();
        }
    }

    private static SocketAddress remoteAddress(SocketChannel channel) {
        try {
            return channel.getRemoteAddress();
        } catch (IOException e) {
            return null; // closed already, which the first read shows
        }
    }

    /** Begins to connect; an interrupted call continues, and the selector reports its end. */
    void connect(InetSocketAddress address) throws IOException {
        connectedImmediately = calls.connect(channel, address);
    }

    /** Whether the connection was established by the call that began it; the selector need not report it then. */
    public boolean connectedImmediately() {
        return connectedImmediately;
    }

    /** The peer's address and port, for logs; takes no system call and no file, also once the connection is closed. */
    public String peerAddress() {
        return String.valueOf(peer);
    }

    /** A call on the socket, which returns a count or throws. */
    private interface Call {
        int invoke() throws IOException;
    }

    /** Reads available data. */
    public IoResult read(ByteBuffer target) {
        return transfer(() -> calls.read(channel, target), readRetries, true);
    }

    /** Writes what the socket takes, in limited pieces, since the platform copies everything it is given. */
    public IoResult write(ByteBuffer source) {
        int originalLimit = source.limit();
        source.limit(Math.min(originalLimit, source.position() + WRITE_LIMIT_BYTES));
        try {
            return transfer(() -> calls.write(channel, source), writeRetries, false);
        } finally {
            source.limit(originalLimit);
        }
    }

    private IoResult transfer(Call call, RetryWindow retries, boolean isRead) {
        IoResult lastFailure = IoResult.INTERRUPTED;
        int brokenCount = 0;
        for (int attempt = 0; attempt < ATTEMPT_LIMIT && brokenCount <= BROKEN_RETRY_LIMIT; attempt++) {
            try {
                int count = call.invoke();
                if (count > 0) {
                    retries.recordSuccess();
                    return IoResult.progress(count);
                } else if (count == 0) {
                    retries.recordSuccess();
                    return IoResult.NOTHING_NOW;
                } else if (isRead && count == -1) {
                    // After an error this is not an orderly end: a reset is reported once, then as end of stream.
                    return brokenCount > 0 ? lastFailure : IoResult.END_OF_STREAM;
                }
            } catch (IOException e) {
                lastFailure = IoResult.failed(IoErrors.classify(e), e);
                if (lastFailure.outcome() == Outcome.PERMANENT_FAILURE) {
                    return lastFailure;
                }
                brokenCount += lastFailure.outcome() == Outcome.BROKEN ? 1 : 0;
            }
        }
        if (brokenCount > BROKEN_RETRY_LIMIT || !retries.mayRetry(System.nanoTime())) {
            return new IoResult(Outcome.BROKEN, 0, lastFailure.reason());
        }
        return new IoResult(Outcome.TEMPORARY_FAILURE, 0, lastFailure.reason());
    }

    /**
     * Whether it is certain that neither data nor the end of the stream has arrived. Data that has arrived is lost, so
     * a connection that is not quiet must be closed.
     */
    public boolean isQuiet() {
        return read(poller.probeBuffer()).outcome() == Outcome.WOULD_BLOCK;
    }

    /** Checks a pending connect: {@link Outcome#PROGRESS} if the connection is established. */
    public IoResult finishConnect() {
        try {
            return calls.finishConnect(channel) ? IoResult.DONE : IoResult.NOTHING_NOW;
        } catch (IOException e) {
            return IoResult.failed(Outcome.BROKEN, e);
        }
    }

    /** Shuts down the sending side; data from the peer can still be read. */
    public IoResult shutdownOutput() {
        IoResult lastFailure = IoResult.INTERRUPTED;
        for (int attempt = 0; attempt < ATTEMPT_LIMIT; attempt++) {
            try {
                calls.shutdownOutput(channel);
                return IoResult.DONE;
            } catch (IOException e) {
                lastFailure = IoResult.failed(Outcome.BROKEN, e);
            }
        }
        return lastFailure;
    }

    /** Closes the connection; it counts as closed even if the system reports an error. */
    public void close() {
        key.cancel();
        poller.forget(this);
        try {
            calls.close(channel);
        } catch (IOException e) {
            // Linux frees the descriptor even if close fails
        }
    }

    // ---- Interest set ----

    /** Adds an operation of {@link SelectionKey} to the interest set, or removes it. */
    public void setInterest(int operation, boolean enabled) {
        int previousInterest = wantedInterest;
        wantedInterest = enabled ? wantedInterest | operation : wantedInterest & ~operation;
        if (wantedInterest == previousInterest) {
            return;
        }
        if (includesRead(wantedInterest) && !includesRead(previousInterest)) {
            requestConfirmation();
        } else {
            applyInterest();
        }
    }

    /** Whether the selector has found that a pending connect may be complete. */
    public boolean isConnectable() {
        return key.isValid() && key.isConnectable();
    }

    /** Whether the selector has found room to write. */
    public boolean isWritable() {
        return key.isValid() && key.isWritable();
    }

    /** Whether the selector has found data, or the end of the stream, to read. */
    public boolean isReadable() {
        return key.isValid() && key.isReadable();
    }

    /** Called when the selector has selected the key, which shows that the system has the registration. */
    public void confirmRegistration() {
        if (isUnconfirmed) {
            isUnconfirmed = false;
            poller.markConfirmed(this);
            applyInterest();
        }
    }

    /**
     * Adds an interest in writing, which is nearly always possible, until an event confirms the registration. The
     * platform's selector does not report a registration that the system refused for lack of memory, and a connection
     * without one would never be read.
     */
    private void requestConfirmation() {
        isUnconfirmed = true;
        poller.markUnconfirmed(this);
        applyInterest();
    }

    private void applyInterest() {
        if (key.isValid()) {
            int operations = isUnconfirmed ? wantedInterest | SelectionKey.OP_WRITE : wantedInterest;
            if (operations != key.interestOps()) {
                key.interestOps(operations);
            }
        }
    }

    /** Clears the interest set of the key, so that {@link #restoreInterest} registers it with the system again. */
    void clearInterest() {
        if (key.isValid()) {
            key.interestOps(0);
        }
    }

    /** Registers the interest set again after {@link #clearInterest}. */
    void restoreInterest() {
        if (includesRead(wantedInterest)) {
            requestConfirmation();
        } else {
            applyInterest();
        }
    }

    private static boolean includesRead(int operations) {
        return (operations & SelectionKey.OP_READ) != 0;
    }
}
