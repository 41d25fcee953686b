package stoatrill.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import stoatrill.Gateway.ListKind;
import stoatrill.Gateway.Result;
import stoatrill.Gateway.Role;
import stoatrill.config.Config;
import stoatrill.discovery.DiscoveryClient;
import stoatrill.discovery.ServerList;
import stoatrill.scenario.Scenario;

/**
 * Simulates a restart of a hundred routers on one clock while discovery is down. Each router must serve with the list
 * that it had before, and must call discovery rarely during the outage and after the recovery. Discovery answers one
 * call at a time, needs 1.5 s for one call of each router, and fails calls that wait for over 2 s.
 */
class RestartsWithoutDiscoveryTest {
    private static final int ROUTER_COUNT = 100;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLI;
    private static final long START_NANOS = 1_700_000_000_000L * NANOS_PER_MILLI;
    private static final long CALL_SERVICE_NANOS = 1_500 * NANOS_PER_MILLI / ROUTER_COUNT;
    private static final long MAX_QUEUE_NANOS = 2 * NANOS_PER_SECOND;
    /** The version of the list that the routers had before the restart. */
    private static final long KNOWN_VERSION = 5;
    /** The version that discovery has when it recovers. */
    private static final long NEWER_VERSION = 6;

    private static final int OUTAGE_SECONDS = 60;
    /** The most calls per second and router, averaged over the whole outage. */
    private static final double MAX_CALLS_PER_SECOND = 0.75;

    private final List<Router> routers = new ArrayList<>();
    private final ArrayDeque<Call> queue = new ArrayDeque<>();
    private final List<Long> callTimes = new ArrayList<>();
    private Outage outage;
    private boolean isDiscoveryDown = true;
    private long now = START_NANOS;
    private long freeAt;
    private int timedOutInQueue;

    /** How discovery treats a call while it is down. */
    enum Outage {
        REFUSES,
        RESETS,
        FAILS,
        IS_SILENT
    }

    /** A call in discovery's queue; {@code isHeld} if discovery has nothing newer to answer it with. */
    private record Call(Router router, int connection, boolean isHeld, long arrivedAt) {}

    /** A router's discovery client, reducer and module, with servers that answer each query at once. */
    private final class Router extends NoOpEffects implements DiscoveryClient.Environment {
        private final DeadlineQueue deadlines = new DeadlineQueue();
        private final List<Runnable> deferred = new ArrayList<>();
        private final Reducer reducer;
        private final DiscoveryClient client;
        private int connection;
        private long listedAt = -1;
        private int served;
        private int answered;

        Router(Config config, long seed) throws Exception {
            reducer = new Reducer(this, new Clocks(now, now), deadlines, config.reducerSetup(40, seed));
            client = new DiscoveryClient(
                    this, deadlines, "h", KNOWN_VERSION, DiscoveryClient.Timing.of(config.settings(), seed));
            reducer.onServerList(
                    now,
                    ListKind.CACHED,
                    ServerList.parse(config.knownServerList()).entries());
        }

        void runTurn() {
            List<Runnable> due = List.copyOf(deferred);
            deferred.clear();
            due.forEach(Runnable::run);
            reducer.runDueDeadlines(now);
        }

        void sendRequest(long slot, String requestClass, boolean isWrite) {
            reducer.onRequest(
                    now,
                    1,
                    slot,
                    new ClientRequest("q" + slot, requestClass, "k", 0, 500, 0, false, isWrite, w -> new byte[1]));
        }

        @Override
        public void openConnection(long connectionId, InetSocketAddress endpoint) {
            deferred.add(() -> reducer.onServerConnected(now, connectionId));
        }

        @Override
        public void sendQuery(long connectionId, Statement statement, long waitMillis) {
            deferred.add(() -> {
                reducer.onQueryWritten(connectionId);
                reducer.onServerAnswer(
                        now,
                        connectionId,
                        new ServerAnswer(Result.OK, Role.UNKNOWN, now / NANOS_PER_MILLI, null, new byte[1]),
                        true);
            });
        }

        @Override
        public void synchronize(long connectionId) {
            deferred.add(() -> reducer.onServerSynchronized(now, connectionId));
        }

        @Override
        public void answerClient(long clientId, long slot, Answer answer) {
            answered++;
            served += answer instanceof Answer.Served ? 1 : 0;
        }

        @Override
        public void watchServerList(boolean enabled) {
            deferred.add(() -> client.follow(now, enabled));
        }

        @Override
        public void fetchServerList() {
            deferred.add(() -> client.fetch(now));
        }

        @Override
        public void openDiscovery() {
            int openedConnection = ++connection;
            if (isDiscoveryDown && outage == Outage.IS_SILENT) {
                callTimes.add(now);
                return; // the connection is never established
            }
            boolean refused = isDiscoveryDown && outage == Outage.REFUSES;
            if (refused) {
                callTimes.add(now);
            }
            deferred.add(() -> {
                if (openedConnection == connection && refused) {
                    breakConnection();
                } else if (openedConnection == connection) {
                    client.connected(now);
                }
            });
        }

        @Override
        public void sendToDiscovery(byte[] request) {
            callTimes.add(now);
            String line = new String(request, StandardCharsets.US_ASCII);
            boolean isHeld = line.contains("from=" + NEWER_VERSION);
            queue.add(new Call(this, connection, isHeld, now));
        }

        @Override
        public void closeDiscovery() {
            connection++;
        }

        @Override
        public void onServerList(long receivedAt, ListKind kind, List<ServerEntry> entries) {
            boolean listed = kind == ListKind.FULL || kind == ListKind.DELTA;
            listedAt = listed && listedAt < 0 ? receivedAt : listedAt;
            reducer.onServerList(receivedAt, kind, entries);
        }

        void breakConnection() {
            connection++;
            client.broken(now);
        }

        void respond(String status, String body) {
            String head = "HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n";
            client.received(now, ByteBuffer.wrap((head + body).getBytes(StandardCharsets.US_ASCII)));
        }
    }

    private void advance(long millis) {
        for (long end = now + millis * NANOS_PER_MILLI; now < end; ) {
            now += NANOS_PER_MILLI;
            while (!queue.isEmpty() && serveNext()) {
                queue.poll();
            }
            routers.forEach(Router::runTurn);
        }
    }

    /** Serves the first call of the queue; returns false if it must wait. */
    private boolean serveNext() {
        Call call = queue.peek();
        if (call.connection != call.router.connection) {
            return true; // abandoned by the router meanwhile
        }
        if (isDiscoveryDown) {
            if (outage == Outage.RESETS) {
                call.router.breakConnection();
            } else {
                call.router.respond("503 Down", "");
            }
            return true;
        }
        if (now - call.arrivedAt > MAX_QUEUE_NANOS) {
            timedOutInQueue++;
            call.router.respond("503 Busy", "");
            return true;
        }
        if (freeAt > now) {
            return false;
        }
        freeAt = now + CALL_SERVICE_NANOS;
        if (!call.isHeld) {
            call.router.respond("200 OK", "{\"rev\":" + NEWER_VERSION + ",\"all\":false,\"targets\":[]}");
        }
        return true;
    }

    private int maxCallsInASecond() {
        int max = 0;
        int first = 0;
        for (int last = 0; last < callTimes.size(); last++) {
            while (callTimes.get(last) - callTimes.get(first) > NANOS_PER_SECOND) {
                first++;
            }
            max = Math.max(max, last - first + 1);
        }
        return max;
    }

    /** The routers restart together, or one after another over 30 s as in a rolling restart. */
    @ParameterizedTest
    @CsvSource({
        "REFUSES, 0",
        "REFUSES, 300",
        "RESETS, 0",
        "RESETS, 300",
        "FAILS, 0",
        "FAILS, 300",
        "IS_SILENT, 0",
        "IS_SILENT, 300"
    })
    void hundredRestartedRoutersServeWithoutOverloadingDiscovery(Outage outageKind, long millisBetween)
            throws Exception {
        Config config = Config.parse(Scenario.defaultConfig(), Map.of());
        outage = outageKind;
        long slot = 0;
        for (int i = 0; i < ROUTER_COUNT; i++) {
            Router router = new Router(config, i);
            routers.add(router);
            router.sendRequest(slot++, "archive", false);
            router.sendRequest(slot++, "upload", true);
            advance(millisBetween);
        }
        advance(100);
        for (Router router : routers) {
            assertEquals(2, router.answered, "answers to a read and a write right after the start");
            assertEquals(2, router.served, "of which were served");
        }
        advance(OUTAGE_SECONDS * 1_000L - millisBetween * ROUTER_COUNT);
        double callsPerRouter = callTimes.size() / (double) OUTAGE_SECONDS / ROUTER_COUNT;
        String figures = String.format(
                "%s, %d ms apart: during the outage %.3f calls per second of each, at most %d in a second; ",
                outageKind, millisBetween, callsPerRouter, maxCallsInASecond());

        callTimes.clear();
        isDiscoveryDown = false;
        long returnedAt = now;
        advance(10_000);
        long slowest = routers.stream()
                .mapToLong(r -> r.listedAt < 0 ? Long.MAX_VALUE : r.listedAt - returnedAt)
                .max()
                .orElseThrow();
        figures += String.format(
                "after it: at most %d in a second, %d failed in the queue, the last router has a list after %d ms",
                maxCallsInASecond(), timedOutInQueue, slowest / NANOS_PER_MILLI);
        System.out.println(figures);
        assertTrue(callsPerRouter <= MAX_CALLS_PER_SECOND, figures);
        assertTrue(maxCallsInASecond() <= 2 * NANOS_PER_SECOND / CALL_SERVICE_NANOS, figures);
        assertEquals(0, timedOutInQueue, figures);
        assertTrue(slowest <= 6 * NANOS_PER_SECOND, figures);
    }
}
