package stoatrill.lab.scale.footprint;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.function.BooleanSupplier;

/**
 * Real clients of one router on loopback. Each connects, sends an empty query, and then rests or sends statements. For
 * one thread, which moves them on by {@link #until}: what comes in meanwhile waits in the sockets.
 */
final class ClientCrowd implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final long LONGEST_SELECT_MILLIS = 10;

    private final Selector selector = Selector.open();
    private final ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);
    private final InetSocketAddress router;
    private final List<CrowdClient> clients = new ArrayList<>();
    private final Queue<CrowdClient> idle = new ArrayDeque<>();
    private long sent;
    private long answered;
    private long refused;
    private long failed;
    private int ended;

    /** A crowd before the router that listens on this port of loopback. */
    ClientCrowd(int routerPort) throws IOException {
        router = new InetSocketAddress(InetAddress.getLoopbackAddress(), routerPort);
    }

    /**
     * Connects so many more at once, and waits until each has the answer to its empty query or has ended.
     *
     * @return whether all came that far in this time
     */
    boolean connect(int count, Duration within) throws IOException {
        for (int i = 0; i < count; i++) {
            clients.add(CrowdClient.connect(selector, router));
        }
        return until(() -> idle.size() + ended >= clients.size(), within);
    }

    /** Moves the clients on until the condition holds or the time is up; returns whether it holds. */
    boolean until(BooleanSupplier condition, Duration within) throws IOException {
        long end = System.nanoTime() + within.toNanos();
        boolean holds = condition.getAsBoolean();
        while (!holds && System.nanoTime() < end) {
            selector.select(this::ready, LONGEST_SELECT_MILLIS);
            holds = condition.getAsBoolean();
        }
        return holds;
    }

    /** Moves the clients on for so long. */
    void rest(Duration time) throws IOException {
        until(() -> false, time);
    }

    /** Sends a statement on a client that rests; false if none does. */
    boolean send(String sql) {
        CrowdClient client = idle.poll();
        while (client != null && client.ended()) {
            client = idle.poll();
        }
        if (client == null) {
            return false;
        }
        try {
            client.ask(sql);
            sent++;
            return true;
        } catch (IOException e) {
            end(client);
            return false;
        }
    }

    /**
     * Sends statements at an even pace, each on a client that rests.
     *
     * @return how many were sent; fewer than wanted where no client rested
     */
    long pace(StatementMix mix, int perSecond, Duration time) throws IOException {
        long begin = System.nanoTime();
        long wanted = perSecond * time.toSeconds();
        long due = 0;
        long before = sent;
        while (due < wanted) {
            long now = Math.min(wanted, (System.nanoTime() - begin) * perSecond / 1_000_000_000L);
            for (; due < now; due++) {
                send(mix.next());
            }
            selector.select(this::ready, 1);
        }
        return sent - before;
    }

    /** Clients whose connections are open and that have had their first answer. */
    int open() {
        return (int) clients.stream().filter(CrowdClient::served).count();
    }

    /** Clients whose connections the router has ended, or that could not connect. */
    int ended() {
        return ended;
    }

    /** How statements have ended so far. */
    Answers answers() {
        return new Answers(answered, refused, failed);
    }

    /** Statements that have been sent and have no answer yet. */
    long unanswered() {
        return sent - answered - refused - failed;
    }

    /** How long the clients that were served waited from connect to first answer, sorted, in milliseconds. */
    List<Double> firstAnswerMillis() {
        return clients.stream()
                .filter(CrowdClient::served)
                .map(CrowdClient::firstAnswerMillis)
                .sorted()
                .toList();
    }

    private void ready(SelectionKey key) {
        CrowdClient client = (CrowdClient) key.attachment();
        try {
            client.ready(key, buffer).forEach(event -> took(event, client));
        } catch (IOException | IllegalStateException e) {
            end(client);
        }
    }

    private void end(CrowdClient client) {
        client.close();
        ended++;
    }

    private void took(CrowdClient.Event event, CrowdClient client) {
        switch (event) {
            case RESTS -> idle.add(client);
            case ANSWERED -> answered++;
            case REFUSED -> refused++;
            case FAILED -> failed++;
        }
    }

    @Override
    public void close() throws IOException {
        clients.forEach(CrowdClient::close);
        selector.close();
    }
}
