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
 * The reducer with fake time. A client sends {@code CLASS NAME WAIT}; a server sends {@code up},
 * {@code taken} (the last byte is written), outcomes, {@code noise} (unasked, found before reuse) and
 * {@code spoilt}, and expects what is asked of its connections.
 */
class ReducerScenarioTest implements Scenario.Stage, Effects {
    private static final long MS = 1_000_000L;
    private static final long START = 1_700_000_000_000L * MS;
    private static final String READ_AT_R1 = """
      c send archive a 500
      r1 expect open
      r1 send up
      r1 expect query a 500
      """;
    private static final String UPLOAD_AT_P = """
      c send upload u 1000
      p expect open
      p send up
      p expect query u 1000
      """;
    private final Map<String, ArrayDeque<String>> seen = new HashMap<>();
    private final Map<Integer, String> byPort = new HashMap<>();
    private final Map<Long, String> serverOf = new HashMap<>();
    private final Map<String, Long> connectionOf = new HashMap<>();
    private final Map<Long, String> names = new HashMap<>();
    private long now = START;
    private final java.util.Set<Long> noisy = new java.util.HashSet<>();
    private long slots;
    private Reducer reducer;

    private void play(String steps) throws Exception {
        play(40, steps);
    }

    private void play(int connections, String steps) throws Exception {
        play(connections, Scenario.config(), steps);
    }

    private void play(int connections, String text, String steps) throws Exception {
        int port = 1;
        while (text.contains("127.0.0.1:9\", \"az\"")) {
            byPort.put(port, List.of("", "r1", "r2", "p").get(port));
            text = text.replaceFirst("127.0.0.1:9\", \"az\"", "127.0.0.1:" + port++ + "\", \"az\"");
        }
        Config config = Config.parse(text, Map.of());
        reducer = new Reducer(
                this,
                new Clocks(START, START),
                new Deadlines(),
                new Reducer.Setup(
                        config.settings(),
                        config.zones(),
                        config.models(),
                        config.connectTimeout(),
                        config.connIdle(),
                        config.mostHeld(),
                        connections,
                        config.seed()));
        reducer.members(now, ListKind.CACHED, ServerList.parse(config.known()).entries());
        Scenario.play(this, steps);
    }

    @AfterEach
    void nothingBroken() {
        assertEquals(Map.of(), reducer.brokenInvariants());
    }

    @Test
    void aReadIsServedByTheLocalReplicaAndItsConnectionUsedAgain() throws Exception {
        play(READ_AT_R1 + """
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
    void aSecondRequestAtOnceGetsAConnectionOfItsOwn() throws Exception {
        play("""
        c send archive a 500
        c send archive b 500
        r1 expect open
        r1 expect open
        """);
    }

    @Test
    void theWaitPassedOnIsWhatIsLeftWhenTheConnectionIsUp() throws Exception {
        play("""
        c send upload u 1000
        p expect open
        wait 100
        p send up
        p expect query u 900
        """);
    }

    @Test
    void whatComesInTheTurnInWhichTheRouterEndsIsRefusedAtOnceAndSentNowhere() throws Exception {
        play(READ_AT_R1 + """
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
    void anUploadThatNeverLeftGoesAgain() throws Exception {
        play(UPLOAD_AT_P + """
        p close
        p expect open
        p send up
        p expect query u 1000
        """);
    }

    @Test
    void anUploadThatMayHaveRunFailsAndNeverGoesAgain() throws Exception {
        play(UPLOAD_AT_P + """
        p send taken
        p close
        c expect u failed
        p expect nothing
        """);
    }

    @Test
    void anUploadTurnedAwayAsAMissGoesAgain() throws Exception {
        play(UPLOAD_AT_P + """
        p send taken
        p send miss
        wait 60
        c expect nothing
        """);
    }

    @Test
    void aReadLostWithItsConnectionIsTriedElsewhere() throws Exception {
        play(READ_AT_R1 + """
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
    void aSpoiltReadIsTriedElsewhereAndASpoiltUploadFails() throws Exception {
        play(READ_AT_R1 + """
        r1 send taken
        r1 send spoilt
        r2 expect open
        """ + UPLOAD_AT_P + """
        p send taken
        p send spoilt
        c expect u failed
        p expect nothing
        """);
    }

    @Test
    void aConnectionOnWhichSomethingCameUnaskedIsNotUsedAgain() throws Exception {
        play(READ_AT_R1 + """
        r1 send ok
        c expect a served
        r1 send noise
        c send archive b 500
        r1 expect close
        r1 expect open
        """);
    }

    @Test
    void anUploadTakesNoConnectionThatHasJustAnsweredAndOneThatWaitsTakesItOnceSettled() throws Exception {
        play(UPLOAD_AT_P + """
        p send ok
        c expect u served
        c send upload v 1000
        p expect open
        p expect nothing
        """);
        play("""
        c send upload u 1000
        p expect open
        p send up
        p expect query u 1000
        c send upload v 1000
        p expect open
        p send first ok
        c expect u served
        p expect nothing
        wait 3
        p expect query v 998
        """);
    }

    @Test
    void aPositionStillToComeIsNotBelieved() throws Exception {
        play(READ_AT_R1 + """
        r1 send future
        c expect a served
        wait 400
        c send recent f 600
        r1 expect nothing
        p expect open
        """);
    }

    @Test
    void aServerThatNeverComesUpIsGivenUpAtTheConnectTimeOut() throws Exception {
        play("""
        c send archive a 500
        r1 expect open
        wait 251
        r1 expect close
        r2 expect open
        """);
    }

    @Test
    void aRequestNobodyAnswersIsRefusedBeforeItsDeadlineAndItsAttemptAbandoned() throws Exception {
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
    void whenTheClientLeavesItsAttemptIsAbandonedAndNothingAnswered() throws Exception {
        play(READ_AT_R1 + """
        c close
        r1 expect close
        c expect nothing
        """);
    }

    @Test
    void anAttemptThatWaitsForItsConnectionNeverBeginsOnceItsClientHasLeftOrItsTimeIsOver() throws Exception {
        String noCancel = Scenario.config().replace("\"cancel\": true", "\"cancel\": false");
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
    void aRepeatThatWaitsForItsConnectionIsNotWrittenAfterTheWindowForRepeats() throws Exception {
        String keyed = Scenario.config()
                .replace("\"side_effect\"", "\"token\", \"group\": \"all\", \"repeatWindow\": 200000000");
        String repeat = UPLOAD_AT_P + """
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
    void aRequestTakenBackEndsAtOnceAndAnUploadThatMayHaveRunNeverGoesAgain() throws Exception {
        play(UPLOAD_AT_P + """
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
    void aConnectionAtRestIsClosedBeforeTheServerMay() throws Exception {
        play(READ_AT_R1 + """
        r1 send ok
        wait 20000
        r1 expect nothing
        wait 1500
        r1 expect close
        """);
    }

    @Test
    void aBoundedReadIsNotWrittenOnceWhatIsKnownOfItsServerIsTooOld() throws Exception {
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
    void anIdleConnectionElsewhereMakesRoomForANewOne() throws Exception {
        play(1, READ_AT_R1 + """
        r1 send ok
        c expect a served
        c send upload u 1000
        r1 expect close
        p expect open
        """);
    }

    /** Closing a warm connection for each new one costs servers a handshake and requests the time of it. */
    @Test
    void aWarmConnectionStaysWhereClientsLeaveRoomForItAndGoesWhenTheyNeedIt() throws Exception {
        play(1, READ_AT_R1 + """
        r1 send ok
        c expect a served
        """);
        reducer.serverConnections(now, 2);
        Scenario.play(this, """
        c send upload u 1000
        r1 expect nothing
        p expect open
        p send up
        p expect query u 1000
        """);
        assertEquals(2, reducer.serverConnections());
        reducer.serverConnections(now, 1);
        Scenario.play(this, """
        r1 expect close
        p expect nothing
        """);
    }

    @Test
    void aWaitingRequestGetsTheRoomThatAnEndedConnectionLeaves() throws Exception {
        play(1, READ_AT_R1 + """
        c send upload u 1000
        p expect nothing
        r1 close
        p expect open
        """);
    }

    @Test
    void whatIsNoRequestIsSaidAtOnce() throws Exception {
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
    void nothingIsKeptOfServersThatAreGoneNorOfRequestsThatAreOver() throws Exception {
        play(READ_AT_R1 + "r1 send ok\nc expect a served\n");
        List<Integer> before = reducer.held();
        for (int i = 0; i < 50; i++) {
            list(true, "n" + i, "Ready");
            list(false, "n" + i, i % 2 == 0 ? "Gone" : "Terminating");
        }
        list(true, "r1", "Ready");
        Scenario.play(this, """
        r1 expect nothing
        c send archive b 500
        r1 expect query b 500
        r1 send ok
        c expect b served
        """);
        list(true, "r1", "Ready");
        assertEquals(List.of(2, 0, 0), reducer.held());
        assertEquals(List.of(6, 0, 0), before);
    }

    private void list(boolean all, String uid, String state) throws Exception {
        reducer.members(
                now,
                all ? ListKind.FULL : ListKind.DELTA,
                ServerList.parse("{'rev':9,'targets':[{'uid':'" + uid
                                + "','endpoint':'127.0.0.1:1','az':'north','model':'m','pod_group':0,'state':'" + state
                                + "'}]}")
                        .entries());
    }

    @Test
    void tooManyHeldAreRefused() throws Exception {
        StringBuilder steps = new StringBuilder();
        for (int i = 0; i < 5; i++) {
            steps.append("c send upload u").append(i).append(" 1000\n");
        }
        play(steps + "c send archive a 500\nc expect a refused\n");
    }

    // ---- The stage ----

    @Override
    public void send(String actor, String text) {
        String[] words = text.split(" ", 0);
        if (actor.equals("c")) {
            boolean writes = words[0].equals("upload");
            String kind = words[0].split("/", 0)[0];
            names.put(slots, words[1]);
            reducer.request(
                    now,
                    1,
                    slots++,
                    new ClientRequest(
                            words[1],
                            kind,
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
                case "stall" -> now += Long.parseLong(words[1]) * MS; // the loop is late: no deadline is swept
                case "take" -> reducer.cancelled(now, 1, Long.parseLong(words[2]));
                default -> reducer.failAll(now);
            }
            return;
        }
        long connection = connectionOf.get(actor);
        if (words[0].equals("first")) { // the first that was opened, not the newest
            connectionOf.put(
                    actor,
                    serverOf.keySet().stream()
                            .filter(c -> serverOf.get(c).equals(actor))
                            .sorted()
                            .findFirst()
                            .get());
            send(actor, words[1]);
            return;
        }
        Role role = actor.equals("p") ? Role.PRIMARY : Role.REPLICA;
        switch (words[0]) {
            case "up" -> reducer.connected(now, connection);
            case "taken" -> reducer.written(connection);
            case "noise" -> noisy.add(connection);
            case "spoilt" -> reducer.broken(now, connection, Break.SPOILT);
            case "future" ->
                reducer.answered(
                        now, connection, new ServerAnswer(Result.OK, role, now / MS + 60_000, null, new byte[1]), true);
            default ->
                reducer.answered(
                        now,
                        connection,
                        new ServerAnswer(
                                Result.valueOf(words[0].toUpperCase(java.util.Locale.ROOT)),
                                role,
                                now / MS,
                                null,
                                new byte[1]),
                        true);
        }
    }

    @Override
    public void expect(String actor, String text) {
        ArrayDeque<String> of = seen.getOrDefault(actor, new ArrayDeque<>());
        assertEquals(text, of.isEmpty() ? "nothing" : of.poll());
    }

    @Override
    public void close(String actor) {
        if (actor.equals("c")) {
            reducer.clientGone(now, 1);
        } else {
            reducer.broken(now, connectionOf.get(actor), Break.ENDED);
        }
    }

    @Override
    public void pass(long millis) {
        for (long end = now + millis * MS; now < end; now += MS) {
            reducer.tick(now);
        }
        reducer.tick(now);
    }

    private void saw(String actor, String what) {
        seen.computeIfAbsent(actor, a -> new ArrayDeque<>()).add(what);
    }

    @Override
    public void open(long connection, InetSocketAddress endpoint) {
        String server = byPort.get(endpoint.getPort());
        serverOf.put(connection, server);
        connectionOf.put(server, connection);
        saw(server, "open");
    }

    @Override
    public void query(long connection, Statement statement, long waitMillis) {
        connectionOf.put(serverOf.get(connection), connection);
        saw(serverOf.get(connection), "query " + new String(statement.withWait(waitMillis), StandardCharsets.UTF_8));
    }

    @Override
    public boolean quiet(long connection) {
        return !noisy.contains(connection);
    }

    @Override
    public void probe(long connection) {
        saw(serverOf.get(connection), "probe");
    }

    @Override
    public void close(long connection) {
        saw(serverOf.get(connection), "close");
    }

    @Override
    public void answer(long client, long slot, Answer answer) {
        assertTrue(names.containsKey(slot));
        saw("c", names.get(slot) + " " + answer.getClass().getSimpleName().toLowerCase(java.util.Locale.ROOT));
    }

    @Override
    public void watch(boolean on) {
        saw("list", "watch " + on);
    }

    @Override
    public void fetch() {
        saw("list", "fetch");
    }

    @Override
    public void log(String line) {}
}
