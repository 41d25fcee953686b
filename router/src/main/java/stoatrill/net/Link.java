package stoatrill.net;

import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.util.ArrayDeque;
import stoatrill.core.Deadlines.Deadline;
import stoatrill.io.Connection;
import stoatrill.io.IoResult;

/** One non-blocking connection with what is still to be written to it. */
abstract class Link {
    /**
     * After so long what could not be written is tried again, though the selector has not told of room; twice as long
     * each time. Guards against a change of interest that the system has refused without a word.
     */
    private static final long FIRST_RETRY = 10_000_000L;

    private static final long LONGEST_RETRY = 640_000_000L;

    /** After so long without progress what is half written counts as standing still. */
    private static final long STANDSTILL = 100_000_000L;

    private final EventLoop loop;
    private final ArrayDeque<ByteBuffer> outbound = new ArrayDeque<>();
    private Connection connection;
    private long queued;
    private boolean open = true;
    private boolean endedInOrder;
    private Deadline retry;
    private long retryAfter = FIRST_RETRY;
    private long progressAt;

    Link(EventLoop loop) {
        this.loop = loop;
    }

    /** The connection that this is the owner of; comes before anything else. */
    void use(Connection connection) {
        this.connection = connection;
    }

    /** Bytes were read; all of them are to be taken. */
    abstract void received(ByteBuffer bytes);

    /** The connection is up. */
    void connected() {}

    /** Everything handed to {@link #write} is out. */
    void flushed() {}

    /** Some of it is out. */
    void partlyFlushed() {}

    /**
     * Whether what was kept for want of room may still be written: asked again at the moment of the write. If not, the
     * connection is ended by whoever says so.
     */
    boolean mayWriteLate() {
        return true;
    }

    /** The other side has ended or broken the connection; it is closed already. */
    abstract void lost();

    boolean open() {
        return open;
    }

    /** Whether the other side has ended its sending, after all it had to say; false if the connection was reset. */
    boolean endedInOrder() {
        return endedInOrder;
    }

    long queued() {
        return queued;
    }

    Connection connection() {
        return connection;
    }

    /** Writes what the socket takes and keeps the rest; {@link #flushed} follows once all is out. */
    public void write(byte[] bytes) {
        if (!open) {
            return;
        }
        outbound.add(ByteBuffer.wrap(bytes));
        queued += bytes.length;
        if (flush()) {
            flushed();
        }
    }

    /** Whether a part of what is being written is out, and the other side has taken some of it lately. */
    boolean goesOut() {
        ByteBuffer first = outbound.peek();
        return first != null && first.position() > 0 && System.nanoTime() - progressAt < STANDSTILL;
    }

    /** Writes what the socket takes; true once nothing is left. */
    private boolean flush() {
        while (!outbound.isEmpty()) {
            ByteBuffer first = outbound.peek();
            IoResult result = connection.write(first);
            queued -= result.bytes();
            boolean goesOn =
                    switch (result.outcome()) {
                        case PROGRESS -> true;
                        case NOTHING_NOW -> false;
                        case NO_RESOURCE -> {
                            loop.lacksResource();
                            yield false;
                        }
                        case BROKEN, FATAL, END_OF_STREAM -> {
                            loop.count("closed", "write failed");
                            loop.later(this::fail); // not from within whoever writes
                            yield false;
                        }
                    };
            if (!goesOn) {
                connection.interest(SelectionKey.OP_WRITE, true);
                retryLater();
                return false;
            }
            retryAfter = FIRST_RETRY;
            progressAt = System.nanoTime();
            if (!first.hasRemaining()) {
                outbound.poll();
            }
        }
        connection.interest(SelectionKey.OP_WRITE, false);
        return true;
    }

    private void retryLater() {
        if (retry == null) {
            retry = loop.after(retryAfter, () -> {
                retry = null;
                retryAfter = Math.min(LONGEST_RETRY, 2 * retryAfter);
                loop.guarded(this, this::writable);
            });
        }
    }

    /** There may be room for what was kept. */
    private void writable() {
        if (!open || outbound.isEmpty() || !mayWriteLate()) {
            return;
        }
        if (flush()) {
            flushed();
        } else {
            partlyFlushed();
        }
    }

    void interest(int operation, boolean on) {
        connection.interest(operation, on);
    }

    /** The connection has come up: from now on it is read. */
    void up() {
        if (open) {
            interest(SelectionKey.OP_CONNECT, false);
            interest(SelectionKey.OP_READ, true);
            connected();
        }
    }

    /** Does what the selector found possible. */
    void handle(ByteBuffer buffer) {
        connection.found();
        if (connection.isConnectable()) {
            IoResult result = connection.finishConnect();
            switch (result.outcome()) {
                case PROGRESS -> up();
                case NOTHING_NOW, NO_RESOURCE -> {}
                case BROKEN, FATAL, END_OF_STREAM -> fail();
            }
        }
        if (connection.isWritable()) {
            writable();
        }
        if (connection.isReadable()) {
            readable(buffer);
        }
    }

    /** Something, or the end, is there to be read. */
    void readable(ByteBuffer buffer) {
        read(buffer);
    }

    /** Reads what is there, up to one buffer. */
    Look read(ByteBuffer buffer) {
        buffer.clear();
        IoResult result = connection.read(buffer);
        return switch (result.outcome()) {
            case PROGRESS -> {
                buffer.flip();
                received(buffer);
                yield Look.SOMETHING;
            }
            case NOTHING_NOW -> Look.NOTHING;
            case NO_RESOURCE -> {
                loop.lacksResource();
                yield Look.UNKNOWN;
            }
            case END_OF_STREAM -> {
                endedInOrder = true;
                loop.count("closed", "peer ended");
                fail();
                yield Look.ENDED;
            }
            case BROKEN, FATAL -> {
                loop.count("closed", "read failed");
                fail();
                yield Look.ENDED;
            }
        };
    }

    /** What a look at the bytes that may have come in has found. */
    enum Look {
        SOMETHING,
        NOTHING,
        /** The call failed in a way that passes: there may be something. */
        UNKNOWN,
        ENDED
    }

    /** Whether nothing has come in, nor the end; what has is lost, so an unquiet connection must be closed. */
    boolean quiet() {
        return connection.quiet();
    }

    /** Ends a connection that the other side has broken. */
    void fail() {
        if (open) {
            shut();
            lost();
        }
    }

    /** A failure in handling it: it ends. */
    void abort() {
        fail();
    }

    void shut() {
        open = false;
        if (retry != null) {
            retry.cancel();
        }
        connection.close();
    }
}
