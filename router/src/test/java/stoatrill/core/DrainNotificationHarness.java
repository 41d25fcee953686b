package stoatrill.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import stoatrill.Gateway.ListKind;
import stoatrill.Gateway.Result;
import stoatrill.Gateway.Role;
import stoatrill.config.Config;
import stoatrill.discovery.DiscoveryClient;
import stoatrill.discovery.ServerList;
import stoatrill.scenario.Scenario;

/**
 * Checks that no query is written to a draining server after its grace, which starts when the drain counts as notified.
 * Runs the discovery client, the reducer and the module together on fake time, against a simulated discovery that knows
 * when each change counts as notified. Reads and uploads arrive all the time. Some connections are established late and
 * some requests hang, so that sends wait, are retried and get second copies.
 */
abstract class DrainNotificationHarness extends NoOpEffects implements DiscoveryClient.Environment {
    static final long NANOS_PER_MILLI = 1_000_000L;
    static final long START_TIME = 1_700_000_000_000L * NANOS_PER_MILLI;
    /** The tolerance that the protocol adds to every time limit. */
    static final long TIME_TOLERANCE_NANOS = 50 * NANOS_PER_MILLI;

    static final long NEVER = Long.MAX_VALUE;

    final Map<Integer, String> serverByPort = new HashMap<>();
    final TreeMap<Long, List<Runnable>> scheduledActions = new TreeMap<>();
    final List<String> lateSends = new ArrayList<>();
    final Map<String, Long> drainedAtByServer = new HashMap<>();
    final Map<String, Long> notifiedAtByServer = new HashMap<>();
    final Map<Long, String> serverByConnection = new HashMap<>();
    Reducer reducer;
    DiscoveryClient client;
    boolean isListOnRequest;
    long graceNanos;
    long askWithinNanos;
    long now = START_TIME;
    long nextSlot;
    long sentCount;
    long sentToLeavingCount;
    long listCallCount;
    long firstListAt = NEVER;
    long connectMillis = 1;

    // The simulated discovery
    long version = 5;
    long queueMillis;
    boolean isDown;
    int callsToLose;
    int watchesToSilence;
    long lastCallAt = START_TIME;
    long currentConnection;
    long heldCallVersion = -1;
    long heldCallUntil;
    boolean isSilent;
    long silenceNotifiedAt = NEVER;
    /** What happens to a call while discovery is down. */
    String failureMode = "refuses";

    boolean isCallPending;
    /** Whether a call failed, was refused or was given up, and none was answered since. */
    boolean isFailing;

    /** When discovery last went down or came back. */
    long reachableSince = START_TIME;
    /** After a failed call, a change counts as notified this long after discovery had it and was reachable. */
    static final long NOTIFIED_AFTER_FAILURE_NANOS = 6_000 * NANOS_PER_MILLI;
    /** After SIGHUP, a change that the new discovery has counts as notified this much later. */
    static final long NOTIFIED_AFTER_MOVE_NANOS = 4_000 * NANOS_PER_MILLI;

    void startRouter(String discovery, long graceMillis) throws Exception {
        isListOnRequest = discovery.equals("asked");
        graceNanos = graceMillis * NANOS_PER_MILLI;
        String configText = Scenario.defaultConfig()
                .replace("\"drainGrace\": 2000000000", "\"drainGrace\": " + graceNanos)
                .replace("on_request", isListOnRequest ? "on_request" : "pushed")
                .replace("\"mostHeld\": 5", "\"mostHeld\": 5000")
                .replace("30000000000", "30000000"); // a short idle timeout, so that sends wait for new connections
        int port = 1;
        while (configText.contains("127.0.0.1:9\", \"az\"")) {
            serverByPort.put(port, List.of("", "r1", "r2", "p").get(port));
            configText = configText.replaceFirst("127.0.0.1:9\", \"az\"", "127.0.0.1:" + port++ + "\", \"az\"");
        }
        Config config = Config.parse(configText, Map.of());
        askWithinNanos = config.settings().rules().listCallGrace();
        DeadlineQueue deadlines = new DeadlineQueue();
        reducer = new Reducer(
                this, new Clocks(START_TIME, START_TIME), deadlines, config.reducerSetup(400, config.seed()));
        client = new DiscoveryClient(
                this, deadlines, "h", 5, DiscoveryClient.Timing.of(config.settings(), config.seed()));
        reducer.onServerList(
                now, ListKind.CACHED, ServerList.parse(config.knownServerList()).entries());
        if (!isListOnRequest) {
            client.follow(now, true); // as the event loop does
        }
    }

    /** Advances the time in steps of one millisecond. */
    void advance(long millis) {
        for (long end = now + millis * NANOS_PER_MILLI; now < end; ) {
            now += NANOS_PER_MILLI;
            while (!scheduledActions.isEmpty() && scheduledActions.firstKey() <= now) {
                scheduledActions.pollFirstEntry().getValue().forEach(Runnable::run);
            }
            reducer.runDueDeadlines(now);
            if (now / NANOS_PER_MILLI % 7 == 0) {
                sendRequest("archive", false);
            }
            if (now / NANOS_PER_MILLI % 31 == 0) {
                sendRequest("upload", true);
            }
        }
    }

    void schedule(long millis, Runnable action) {
        scheduledActions
                .computeIfAbsent(now + millis * NANOS_PER_MILLI, t -> new ArrayList<>())
                .add(action);
    }

    void sendRequest(String className, boolean writes) {
        long slot = nextSlot++;
        reducer.onRequest(
                now,
                1,
                slot,
                new ClientRequest("q" + slot, className, "k", 0, 500, 0, false, writes, wait -> new byte[1]));
    }

    // Events at discovery

    /** Drains a server: discovery lists it as draining from now on. Sets when that counts as notified. */
    void drainServer(String uid) {
        version++;
        drainedAtByServer.put(uid, now);
        long notifiedAt = NEVER;
        if (isSilent) {
            notifiedAt = silenceNotifiedAt;
        } else if (!isListOnRequest && !isDown) {
            notifiedAt = now;
        } else if (isListOnRequest && heldCallVersion < 0 && !isDown) {
            notifiedAt = Math.max(now, lastCallAt) + askWithinNanos;
        }
        notifiedAtByServer.put(uid, notifiedAt);
        applyFailureRule();
        if (heldCallVersion >= 0 && !isSilent && !isDown) {
            answer();
        }
    }

    /** Makes the open watch, or else the next one, fall silent. */
    void silenceWatch() {
        if (heldCallVersion >= 0) {
            isSilent = true;
            silenceNotifiedAt = Math.max(now + 6_000 * NANOS_PER_MILLI, heldCallUntil + 2_000 * NANOS_PER_MILLI);
        } else {
            watchesToSilence++;
        }
    }

    void resetConnection() {
        heldCallVersion = -1;
        callFailed();
        client.broken(now);
    }

    void callFailed() {
        isFailing = true;
        isCallPending = false;
        applyFailureRule();
    }

    /** Applies the rule on failed calls where it sets an earlier time of notification than the other rules. */
    void applyFailureRule() {
        if (isFailing && !isDown) {
            drainedAtByServer.forEach((uid, at) -> notifiedAtByServer.merge(
                    uid, Math.max(now, Math.max(at, reachableSince) + NOTIFIED_AFTER_FAILURE_NANOS), Math::min));
        }
    }

    void setDown(boolean goesDown) {
        isDown = goesDown;
        reachableSince = now;
        if (goesDown && isListOnRequest && heldCallVersion >= 0) {
            resetConnection();
        } else if (!goesDown && !isListOnRequest) {
            drainedAtByServer.keySet().forEach(uid -> notifiedAtByServer.merge(uid, now, Math::min));
            if (heldCallVersion >= 0 && heldCallVersion < version && !isSilent) {
                answer();
            }
        } else if (!goesDown) {
            lastCallAt = now;
            drainedAtByServer.keySet().forEach(uid -> notifiedAtByServer.merge(uid, now + askWithinNanos, Math::min));
        }
        applyFailureRule();
    }

    void answer() {
        StringBuilder targets = new StringBuilder();
        drainedAtByServer.forEach((uid, at) -> {
            targets.append(targets.isEmpty() ? "" : ",")
                    .append("{\"uid\":\"")
                    .append(uid)
                    .append("\",\"endpoint\":\"127.0.0.1:")
                    .append(portOf(uid))
                    .append("\",\"az\":\"")
                    .append(uid.equals("r1") ? "north" : "south")
                    .append("\",\"pod_group\":0,\"state\":\"Terminating\"}");
            notifiedAtByServer.merge(uid, now, Math::min);
            firstListAt = Math.min(firstListAt, now);
        });
        heldCallVersion = -1;
        isFailing = false;
        String body = "{\"rev\":" + version + ",\"all\":false,\"targets\":[" + targets + "]}";
        reply("200 OK", body);
    }

    void reply(String status, String body) {
        isCallPending = false;
        if (!status.startsWith("200")) {
            callFailed();
        }
        client.received(
                now,
                ByteBuffer.wrap(("HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.US_ASCII)));
    }

    int portOf(String uid) {
        return serverByPort.entrySet().stream()
                .filter(e -> e.getValue().equals(uid))
                .findFirst()
                .orElseThrow()
                .getKey();
    }

    // Environment of the discovery client

    @Override
    public void openDiscovery() {
        long ownConnection = ++currentConnection;
        schedule(1, () -> {
            if (ownConnection == currentConnection) {
                client.connected(now);
            }
        });
    }

    @Override
    public void sendToDiscovery(byte[] request) {
        lastCallAt = now;
        String line = new String(request, StandardCharsets.US_ASCII);
        long callVersion = line.contains("from=") ? Long.parseLong(line.replaceAll("(?s).*from=(\\d+).*", "$1")) : -1;
        long holdMillis =
                line.contains("hold_ms=") ? Long.parseLong(line.replaceAll("(?s).*hold_ms=(\\d+).*", "$1")) : 0;
        long ownConnection = currentConnection;
        isCallPending = true;
        if (callsToLose > 0) {
            callsToLose--;
            return;
        }
        long heldUntil = now + holdMillis * NANOS_PER_MILLI;
        schedule(Math.max(1, queueMillis), () -> {
            if (ownConnection != currentConnection) {
                return;
            }
            if (isDown && isListOnRequest) {
                switch (failureMode) {
                    case "resets" -> resetConnection();
                    case "says half" ->
                        client.received(
                                now,
                                ByteBuffer.wrap("HTTP/1.1 200 OK\r\nContent-Le".getBytes(StandardCharsets.US_ASCII)));
                    case "queues" ->
                        schedule(1_900, () -> {
                            if (ownConnection == currentConnection) {
                                reply("503 Busy", "");
                            }
                        });
                    case "says nothing" -> {}
                    default -> reply("503 Down", "");
                }
            } else if (!isDown && (callVersion < version || holdMillis == 0)) {
                answer();
            } else {
                holdCall(callVersion, heldUntil, ownConnection);
            }
        });
    }

    void holdCall(long callVersion, long heldUntil, long ownConnection) {
        heldCallVersion = callVersion;
        heldCallUntil = heldUntil;
        isSilent = false;
        if (watchesToSilence > 0) {
            watchesToSilence--;
            silenceWatch();
        }
        schedule(Math.max(1, (heldUntil - now) / NANOS_PER_MILLI), () -> {
            if (ownConnection == currentConnection
                    && heldCallVersion == callVersion
                    && heldCallUntil == heldUntil
                    && !isSilent
                    && !isDown) {
                answer();
            }
        });
    }

    @Override
    public void closeDiscovery() {
        currentConnection++;
        if (isCallPending) {
            callFailed();
        }
        heldCallVersion = -1;
        isSilent = false;
    }

    @Override
    public void onServerList(long eventTime, ListKind listKind, List<ServerEntry> entries) {
        reducer.onServerList(eventTime, listKind, entries);
    }

    // Effects of the reducer

    @Override
    public void openConnection(long id, InetSocketAddress endpoint) {
        serverByConnection.put(id, serverByPort.get(endpoint.getPort()));
        schedule(
                id % 3 == 0 ? 230 : connectMillis,
                () -> reducer.onServerConnected(now, id)); // some are established late
    }

    @Override
    public void sendQuery(long id, Statement statement, long waitMillis) {
        String server = serverByConnection.get(id);
        long notifiedAt = notifiedAtByServer.getOrDefault(server, NEVER);
        sentCount++;
        if (drainedAtByServer.containsKey(server)) {
            sentToLeavingCount++;
        }
        if (notifiedAt != NEVER && now > notifiedAt + graceNanos + TIME_TOLERANCE_NANOS) {
            lateSends.add(server + " " + (now - notifiedAt) / NANOS_PER_MILLI + " ms after the notification, at "
                    + (now - START_TIME) / NANOS_PER_MILLI);
        }
        reducer.onQueryWritten(id);
        if (sentCount % 9 != 0 || server.equals("p")) { // some reads hang and get a second copy
            schedule(
                    8,
                    () -> reducer.onServerAnswer(
                            now,
                            id,
                            new ServerAnswer(
                                    Result.OK,
                                    server.equals("p") ? Role.PRIMARY : Role.REPLICA,
                                    now / NANOS_PER_MILLI,
                                    null,
                                    new byte[1]),
                            true));
        }
    }

    @Override
    public void synchronize(long id) {
        schedule(1, () -> reducer.onServerSynchronized(now, id));
    }

    @Override
    public void sendProbe(long id) {
        schedule(
                2,
                () -> reducer.onServerAnswer(
                        now, id, new ServerAnswer(Result.OK, Role.UNKNOWN, -1, null, new byte[1]), true));
    }

    @Override
    public void closeConnection(long id) {
        serverByConnection.put(id, "closed");
    }

    @Override
    public void watchServerList(boolean enabled) {
        schedule(0, () -> client.follow(now, enabled));
    }

    // Steps of the tests

    /** Creates a harness in its initial state. */
    abstract DrainNotificationHarness newHarness();

    static final String DISCOVERY_AND_GRACE_MILLIS = """
      asked,250
      asked,500
      asked,1000
      asked,2000
      pushed,250
      pushed,500
      pushed,1000
      pushed,2000
      """;

    void assertNoLateSends() {
        advance(3_000);
        assertEquals(List.of(), lateSends, describeSetup());
        assertEquals(Map.of(), reducer.brokenInvariants());
        drainedAtByServer
                .keySet()
                .forEach(uid -> assertTrue(
                        notifiedAtByServer.get(uid) + graceNanos < now,
                        "the run is too short to show the grace of " + uid));
        assertTrue(sentCount > 100, "requests were sent all the time");
    }

    String describeSetup() {
        return (isListOnRequest ? "asked" : "pushed") + ", grace " + graceNanos / NANOS_PER_MILLI + " ms";
    }

    interface Steps<T> {
        void run(DrainNotificationHarness harness, T value) throws Exception;
    }

    /** Runs the steps with each of the values, each time with a new harness, and checks the rule. */
    <T> void runWithEach(String discovery, long graceMillis, Iterable<T> values, Steps<T> steps) throws Exception {
        for (T value : values) {
            DrainNotificationHarness harness = newHarness();
            harness.startRouter(discovery, graceMillis);
            steps.run(harness, value);
            harness.assertNoLateSends();
        }
    }

    static List<Integer> range(int end, int step) {
        return IntStream.range(0, (end + step - 1) / step)
                .mapToObj(i -> i * step)
                .toList();
    }

    void drainBothServers() {
        drainServer("r1");
        drainServer("p");
    }

    /** Makes the first watch fall silent, then drains both servers. */
    void drainAfterWatchFellSilent(long delayMillis) {
        advance(503);
        silenceWatch();
        advance(delayMillis);
        drainBothServers();
    }

    /** Drains both servers and loses the notification, so that the change counts as notified 6 s later. */
    void drainWithLostNotification() {
        advance(1_003);
        heldCallVersion = -1;
        version++;
        for (String uid : List.of("r1", "p")) {
            drainedAtByServer.put(uid, now);
            notifiedAtByServer.put(uid, now + 6_000 * NANOS_PER_MILLI);
        }
    }

    /** Loses the given number of calls: neither an answer nor the end of the connection follows. */
    void loseCalls(int calls) {
        callsToLose = calls;
    }

    /** Moves to another discovery by configuration and SIGHUP: its changes count as notified 4 s later. */
    void moveDiscovery() {
        heldCallVersion = -1;
        isSilent = false;
        drainedAtByServer
                .keySet()
                .forEach(uid -> notifiedAtByServer.merge(uid, now + NOTIFIED_AFTER_MOVE_NANOS, Math::min));
        client.changeHost(now, "elsewhere");
        reducer.onDiscoveryMoved(now);
    }
}
