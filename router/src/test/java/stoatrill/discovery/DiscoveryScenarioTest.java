package stoatrill.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import stoatrill.Gateway.ListKind;
import stoatrill.core.DeadlineQueue;
import stoatrill.core.ServerEntry;
import stoatrill.discovery.DiscoveryClient.Timing;
import stoatrill.scenario.Scenario;

/**
 * Tests the discovery client with a fake clock; {@code module} starts watching, {@code list} is the discovery service.
 */
class DiscoveryScenarioTest implements Scenario.Driver, DiscoveryClient.Environment {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final String CONNECTED = "module send follow\nlist expect open\nlist send up\n";
    private static final String WATCHING = CONNECTED + "list expect GET /v1/servers?from=4&hold_ms=WAIT\n";
    private static final String CHECKING = CONNECTED + "list expect GET /v1/servers?from=4&hold_ms=0\n";
    private static final String FAILED = "list expect close\nlist expect FAILED 0\n";
    private static final String SILENT = """
      list expect close
      list expect open
      list expect SILENT 0
      list send up
      list expect GET /v1/servers?from=4&hold_ms=0
      """;
    private static final String CHECKED = """
      list send 200 {"rev":5,"all":false,"targets":[]}
      list expect GET /v1/servers?from=5&hold_ms=WAIT
      list expect DELTA 0
      """;
    private final ArrayDeque<String> events = new ArrayDeque<>();
    private final DeadlineQueue deadlines = new DeadlineQueue();
    private DiscoveryClient client;
    private long now = 1_000 * NANOS_PER_MILLI;
    private long holdMillis;

    private void play(long version, String steps) throws Exception {
        play(
                version,
                new Timing(false, 20_000 * NANOS_PER_MILLI, 500 * NANOS_PER_MILLI, 2_500 * NANOS_PER_MILLI, 1),
                steps);
    }

    private void play(long version, Timing timing, String steps) throws Exception {
        client = new DiscoveryClient(this, deadlines, "h", version, timing);
        Scenario.run(this, steps);
    }

    @Test
    void renewsWatchBeforePassingOnItsList() throws Exception {
        play(4, WATCHING + """
        list send 200 {"rev":5,"all":false,"targets":[]}
        list expect GET /v1/servers?from=5&hold_ms=WAIT
        list expect DELTA 0
        list send 200 {"rev":9,"targets":[{"uid":"s","endpoint":"127.0.0.1:1","state":"Gone","boot_ms":1767225600123}]}
        list expect GET /v1/servers?from=9&hold_ms=WAIT
        list expect FULL 1
        """);
    }

    @Test
    void fetchesFullListWhenNoneIsHeld() throws Exception {
        play(-1, """
        module send follow
        list expect open
        list send up
        list expect GET /v1/servers
        """);
    }

    @Test
    void reportsFailedCallOnceAndDoesNotRetryByItself() throws Exception {
        play(4, WATCHING + """
        list send 503 busy
        list expect close
        list expect FAILED 0
        wait 30000
        list expect nothing
        module send follow
        list expect open
        list close
        list expect FAILED 0
        """);
    }

    @Test
    void unreadableListIsAFailedCall() throws Exception {
        play(4, WATCHING + """
        list send 200 {"rev":5,"targets":[{"uid":"s","endpoint":"a.name:1","state":"Ready"}]}
        list expect said not a list of servers: not a numeric address and port: a.name:1
        list expect close
        list expect FAILED 0
        """);
    }

    @Test
    void replacesSilentWatchByCheckHalfASecondAfterItsHold() throws Exception {
        play(4, WATCHING + "clock send the wait and 499\nlist expect nothing\nwait 1\n" + SILENT + CHECKED);
    }

    @Test
    void retriesLostCallOnceAtOnce() throws Exception {
        String lostTwice = SILENT + "wait 2500\n" + SILENT + "wait 2500\n";
        play(4, WATCHING + "clock send the wait and 500\n" + lostTwice + FAILED + CHECKING);
    }

    @Test
    void connectTimeoutDoesNotIncludeTheHold() throws Exception {
        play(4, """
        module send follow
        list expect open
        wait 999
        list expect nothing
        wait 1
        list expect close
        list expect FAILED 0
        """);
    }

    @Test
    void responseTimeoutDoesNotIncludeTheHold() throws Exception {
        play(4, WATCHING + """
        wait 300
        list send half of 200 {"rev":5,"targets":[]}
        wait 999
        list expect nothing
        wait 1
        list expect close
        list expect FAILED 0
        """);
    }

    @Test
    void checksAgentBeforeWatchingAndRetriesAfterHalfTheGrace() throws Exception {
        Timing pushed = new Timing(true, 20_000 * NANOS_PER_MILLI, 250 * NANOS_PER_MILLI, 125 * NANOS_PER_MILLI, 1);
        play(4, pushed, CHECKING + "wait 125\n" + SILENT + "wait 125\n" + FAILED + CHECKING + CHECKED);
    }

    @Test
    void spreadsHoldTimesOfWatchesThatBeganTogether() {
        long[] waits = new long[120];
        for (int i = 0; i < waits.length; i++) {
            client = new DiscoveryClient(
                    this,
                    new DeadlineQueue(),
                    "h",
                    4,
                    new Timing(false, 20_000 * NANOS_PER_MILLI, 500 * NANOS_PER_MILLI, 2_500 * NANOS_PER_MILLI, i));
            client.follow(now, true);
            client.connected(now);
            waits[i] = holdMillis;
        }
        Arrays.sort(waits);
        assertTrue(waits[0] >= 10_000 && waits[119] < 20_000, waits[0] + " to " + waits[119]);
        for (int i = 0; i + 30 < waits.length; i++) { // evenly spread over 10 s, 12 end within a second
            assertTrue(waits[i + 30] - waits[i] > 1_000, "more than 30 of 120 end within a second");
        }
    }

    /** Checks the graces that the protocol documentation names, no grace, and a grace of a minute. */
    @Test
    void holdFitsConfiguredGraceAndNeverExceedsTwentySeconds() throws Exception {
        for (boolean pushed : new boolean[] {false, true}) {
            for (long[] row :
                    new long[][] {{0, 3_750, 5_750}, {250, 3_750, 5_500}, {2_000, 5_250, 5_250}, {60_000, 20_000, 5_250}
                    }) {
                String text = Scenario.defaultConfig()
                        .replace("\"drainGrace\": 2000000000", "\"drainGrace\": " + row[0] * NANOS_PER_MILLI);
                Timing timing = Timing.of(
                        stoatrill.config.Config.parse(
                                        pushed ? text.replace("on_request", "pushed") : text, java.util.Map.of())
                                .settings(),
                        1);
                assertEquals(
                        row[pushed ? 2 : 1] * NANOS_PER_MILLI,
                        timing.maxHold(),
                        "grace " + row[0] + (pushed ? " pushed" : " asked"));
            }
        }
    }

    @Test
    void readsListsOfThousandsInPiecesAndRejectsOneThatIsTooLong() throws Exception {
        for (int servers : new int[] {1_024, 8_192}) {
            for (String space : new String[] {"", "\n        "}) {
                play(4, WATCHING);
                StringBuilder body = new StringBuilder("{" + space + "\"rev\": 9," + space + "\"targets\": [");
                for (int i = 0; i < servers; i++) {
                    body.append(i == 0 ? "" : ",")
                            .append(String.format(
                                    "{%1$s\"uid\": \"s-%2$08x\",%1$s\"endpoint\": "
                                            + "\"10.1.%3$d.%4$d:5433\","
                                            + "%1$s\"az\": \"a\",%1$s\"model\": \"m2\",%1$s\"pod_group\": %5$d,%1$s"
                                            + "\"state\": \"Ready\",%1$s\"capacity_hint\": 1.0,"
                                            + "%1$s\"boot_ms\": 1767225600123}",
                                    space, i, i >> 8, i & 255, i / 4));
                }
                body.append("]}");
                byte[] all = ("HTTP/1.1 200 x\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.US_ASCII);
                for (int at = 0; at < all.length; at += 4_099) {
                    client.received(now, ByteBuffer.wrap(all, at, Math.min(4_099, all.length - at)));
                }
                expect("list", "GET /v1/servers?from=9&hold_ms=WAIT");
                expect("list", "FULL " + servers);
            }
        }
        play(4, WATCHING);
        client.received(
                now,
                ByteBuffer.wrap(
                        "HTTP/1.1 200 x\r\nContent-Length: 99999999\r\n\r\n".getBytes(StandardCharsets.US_ASCII)));
        expect("list", "said length \"99999999\" is not a number from 0 to 4194304");
        expect("list", "close");
        expect("list", "FAILED 0");
    }

    @Test
    void logsUnusableResponseOnceUntilOneIsUsable() throws Exception {
        play(4, WATCHING + """
        list send 200 {"rev":5}
        list expect said not a list of servers: no field "targets"
        list expect close
        list expect FAILED 0
        module send follow
        list expect open
        list send up
        list expect GET /v1/servers?from=4&hold_ms=0
        list send 200 {"rev":5}
        list expect close
        list expect FAILED 0
        module send follow
        list expect open
        list send up
        list expect GET /v1/servers?from=4&hold_ms=0
        list send 200 {"rev":5,"targets":[]}
        list expect GET /v1/servers?from=5&hold_ms=WAIT
        list expect FULL 0
        list send 200 {"rev":6,"targets":[{"uid":"s"}]}
        list expect said not a list of servers: no field "state"
        list expect close
        list expect FAILED 0
        """);
    }

    @Test
    void responseWithoutLengthCompletesWhenConnectionEnds() throws Exception {
        play(4, WATCHING + """
        list send without length {"rev":5,"all":true,"targets":[]}
        list expect nothing
        list close
        list expect open
        list expect FULL 0
        """);
    }

    /**
     * The body received may be complete JSON, but a reset does not complete a response: the current list stays in use.
     */
    @Test
    void responseWithoutLengthIsDiscardedOnReset() throws Exception {
        play(4, WATCHING + """
        list send without length {"rev":5,"all":true,"targets":[]}
        list send reset
        list expect FAILED 0
        module send follow
        list expect open
        list send up
        list expect GET /v1/servers?from=4&hold_ms=0
        """);
    }

    @Test
    void connectionClosedWhileIdleIsNotAFailure() throws Exception {
        play(4, WATCHING + """
        list send 200 {"rev":5,"all":false,"targets":[]}
        list expect GET /v1/servers?from=5&hold_ms=WAIT
        list expect DELTA 0
        list close
        list expect open
        list send up
        list expect GET /v1/servers?from=5&hold_ms=WAIT
        """);
    }

    /** Guards against a copy of an old list that is taken for the answer to the next call, and so on from then on. */
    @Test
    void copyOfAListIsNotTakenForTheAnswerToTheNextWatch() throws Exception {
        play(4, WATCHING + """
        list send 200 {"rev":5,"all":false,"targets":[]}
        list expect GET /v1/servers?from=5&hold_ms=WAIT
        list expect DELTA 0
        list send 200 {"rev":5,"all":false,"targets":[]}
        list expect surplus
        list expect close
        list expect open
        list send up
        list expect GET /v1/servers?from=5&hold_ms=WAIT
        list send 200 {"rev":6,"all":false,"targets":[]}
        list expect GET /v1/servers?from=6&hold_ms=WAIT
        list expect DELTA 0
        clock send the wait and 0
        list send 200 {"rev":6,"all":false,"targets":[]}
        list expect GET /v1/servers?from=6&hold_ms=WAIT
        list expect DELTA 0
        """);
    }

    @Test
    void surplusDataReadWithAResponseEndsTheConnectionAndKeepsTheResponse() throws Exception {
        for (String surplus : List.of("H", "noise", "HTTP/1.1 200 x\r\nContent-Length: 30\r\n\r\n")) {
            play(4, WATCHING);
            send("list", "200 {\"rev\":5,\"all\":false,\"targets\":[]}", surplus);
            Scenario.run(this, """
            list expect surplus
            list expect close
            list expect open
            list expect DELTA 0
            list send up
            list expect GET /v1/servers?from=5&hold_ms=WAIT
            """);
        }
    }

    @Test
    void dataWithoutACallEndsTheConnection() throws Exception {
        play(4, WATCHING);
        client.follow(now, false);
        Scenario.run(this, """
        list send 200 {"rev":5,"all":false,"targets":[]}
        list expect DELTA 0
        list send half of a response
        list expect surplus
        list expect close
        module send follow
        list expect open
        list send up
        list expect GET /v1/servers?from=5&hold_ms=WAIT
        """);
    }

    @Test
    void fetchesTheWholeListOverANewConnection() throws Exception {
        play(4, WATCHING);
        client.fetch(now);
        Scenario.run(this, """
        list send 200 {"rev":5,"all":false,"targets":[]}
        list expect close
        list expect open
        list expect DELTA 0
        list send up
        list expect GET /v1/servers
        """);
    }

    @Override
    public void send(String actor, String text) {
        if (actor.equals("clock")) {
            advanceTime(holdMillis + Long.parseLong(text.substring(13)));
        } else if (actor.equals("module")) {
            client.follow(now, true);
        } else if (text.equals("up")) {
            client.connected(now);
        } else if (text.equals("reset")) {
            client.broken(now);
        } else if (text.startsWith("without length ")) {
            client.received(
                    now,
                    ByteBuffer.wrap(
                            ("HTTP/1.1 200 x\r\n\r\n" + text.substring(15)).getBytes(StandardCharsets.US_ASCII)));
        } else if (text.startsWith("half of ")) {
            client.received(now, ByteBuffer.wrap("HTTP/1.1 200 x\r\nContent-Le".getBytes(StandardCharsets.US_ASCII)));
        } else {
            send(actor, text, "");
        }
    }

    /** Delivers a response and, together with it, what follows it. */
    private void send(String actor, String text, String surplus) {
        assertEquals("list", actor);
        String body = text.substring(4);
        client.received(
                now,
                ByteBuffer.wrap(("HTTP/1.1 " + text.substring(0, 3) + " x\r\nContent-Length: " + body.length()
                                + "\r\n\r\n" + body + surplus)
                        .getBytes(StandardCharsets.US_ASCII)));
    }

    @Override
    public void expect(String actor, String text) {
        assertEquals(text, events.isEmpty() ? "nothing" : events.poll());
    }

    @Override
    public void close(String actor) {
        client.ended(now);
    }

    @Override
    public void advanceTime(long millis) {
        now += millis * NANOS_PER_MILLI;
        deadlines.runDue(now);
    }

    @Override
    public void openDiscovery() {
        events.add("open");
    }

    @Override
    public void sendToDiscovery(byte[] request) {
        String line = new String(request, StandardCharsets.US_ASCII).split(" HTTP", 0)[0];
        holdMillis = Long.parseLong(line.replaceFirst(".*hold_ms=|.*", "0"));
        events.add(holdMillis > 0 ? line.replace("=" + holdMillis, "=WAIT") : line);
    }

    @Override
    public void closeDiscovery() {
        events.add("close");
    }

    @Override
    public void onServerList(long receivedAt, ListKind kind, List<ServerEntry> entries) {
        events.add(kind + " " + entries.size());
    }

    @Override
    public void onSurplusData() {
        events.add("surplus");
    }

    @Override
    public void log(String line) {
        events.add("said "
                + line.replaceFirst(
                        "discovery at h sent an unusable response \\((.*)\\); the previous list "
                                + "stays in use and is requested again",
                        "$1"));
    }
}
