package stoatrill.standins.net;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import stoatrill.standins.model.Scheduler;

/**
 * The model's time as it really passes, in nanoseconds since 1970: one thread with one selector that runs what is
 * due and what the sockets bring. Everything of the model belongs to that thread; others come in by {@link #ask}.
 */
public final class RealTime implements Scheduler, AutoCloseable {
    private static final long MILLI = 1_000_000L;

    /** What waits for a socket. */
    interface Ready {
        void ready(SelectionKey key) throws IOException;

        void failed();
    }

    private record Event(long time, long order, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::time).thenComparingLong(Event::order));
    private final ConcurrentLinkedQueue<Runnable> asked = new ConcurrentLinkedQueue<>();
    private final Selector selector = Selector.open();
    private final long origin = wall() - System.nanoTime();
    private final Thread thread;
    private long orders;
    private volatile boolean closed;

    public RealTime() throws IOException {
        thread = new Thread(this::run, "stand-ins");
        thread.setDaemon(true);
        thread.start();
    }

    private static long wall() {
        Instant now = Instant.now();
        return now.getEpochSecond() * 1_000_000_000L + now.getNano();
    }

    @Override
    public long now() {
        return origin + System.nanoTime();
    }

    @Override
    public void at(long time, Runnable action) {
        events.add(new Event(time, orders++, action));
    }

    Selector selector() {
        return selector;
    }

    /** Runs something in the model's thread and waits for it. */
    public <T> T ask(Callable<T> what) throws IOException {
        CompletableFuture<T> result = new CompletableFuture<>();
        asked.add(() -> {
            try {
                result.complete(what.call());
            } catch (Exception e) {
                result.completeExceptionally(e);
            }
        });
        selector.wakeup();
        try {
            return result.get();
        } catch (ExecutionException e) {
            throw e.getCause() instanceof IOException io ? io : new IOException(e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    private void run() {
        try {
            while (!closed) {
                long wait = events.isEmpty() ? 100 : (events.peek().time() - now() + MILLI - 1) / MILLI;
                if (wait <= 0 || !asked.isEmpty()) {
                    selector.selectNow();
                } else {
                    selector.select(Math.min(100, wait));
                }
                for (SelectionKey key : selector.selectedKeys()) {
                    ready(key);
                }
                selector.selectedKeys().clear();
                Runnable next;
                while ((next = asked.poll()) != null) {
                    next.run();
                }
                long now = now();
                while (!events.isEmpty() && events.peek().time() <= now) {
                    events.poll().action().run();
                }
            }
            for (SelectionKey key : selector.keys()) {
                key.channel().close();
            }
            selector.close();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private static void ready(SelectionKey key) {
        Ready ready = (Ready) key.attachment();
        try {
            if (key.isValid()) {
                ready.ready(key);
            }
        } catch (IOException | RuntimeException e) {
            ready.failed(); // a connection's end is its own matter, and so is a fault on it
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
