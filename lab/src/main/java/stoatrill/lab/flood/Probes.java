package stoatrill.lab.flood;

import java.io.IOException;
import java.net.ConnectException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/**
 * Well-behaved clients that ask one router for small reads, one at a time: some on a connection that they keep, some on
 * a new one for each read. They record how long each answer took. May be closed by any thread.
 */
public final class Probes implements AutoCloseable {
    /** How long a probe tells the router that it waits, in milliseconds. */
    public static final long WAIT_MILLIS = 400;

    private static final int KEPT_CONNECTION_COUNT = 3;
    private static final int NEW_CONNECTION_COUNT = 2;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long PAUSE_NANOS = 30 * NANOS_PER_MILLI;
    private static final long RECONNECT_PAUSE_NANOS = NANOS_PER_MILLI;
    private static final AtomicLong NEXT_ID = new AtomicLong();

    /** How a read ended. */
    public enum Outcome {
        /** With a value or an error. */
        ANSWERED,
        /** The router closed each connection that was tried within the client's wait, without an answer. */
        TURNED_AWAY,
        /** No answer came for ten seconds, or it broke off. */
        UNANSWERED
    }

    /**
     * One read.
     *
     * @param tookNanos how long its answer took, counted from when the client began to connect or sent it
     */
    public record Result(long tookNanos, Outcome outcome) {}

    private final int port;
    private final List<Thread> threads = new ArrayList<>();
    private final List<Result> results = new ArrayList<>();
    private volatile boolean closed;

    /** Starts probes of the router that listens on a port of the loopback address. */
    public Probes(int port) {
        this.port = port;
        for (int i = 0; i < KEPT_CONNECTION_COUNT + NEW_CONNECTION_COUNT; i++) {
            boolean keepsConnection = i < KEPT_CONNECTION_COUNT;
            Thread thread = new Thread(() -> run(keepsConnection), "probe-" + i);
            thread.setDaemon(true);
            threads.add(thread);
            thread.start();
        }
    }

    private void run(boolean keepsConnection) {
        ProbeConnection kept = null;
        while (!closed) {
            long startedAt = System.nanoTime();
            byte[] read = WireMessages.read("probe-" + NEXT_ID.getAndIncrement(), "archive-read", WAIT_MILLIS, 0);
            Outcome outcome = Outcome.TURNED_AWAY;
            try {
                // A read that the router's close between requests crossed goes out once more on a new connection.
                do {
                    kept = kept == null || kept.hasEnded() ? reconnect(kept) : kept;
                    outcome = kept.ask(read) ? Outcome.ANSWERED : Outcome.TURNED_AWAY;
                } while (outcome == Outcome.TURNED_AWAY && mayAskAgain(startedAt));
            } catch (ConnectException e) {
                outcome = Outcome.TURNED_AWAY;
            } catch (IOException e) {
                outcome = Outcome.UNANSWERED;
            }
            add(new Result(System.nanoTime() - startedAt, outcome));
            kept = keepsConnection && outcome == Outcome.ANSWERED ? kept : discard(kept);
            LockSupport.parkNanos(PAUSE_NANOS);
        }
        discard(kept);
    }

    private static boolean mayAskAgain(long startedAt) {
        LockSupport.parkNanos(RECONNECT_PAUSE_NANOS);
        return System.nanoTime() - startedAt < WAIT_MILLIS * NANOS_PER_MILLI;
    }

    private ProbeConnection reconnect(ProbeConnection previous) throws IOException {
        discard(previous);
        return new ProbeConnection(port);
    }

    private synchronized void add(Result result) {
        results.add(result);
    }

    /** All results so far, in the order of their ends. */
    public synchronized List<Result> results() {
        return List.copyOf(results);
    }

    /** The number of reads that have ended so far. */
    public synchronized int count() {
        return results.size();
    }

    /** Closes a connection, if there is one; returns null. */
    private static ProbeConnection discard(ProbeConnection connection) {
        if (connection != null) {
            connection.close();
        }
        return null;
    }

    /** Ends the probes once the reads that are out have ended. */
    @Override
    public void close() {
        closed = true;
        try {
            for (Thread thread : threads) {
                LockSupport.unpark(thread);
                thread.join();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
