package stoatrill.io;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;

/**
 * One non-blocking connection over TCP, registered with a {@link Poller}. Calls that fail are made again at once a few
 * times, so that one failure is never taken for the end of a connection that still works: a peer that has really gone
 * makes the repeats fail too. For the poller's thread alone.
 */
public final class Connection {
    /** Bytes handed to the system at a time. */
    private static final int MOST_WRITTEN = 128 * 1024;
    /** How often an interrupted or failed call is made again at once. */
    private static final int REPEATS = 16;
    /** How often a call is made again at once after the system has said that the connection is broken. */
    private static final int SECOND_LOOKS = 2;

    private final SystemCalls calls;
    private final Poller poller;
    private final SocketChannel channel;
    private final SelectionKey key;
    private final Repeats reads = new Repeats();
    private final Repeats writes = new Repeats();
    /** What the owner wants to be told of; the key has more while the registration is being confirmed. */
    private int wanted;
    /** Whether the system has not yet shown that it knows the registration. */
    private boolean unconfirmed;
    /** Whether the connection that was begun came up at once. */
    private boolean upAtOnce;

    /** Registers a socket that never blocks. */
    Connection(SystemCalls calls, Poller poller, SocketChannel channel, int interest, Object owner)
            throws ClosedChannelException {
        this.calls = calls;
        this.poller = poller;
        this.channel = channel;
        this.wanted = interest;
        this.key = poller.register(channel, interest, owner);
        if (isRead(interest)) {
            confirm();
        }
    }

    /** Begins to connect; an interrupted call goes on, and the selector tells how it ends. */
    void connect(InetSocketAddress to) throws IOException {
        upAtOnce = calls.connect(channel, to);
    }

    /** Whether the connection came up in the call that began it; the selector then need not tell. */
    public boolean upAtOnce() {
        return upAtOnce;
    }

    /** A call on the socket: gives a count, or throws. */
    private interface Call {
        int make() throws IOException;
    }

    /** Reads what is there. */
    public IoResult read(ByteBuffer into) {
        return transfer(() -> calls.read(channel, into), reads, true);
    }

    /** Writes what the socket takes, a part of it at a time: the platform copies all that it is handed. */
    public IoResult write(ByteBuffer from) {
        int end = from.limit();
        from.limit(Math.min(end, from.position() + MOST_WRITTEN));
        try {
            return transfer(() -> calls.write(channel, from), writes, false);
        } finally {
            from.limit(end);
        }
    }

    private IoResult transfer(Call call, Repeats repeats, boolean reads) {
        IoResult last = IoResult.INTERRUPTED;
        int broken = 0;
        for (int n = 0; n < REPEATS && broken <= SECOND_LOOKS; n++) {
            try {
                int count = call.make();
                if (count > 0) {
                    repeats.succeeded();
                    return IoResult.progress(count);
                } else if (count == 0) {
                    repeats.succeeded();
                    return IoResult.NOTHING_NOW;
                } else if (reads && count == -1) {
                    // Behind an error the end is no end in order: a reset is told once, and then as an end.
                    return broken > 0 ? last : IoResult.END_OF_STREAM;
                }
            } catch (IOException e) {
                last = IoResult.failed(IoErrors.outcome(e), e);
                if (last.outcome() == Outcome.FATAL) {
                    return last;
                }
                broken += last.outcome() == Outcome.BROKEN ? 1 : 0;
            }
        }
        if (broken > SECOND_LOOKS || !repeats.mayRepeat(System.nanoTime())) {
            return new IoResult(Outcome.BROKEN, 0, last.why());
        }
        return new IoResult(Outcome.NO_RESOURCE, 0, last.why());
    }

    /** Whether it is certain that nothing has come in, nor the end. What has is lost, so it must then be closed. */
    public boolean quiet() {
        return read(poller.oneByte()).outcome() == Outcome.NOTHING_NOW;
    }

    /** Looks whether a connection that was begun is up: progress if it is. */
    public IoResult finishConnect() {
        try {
            return calls.finishConnect(channel) ? IoResult.DONE : IoResult.NOTHING_NOW;
        } catch (IOException e) {
            return IoResult.failed(Outcome.BROKEN, e);
        }
    }

    /** Ends sending; what the peer sends can still be read. */
    public IoResult endSending() {
        IoResult last = IoResult.INTERRUPTED;
        for (int n = 0; n < REPEATS; n++) {
            try {
                calls.endSending(channel);
                return IoResult.DONE;
            } catch (IOException e) {
                last = IoResult.failed(Outcome.BROKEN, e);
            }
        }
        return last;
    }

    /** Closes it; it is closed whatever the system says. */
    public void close() {
        key.cancel();
        poller.closed(this);
        try {
            calls.close(channel);
        } catch (IOException e) {
            // Linux frees the descriptor also where close fails
        }
    }

    // ---- Interest ----

    /** Asks to be told of an operation of {@link SelectionKey}, or no longer. */
    public void interest(int operation, boolean on) {
        int before = wanted;
        wanted = on ? wanted | operation : wanted & ~operation;
        if (wanted == before) {
            return;
        }
        if (isRead(wanted) && !isRead(before)) {
            confirm();
        } else {
            apply();
        }
    }

    /** Whether the selector has found that a connection that was begun may be up. */
    public boolean isConnectable() {
        return key.isValid() && key.isConnectable();
    }

    /** Whether the selector has found room to write. */
    public boolean isWritable() {
        return key.isValid() && key.isWritable();
    }

    /** Whether the selector has found something to read. */
    public boolean isReadable() {
        return key.isValid() && key.isReadable();
    }

    /** The selector has found something: so the system knows the registration. */
    public void found() {
        if (unconfirmed) {
            unconfirmed = false;
            poller.confirmed(this);
            apply();
        }
    }

    /**
     * Asks to be told of room to write too, which there nearly always is: the platform's selector says nothing of a
     * registration that the system refused for want of memory, and a connection without one would never be read.
     */
    private void confirm() {
        unconfirmed = true;
        poller.unconfirmed(this);
        apply();
    }

    private void apply() {
        if (key.isValid()) {
            int operations = unconfirmed ? wanted | SelectionKey.OP_WRITE : wanted;
            if (operations != key.interestOps()) {
                key.interestOps(operations);
            }
        }
    }

    /** Takes the registration back, so that {@link #registerAnew} makes the system take it once more. */
    void unregister() {
        if (key.isValid()) {
            key.interestOps(0);
        }
    }

    /** Registers it again. */
    void registerAnew() {
        if (isRead(wanted)) {
            confirm();
        } else {
            apply();
        }
    }

    private static boolean isRead(int operations) {
        return (operations & SelectionKey.OP_READ) != 0;
    }
}
