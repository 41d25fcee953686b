package stoatrill.net;

import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import stoatrill.core.DeadlineQueue.Deadline;
import stoatrill.io.Connection;
import stoatrill.io.IoResult;

/**
 * One non-blocking connection and the output that is still to be written to it. Subclasses handle its events. For the
 * event loop's thread alone.
 */
abstract class Link {
    /**
     * Delay after which queued output is written again although the selector has not reported room; doubled each time.
     * This covers a change of interest that the system has refused without an error.
     */
    private static final long FIRST_RETRY_NANOS = 10_000_000L;

    /** Upper bound of the delay. */
    private static final long LONGEST_RETRY_NANOS = 640_000_000L;

    /** Time without progress after which partly written output counts as stalled. */
    private static final long STALL_NANOS = 100_000_000L;

    /** Output of a turn that is written at once when there is so much of it. */
    private static final long TURN_OUTPUT_LIMIT_BYTES = 64 * 1024;

    private final EventLoop loop;
    private final OutputQueue output = new OutputQueue();
    private Connection connection;
    /** Whether the event loop has been asked to write the queued output at the end of this step. */
    private boolean isFlushScheduled;

    private boolean isOpen = true;
    private boolean hasFailed;
    /** The next one in the event loop's list of connections to be closed. */
    Link nextFailed;

    /** Whether the event loop has been asked to handle what the selector found. */
    boolean isEventScheduled;

    private boolean peerEndedCleanly;
    private Deadline writeRetry;
    private long retryDelayNanos = FIRST_RETRY_NANOS;
    private long lastProgressAt;

    Link(EventLoop loop) {
        this.loop = loop;
    }

    /** Sets the connection that this link owns; must be called before any other method. */
    void attach(Connection connection) {
        this.connection = connection;
    }

    /** Handles bytes that were read; must consume all of them. */
    abstract void onReceived(ByteBuffer bytes);

    /** Called once the connection is established. */
    void onConnected() {}

    /** Called once everything passed to {@link #write} has been written. */
    void onFlushed() {}

    /** Called when some but not all of the queued output has been written. */
    void onPartlyFlushed() {}

    /**
     * Whether output that was queued for lack of room may still be written; called right before the write. An
     * implementation that returns false is responsible for closing the connection.
     */
    boolean mayWriteQueued() {
        return true;
    }

    /** Called once the peer has closed or broken the connection; the socket is closed already. */
    abstract void onLost();

    boolean isOpen() {
        return isOpen;
    }

    /** Whether the connection has failed for good, so that it is closed at the end of this iteration. */
    boolean hasFailed() {
        return hasFailed;
    }

    /** Marks the connection as failed; returns false if it was already. */
    boolean markFailed() {
        boolean isFirstFailure = !hasFailed;
        hasFailed = true;
        return isFirstFailure;
    }

    /** Whether the peer has shut down its sending side after all its data; false if the connection was reset. */
    boolean peerEndedCleanly() {
        return peerEndedCleanly;
    }

    long queuedBytes() {
        return output.queuedBytes();
    }

    Connection connection() {
        return connection;
    }

    /** Writes what the socket takes and queues the rest; {@link #onFlushed} follows once all is written. */
    public void write(byte[] bytes) {
        if (isOpen) {
            output.add(bytes);
            flushAndReport();
        }
    }

    /** Queues output that leaves with what else is queued in this turn, in few system calls. */
    void writeInTurn(byte[] bytes) {
        if (!isOpen) {
            return;
        }
        boolean wasBelowLimit = output.queuedBytes() < TURN_OUTPUT_LIMIT_BYTES;
        output.add(bytes);
        if (wasBelowLimit && output.queuedBytes() >= TURN_OUTPUT_LIMIT_BYTES) {
            flushAndReport();
        } else if (!isFlushScheduled) {
            loop.flushLater(this);
            isFlushScheduled = true;
        }
    }

    /** Writes what {@link #writeInTurn} has queued in this turn, if anything. */
    void flushTurn() {
        if (isFlushScheduled) {
            isFlushScheduled = false;
            if (isOpen && !hasFailed && !output.isEmpty()) {
                flushAndReport();
            }
        }
    }

    private void flushAndReport() {
        if (flush()) {
            onFlushed();
        } else {
            onPartlyFlushed();
        }
    }

    /** Whether part of the message being written is sent, and the peer has taken some of it recently. */
    boolean isWriteProgressing() {
        ByteBuffer first = output.first();
        return first != null && first.position() > 0 && System.nanoTime() - lastProgressAt < STALL_NANOS;
    }

    /** Writes what the socket takes; returns whether nothing is left. */
    private boolean flush() {
        while (!output.isEmpty()) {
            IoResult result = connection.write(output.first());
            output.recordWritten(result.bytes());
            boolean mayContinue =
                    switch (result.outcome()) {
                        case PROGRESS -> true;
                        case WOULD_BLOCK -> false;
                        case TEMPORARY_FAILURE -> {
                            loop.noteResourceShortage();
                            yield false;
                        }
                        case BROKEN, PERMANENT_FAILURE, END_OF_STREAM -> {
                            loop.count("closed", "write failed");
                            loop.closeLater(this); // later, so that the caller of write is not called back
                            yield false;
                        }
                    };
            if (!mayContinue) {
                connection.setInterest(SelectionKey.OP_WRITE, true);
                scheduleWriteRetry();
                return false;
            }
            retryDelayNanos = FIRST_RETRY_NANOS;
            lastProgressAt = System.nanoTime();
        }
        connection.setInterest(SelectionKey.OP_WRITE, false);
        return true;
    }

    private void scheduleWriteRetry() {
        if (writeRetry == null) {
            writeRetry = loop.scheduleAfter(retryDelayNanos, () -> {
                writeRetry = null;
                retryDelayNanos = Math.min(LONGEST_RETRY_NANOS, 2 * retryDelayNanos);
                loop.runGuarded(this, this::writeQueued);
            });
        }
    }

    /** Writes queued output, if it may still be written. */
    private void writeQueued() {
        if (isOpen && !output.isEmpty() && mayWriteQueued()) {
            flushAndReport();
        }
    }

    void setInterest(int operation, boolean enabled) {
        connection.setInterest(operation, enabled);
    }

    /** Marks the connection as established and starts reading from it. */
    void markConnected() {
        if (isOpen) {
            setInterest(SelectionKey.OP_CONNECT, false);
            setInterest(SelectionKey.OP_READ, true);
            onConnected();
        }
    }

    /** Requests that the event loop handles what the selector found once it is this connection's turn. */
    void scheduleEvents() {
        if (!isEventScheduled) {
            enqueueEvents();
            isEventScheduled = true;
        }
    }

    /** Adds this connection to the event loop's queue of those to be handled. */
    abstract void enqueueEvents();

    /** Performs the operations that the selector found ready. */
    void handleSelected(ByteBuffer buffer) {
        connection.confirmRegistration();
        if (connection.isConnectable()) {
            IoResult result = connection.finishConnect();
            switch (result.outcome()) {
                case PROGRESS -> markConnected();
                case WOULD_BLOCK, TEMPORARY_FAILURE -> {}
                case BROKEN, PERMANENT_FAILURE, END_OF_STREAM -> fail();
            }
        }
        if (connection.isWritable()) {
            writeQueued();
        }
        if (connection.isReadable()) {
            readAvailable(buffer);
        }
    }

    /** Called when data or the end of the stream can be read. */
    void readAvailable(ByteBuffer buffer) {
        read(buffer);
    }

    /** Reads available data, at most one buffer. */
    ReadResult read(ByteBuffer buffer) {
        return read(buffer, buffer.capacity());
    }

    /** Reads available data, at most one buffer and so many bytes. */
    ReadResult read(ByteBuffer buffer, int limitBytes) {
        buffer.clear().limit(Math.min(buffer.capacity(), limitBytes));
        IoResult result = connection.read(buffer);
        return switch (result.outcome()) {
            case PROGRESS -> {
                buffer.flip();
                onReceived(buffer);
                yield ReadResult.DATA;
            }
            case WOULD_BLOCK -> ReadResult.NO_DATA;
            case TEMPORARY_FAILURE -> {
                loop.noteResourceShortage();
                yield ReadResult.UNKNOWN;
            }
            case END_OF_STREAM -> {
                peerEndedCleanly = true;
                loop.count("closed", "peer ended");
                fail();
                yield ReadResult.ENDED;
            }
            case BROKEN, PERMANENT_FAILURE -> {
                loop.count("closed", "read failed");
                fail();
                yield ReadResult.ENDED;
            }
        };
    }

    /** The result of an attempt to read. */
    enum ReadResult {
        DATA,
        NO_DATA,
        /** The call failed temporarily: there may be data. */
        UNKNOWN,
        ENDED
    }

    /**
     * Whether neither data nor the end of the stream has arrived. Data that has arrived is lost, so a connection that
     * is not quiet must be closed.
     */
    boolean isQuiet() {
        return connection.isQuiet();
    }

    /** Closes a connection that the peer has closed or broken, and reports it by {@link #onLost}. */
    void fail() {
        if (isOpen) {
            closeSocket();
            onLost();
        }
    }

    /** Ends the connection after a failure in handling it. */
    void abort() {
        fail();
    }

    /** Closes the socket without calling {@link #onLost}. */
    void closeSocket() {
        isOpen = false;
        if (writeRetry != null) {
            writeRetry.cancel();
        }
        connection.close();
    }
}
