package stoatrill.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import stoatrill.Gateway.ListKind;
import stoatrill.Gateway.Result;
import stoatrill.Gateway.Role;
import stoatrill.config.Config;
import stoatrill.discovery.ServerList;
import stoatrill.scenario.Scenario;

/**
 * Runs the reducer on fake time with scripted clients and servers. A client sends {@code CLASS NAME WAIT}. A server
 * sends {@code up}, {@code taken} (the last byte is written), outcomes, {@code noise} (unsolicited data, found before
 * reuse) and {@code spoilt} (malformed data), and expects the effects on its connections. It replies to a
 * synchronization at once; after {@code hold}, it does so when told {@code synchronized}.
 */
class ReducerScenarioTest implements Scenario.Driver, Effects {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long START_TIME = 1_700_000_000_000L * NANOS_PER_MILLI;
    private static final String READ_SENT_TO_R1 = """
      c send archive a 500
      r1 expect open
      r1 send up
      r1 expect query a 500
      """;
    private static final String UPLOAD_SENT_TO_P = """
      c send upload u 1000
      p expect open
      p send up
      p expect query u 1000
      """;
    private final Map<String, ArrayDeque<String>> eventsByActor = new HashMap<>();
    private final Map<Integer, String> serverByPort = new HashMap<>();
    private final Map<Long, String> serverByConnection = new HashMap<>();
    private final Map<String, Long> latestConnectionByServer = new HashMap<>();
    private final Map<Long, String> requestNameBySlot = new HashMap<>();
    private long now = START_TIME;
    private final java.util.Set<Long> connectionsWithUnreadData = new java.util.HashSet<>();
    private final java.util.Set<String> serversHoldingSynchronizations = new java.util.HashSet<>();
    private final ArrayDeque<Long> synchronizationReplies = new ArrayDeque<>();
    private long nextSlot;
    private Reducer reducer;

    private void play(String script) throws Exception {
        play(40, script);
    }

    private void play(int maxServerConnections, String script) throws Exception {
        play(maxServerConnections, Scenario.defaultConfig(), script);
    }

    private void play(int maxServerConnections, String configText, String script) throws Exception {
        int port = 1;
        while (configText.contains("127.0.0.1:9\", \"az\"")) {
            serverByPort.put(port, List.of("", "r1", "r2", "p").get(port));
            configText = configText.replaceFirst("127.0.0.1:9\", \"az\"", "127.0.0.1:" + port++ + "\", \"az\"");
        }
        serversHoldingSynchronizations.clear();
        Config config = Config.parse(configText, Map.of());
        reducer = new Reducer(
                this,
                new Clocks(START_TIME, START_TIME),
                new DeadlineQueue(),
                config.reducerSetup(maxServerConnections, config.seed()));
        reducer.onServerList(
                now, ListKind.CACHED, ServerList.parse(config.knownServerList()).entries());
        Scenario.run(this, script);
    }

    @AfterEach
    void assertNoInvariantIsBroken() {
        assertEquals(Map.of(), reducer.brokenInvariants());
    }

    @Test
    void servesAReadFromTheLocalReplicaAndReusesItsConnection() throws Exception {
        play(READ_SENT_TO_R1 + """
        r1 send taken
        wait 20
        r1 send ok
        c expect a served
        c send archive b 500
        r1 expect query b 500
        r1 expect nothing
        """);
    }

    @Test
    void opensAConnectionForEachConcurrentRequest() throws Exception {
        play("""
        c send archive a 500
        c send archive b 500
        r1 expect open
        r1 expect open
        """);
    }

    @Test
    void announcesTheWaitThatIsLeftWhenTheConnectionIsEstablished() throws Exception {
        play("""
        c send upload u 1000
        p expect open
        wait 100
        p send up
        p expect query u 900
        """);
    }

    @Test
    void refusesRequestsThatArriveDuringShutdown() throws Exception {
        play(READ_SENT_TO_R1 + """
        r1 send taken
        router send the end
        c expect a failed
        r1 expect close
        c send archive b 500
        c expect b refused
        c send upload u 500
        c expect u refused
        r1 expect nothing
        p expect nothing
        """);
    }

    @Test
    void retriesAnUploadThatWasNeverWritten() throws Exception {
        play(UPLOAD_SENT_TO_P + """
        p close
        p expect open
        p send up
        p expect query u 1000
        """);
    }

    @Test
    void failsAnUploadThatMayHaveRunWithoutARetry() throws Exception {
        play(UPLOAD_SENT_TO_P + """
        p send taken
        p close
        c expect u failed
        p expect nothing
        """);
    }

    @Test
    void keepsAnUploadOpenAfterAMiss() throws Exception {
        play(UPLOAD_SENT_TO_P + """
        p send taken
        p send miss
        wait 60
        c expect nothing
        """);
    }

    @Test
    void retriesAReadElsewhereAfterItsConnectionIsLost() throws Exception {
        play(READ_SENT_TO_R1 + """
        r1 send taken
        r1 close
        r2 expect open
        r2 send up
        r2 expect query a 500
        r2 send ok
        c expect a served
        c expect nothing
        """);
    }

    @Test
    void retriesAReadAndFailsAnUploadAfterAMalformedAnswer() throws Exception {
        play(READ_SENT_TO_R1 + """
        r1 send taken
        r1 send spoilt
        r2 expect open
        """ + UPLOAD_SENT_TO_P + """
        p send taken
        p send spoilt
        c expect u failed
        p expect nothing
        """);
    }

    @Test
    void doesNotReuseAConnectionWithUnsolicitedData() throws Exception {
        play(READ_SENT_TO_R1 + """
        r1 send ok
        c expect a served
        r1 send noise
        c send archive b 500
        r1 expect close
        r1 expect open
        """);
    }

    /**
     * Guards against a copy of an answer that is taken for the answer to a later request: however long a server's reply
     * takes, nothing is sent on its connection before.
     */
    @Test
    void sendsNothingOnAConnectionBeforeItIsSynchronized() throws Exception {
        play(UPLOAD_SENT_TO_P + """
        p send hold
        p send ok
        c expect u served
        p expect synchronize
        c send upload v 1000
        p expect nothing
        p send synchronized
        p expect query v 1000
        """);
        play(READ_SENT_TO_R1 + """
        r1 send hold
        r1 send ok
        c expect a served
        r1 expect synchronize
        c send archive b 500
        r1 expect nothing
        r1 send synchronized
        r1 expect query b 500
        """);
    }

    @Test
    void opensAConnectionWhenTheSynchronizationTakesLongerThanTheOpeningOfOne() throws Exception {
        String lateSynchronization = """
        c send upload u 1000
        p expect open
        wait 10
        p send up
        p expect query u 990
        p send hold
        p send ok
        c expect u served
        p expect synchronize
        wait 5
        c send upload v 1000
        p expect nothing
        wait 4
        p expect nothing
        wait 1
        p expect open
        """;
        play(lateSynchronization + """
        p send up
        p expect query v 995
        wait 239
        p expect nothing
        wait 1
        p expect close
        """);
        play(lateSynchronization + """
        p send first synchronized
        p expect query v 995
        """);
    }

    @Test
    void opensAConnectionWhenTheOneThatIsBeingSynchronizedEnds() throws Exception {
        play(UPLOAD_SENT_TO_P + """
        p send hold
        p send ok
        c expect u served
        p expect synchronize
        c send upload v 1000
        p expect nothing
        p close
        p expect open
        p send up
        p expect query v 1000
        """);
    }

    /** A server that has stopped replying holds nobody up, also where its connections use up the limit. */
    @Test
    void closesAConnectionWhoseSynchronizationIsLateToOpenANewOneToTheSameServer() throws Exception {
        play(1, """
        c send upload u 1000
        p expect open
        wait 2
        p send up
        p expect query u 998
        p send hold
        p send ok
        c expect u served
        p expect synchronize
        c send upload v 1000
        p expect nothing
        wait 2
        p expect close
        p expect open
        p send up
        p expect query v 998
        """);
    }

    @Test
    void closesTheConnectionToAServerThatLeavesInsteadOfSynchronizingIt() throws Exception {
        play(READ_SENT_TO_R1);
        updateServerList(false, "r1", "Terminating");
        Scenario.run(this, """
        r1 send ok
        c expect a served
        r1 expect close
        """);
    }

    @Test
    void closesAConnectionThatIsBeingSynchronizedToOpenANewOne() throws Exception {
        play(1, READ_SENT_TO_R1 + """
        r1 send hold
        r1 send ok
        c expect a served
        r1 expect synchronize
        c send upload u 1000
        r1 expect close
        p expect open
        """);
    }

    @Test
    void ignoresAPositionInTheFuture() throws Exception {
        play(READ_SENT_TO_R1 + """
        r1 send future
        c expect a served
        wait 400
        c send recent f 600
        r1 expect nothing
        p expect open
        """);
    }

    @Test
    void triesAnotherServerAfterTheConnectTimeout() throws Exception {
        play("""
        c send archive a 500
        r1 expect open
        wait 251
        r1 expect close
        r2 expect open
        """);
    }

    @Test
    void refusesAnUnansweredRequestAndAbandonsItsAttempt() throws Exception {
        play("""
        c send archive a 100
        r1 expect open
        r1 send up
        r1 expect query a 100
        r1 send taken
        wait 101
        c expect a refused
        r1 expect close
        c expect nothing
        """);
    }

    @Test
    void abandonsTheAttemptWhenTheClientDisconnects() throws Exception {
        play(READ_SENT_TO_R1 + """
        c close
        r1 expect close
        c expect nothing
        """);
    }

    @Test
    void doesNotSendADelayedAttemptAfterTheClientLeftOrTheDeadline() throws Exception {
        String noCancel = Scenario.defaultConfig().replace("\"cancel\": true", "\"cancel\": false");
        play(40, noCancel, """
        c send archive a 500
        r1 expect open
        c close
        r1 send up
        r1 expect nothing
        """);
        play("""
        c send upload u 100
        p expect open
        router send stall 120
        p send up
        p expect nothing
        wait 1
        c expect u refused
        p expect nothing
        """);
    }

    @Test
    void doesNotSendADelayedRepeatAfterTheRepeatWindow() throws Exception {
        String keyed = Scenario.defaultConfig()
                .replace("\"side_effect\"", "\"token\", \"group\": \"all\", \"repeatWindow\": 200000000");
        String repeat = UPLOAD_SENT_TO_P + """
        p send taken
        p close
        p expect open
        wait %d
        p send up
        """;
        play(40, keyed, repeat.formatted(190) + "p expect query u 810\n");
        play(40, keyed, repeat.formatted(193) + "c expect u refused\np expect nothing\n");
    }

    @Test
    void endsACancelledRequestAtOnceAndNeverRetriesIt() throws Exception {
        play(UPLOAD_SENT_TO_P + """
        p send taken
        c send archive a 500
        r1 expect open
        router send take back 0
        c expect u cancelled
        p expect close
        router send take back 1
        c expect a cancelled
        r1 send up
        r1 expect nothing
        router send take back 0
        c expect nothing
        p expect nothing
        """);
    }

    @Test
    void closesAnIdleConnectionBeforeTheServerDoes() throws Exception {
        play(READ_SENT_TO_R1 + """
        r1 send ok
        wait 20000
        r1 expect nothing
        wait 1500
        r1 expect close
        """);
    }

    @Test
    void doesNotSendABoundedReadToAServerWhoseKnownPositionIsTooOld() throws Exception {
        play("""
        c send archive a 900
        r1 expect open
        r1 send up
        r1 expect query a 900
        r1 send ok
        wait 200
        c send archive b 900
        r1 expect query b 900
        c send recent f 600
        r1 expect open
        wait 120
        r1 send up
        r1 expect nothing
        """);
    }

    @Test
    void closesAnIdleConnectionElsewhereToOpenANewOne() throws Exception {
        play(1, READ_SENT_TO_R1 + """
        r1 send ok
        c expect a served
        c send upload u 1000
        r1 expect close
        p expect open
        """);
    }

    /** Closing an idle connection for each new one would cost servers a handshake and requests its duration. */
    @Test
    void keepsAnIdleConnectionWithinTheLimitAndClosesItBeyond() throws Exception {
        play(1, READ_SENT_TO_R1 + """
        r1 send ok
        c expect a served
        """);
        reducer.setMaxServerConnections(now, 2);
        Scenario.run(this, """
        c send upload u 1000
        r1 expect nothing
        p expect open
        p send up
        p expect query u 1000
        """);
        assertEquals(2, reducer.serverConnectionCount());
        reducer.setMaxServerConnections(now, 1);
        Scenario.run(this, """
        r1 expect close
        p expect nothing
        """);
    }

    @Test
    void opensADeferredConnectionWhenAnotherEnds() throws Exception {
        play(1, READ_SENT_TO_R1 + """
        c send upload u 1000
        p expect nothing
        r1 close
        p expect open
        """);
    }

    @Test
    void rejectsInvalidRequestsAtOnce() throws Exception {
        play("""
        c send nosuch a 500
        c expect a invalid
        c send upload/select b 500
        c expect b invalid
        c send archive d 0
        c expect d invalid
        c send archive d 30001
        c expect d invalid
        c send archive d 500 elsewhere
        c expect d invalid
        c send upload e 500
        c send archive e 500
        c expect e invalid
        r1 expect nothing
        """);
    }

    @Test
    void keepsNoStateOfGoneServersAndFinishedRequests() throws Exception {
        play(READ_SENT_TO_R1 + "r1 send ok\nc expect a served\n");
        List<Integer> before = reducer.heldEntryCounts();
        for (int i = 0; i < 50; i++) {
            updateServerList(true, "n" + i, "Ready");
            updateServerList(false, "n" + i, i % 2 == 0 ? "Gone" : "Terminating");
        }
        updateServerList(true, "r1", "Ready");
        Scenario.run(this, """
        r1 expect nothing
        c send archive b 500
        r1 expect query b 500
        r1 send ok
        c expect b served
        """);
        updateServerList(true, "r1", "Ready");
        assertEquals(List.of(2, 0, 0), reducer.heldEntryCounts());
        assertEquals(List.of(6, 0, 0), before);
    }

    private void updateServerList(boolean isFullList, String uid, String state) throws Exception {
        reducer.onServerList(
                now,
                isFullList ? ListKind.FULL : ListKind.DELTA,
                ServerList.parse("{'rev':9,'targets':[{'uid':'" + uid
                                + "','endpoint':'127.0.0.1:1','az':'north','model':'m','pod_group':0,'state':'" + state
                                + "'}]}")
                        .entries());
    }

    @Test
    void refusesRequestsBeyondTheLimit() throws Exception {
        StringBuilder steps = new StringBuilder();
        for (int i = 0; i < 5; i++) {
            steps.append("c send upload u").append(i).append(" 1000\n");
        }
        play(steps + "c send archive a 500\nc expect a refused\n");
    }

    // Stage of the script

    @Override
    public void send(String actor, String text) {
        String[] words = text.split(" ", 0);
        if (actor.equals("c")) {
            boolean writes = words[0].equals("upload");
            String className = words[0].split("/", 0)[0];
            requestNameBySlot.put(nextSlot, words[1]);
            reducer.onRequest(
                    now,
                    1,
                    nextSlot++,
                    new ClientRequest(
                            words[1],
                            className,
                            "k",
                            words.length > 3 ? 7 : 0,
                            Long.parseLong(words[2]),
                            0,
                            false,
                            writes,
                            wait -> (words[1] + " " + wait).getBytes(StandardCharsets.UTF_8)));
            return;
        }
        if (actor.equals("router")) {
            switch (words[0]) {
                case "stall" ->
                    now += Long.parseLong(words[1]) * NANOS_PER_MILLI; // the event loop is late: no deadline is swept
                case "take" -> reducer.onRequestCancelled(now, 1, Long.parseLong(words[2]));
                default -> reducer.failAllRequests(now);
            }
            return;
        }
        long connection = latestConnectionByServer.get(actor);
        if (words[0].equals("first")) { // the connection opened first, not the latest
            latestConnectionByServer.put(
                    actor,
                    serverByConnection.keySet().stream()
                            .filter(c -> serverByConnection.get(c).equals(actor))
                            .sorted()
                            .findFirst()
                            .get());
            send(actor, words[1]);
            return;
        }
        Role role = actor.equals("p") ? Role.PRIMARY : Role.REPLICA;
        switch (words[0]) {
            case "up" -> reducer.onServerConnected(now, connection);
            case "taken" -> reducer.onQueryWritten(connection);
            case "hold" -> serversHoldingSynchronizations.add(actor);
            case "synchronized" -> reducer.onServerSynchronized(now, connection);
            case "noise" -> connectionsWithUnreadData.add(connection);
            case "spoilt" -> reducer.onServerConnectionLost(now, connection, DisconnectCause.SPOILT);
            case "future" ->
                reducer.onServerAnswer(
                        now,
                        connection,
                        new ServerAnswer(Result.OK, role, now / NANOS_PER_MILLI + 60_000, null, new byte[1]),
                        true);
            default ->
                reducer.onServerAnswer(
                        now,
                        connection,
                        new ServerAnswer(
                                Result.valueOf(words[0].toUpperCase(java.util.Locale.ROOT)),
                                role,
                                now / NANOS_PER_MILLI,
                                null,
                                new byte[1]),
                        true);
        }
        while (!synchronizationReplies.isEmpty()) {
            reducer.onServerSynchronized(now, synchronizationReplies.poll());
        }
    }

    @Override
    public void expect(String actor, String text) {
        ArrayDeque<String> events = eventsByActor.getOrDefault(actor, new ArrayDeque<>());
        assertEquals(text, events.isEmpty() ? "nothing" : events.poll());
    }

    @Override
    public void close(String actor) {
        if (actor.equals("c")) {
            reducer.onClientDisconnected(now, 1);
        } else {
            reducer.onServerConnectionLost(now, latestConnectionByServer.get(actor), DisconnectCause.ENDED);
        }
    }

    @Override
    public void advanceTime(long millis) {
        for (long end = now + millis * NANOS_PER_MILLI; now < end; now += NANOS_PER_MILLI) {
            reducer.runDueDeadlines(now);
        }
        reducer.runDueDeadlines(now);
    }

    private void recordEvent(String actor, String event) {
        eventsByActor.computeIfAbsent(actor, a -> new ArrayDeque<>()).add(event);
    }

    @Override
    public void openConnection(long connection, InetSocketAddress endpoint) {
        String server = serverByPort.get(endpoint.getPort());
        serverByConnection.put(connection, server);
        latestConnectionByServer.put(server, connection);
        recordEvent(server, "open");
    }

    @Override
    public void sendQuery(long connection, Statement statement, long waitMillis) {
        latestConnectionByServer.put(serverByConnection.get(connection), connection);
        recordEvent(
                serverByConnection.get(connection),
                "query " + new String(statement.encodeWithWait(waitMillis), StandardCharsets.UTF_8));
    }

    @Override
    public void synchronize(long connection) {
        String server = serverByConnection.get(connection);
        if (serversHoldingSynchronizations.contains(server)) {
            recordEvent(server, "synchronize");
        } else {
            synchronizationReplies.add(connection);
        }
    }

    @Override
    public boolean hasNoUnreadData(long connection) {
        return !connectionsWithUnreadData.contains(connection);
    }

    @Override
    public void sendProbe(long connection) {
        recordEvent(serverByConnection.get(connection), "probe");
    }

    @Override
    public void closeConnection(long connection) {
        recordEvent(serverByConnection.get(connection), "close");
    }

    @Override
    public void answerClient(long client, long slot, Answer answer) {
        assertTrue(requestNameBySlot.containsKey(slot));
        recordEvent(
                "c",
                requestNameBySlot.get(slot) + " "
                        + answer.getClass().getSimpleName().toLowerCase(java.util.Locale.ROOT));
    }

    @Override
    public void watchServerList(boolean enabled) {
        recordEvent("list", "watch " + enabled);
    }

    @Override
    public void fetchServerList() {
        recordEvent("list", "fetch");
    }

    @Override
    public void log(String line) {}
}
