package stoatrill.pg;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;
import stoatrill.core.DisconnectCause;
import stoatrill.core.ServerAnswer;
import stoatrill.net.ServerProtocol;
import stoatrill.scenario.Scenario;

/**
 * Tests the server protocol. {@code s send TYPE BODY} delivers a message byte by byte, {@code s send raw} delivers
 * bytes at once, and {@code s send query} makes the router send a query.
 */
class PgServerScenarioTest implements Scenario.Driver, ServerProtocol.Environment {
    private static final String COLUMNS = "s send T ~^v~" + "~".repeat(18) + "\n";
    private static final String QUERY = "s send query\n";
    private static final String STARTUP = "s send R ~~~~\ns send Z I\ns expect up\n";
    private static final String ANSWERED =
            STARTUP + QUERY + "s send E SERROR~C72000~~\ns send Z I\ns expect MISS UNKNOWN -1 null true\n";
    private final ArrayDeque<String> events = new ArrayDeque<>();
    private PgServer server = new PgServer(this);
    private byte[] value;

    @Test
    void servedAnswerCarriesRolePositionAndReport() throws Exception {
        Scenario.run(this, STARTUP + QUERY + COLUMNS + """
        s send D ~^~~~^x
        s send C SELECT 1~
        s send S server_role~reader~
        s send S commit_clock~1767225600123~
        s send S usage~x0=1767225600.5,x1=0,q=3~
        s expect nothing
        s send Z I
        s expect OK REPLICA 1767225600123 3.0 true
        """);
        String text = "T\0\0\0\u001a\0\u0001v\0" + "\0".repeat(18) + "D\0\0\0\u000b\0\u0001\0\0\0\u0001x"
                + "C\0\0\0\rSELECT 1\0";
        assertArrayEquals(text.getBytes(StandardCharsets.ISO_8859_1), value);
    }

    @Test
    void classifiesErrorsBySqlState() throws Exception {
        Scenario.run(this, STARTUP + QUERY + """
        s send E SERROR~C25006~~
        s send Z I
        s expect MISS UNKNOWN -1 null true
        s send query
        s send E SERROR~C53300~~
        s send Z I
        s expect FULL UNKNOWN -1 null true
        s send query
        s send E SERROR~CXX000~~
        s send Z I
        s expect ERROR UNKNOWN -1 null true
        s send query
        s send E SERROR~C72000~~
        s close
        s expect MISS UNKNOWN -1 null false
        """);
    }

    @Test
    void deliversCompleteAnswerWhenConnectionEnds() throws Exception {
        Scenario.run(this, STARTUP + QUERY + COLUMNS + """
        s send D ~^~~~^x
        s send C SELECT 1~
        s close
        s expect OK UNKNOWN -1 null false
        """);
    }

    @Test
    void reportsBrokenConnectionOnPartialAnswer() throws Exception {
        Scenario.run(this, STARTUP + QUERY + COLUMNS + """
        s send D ~^~~~^x
        s close
        s expect broken ENDED
        """);
    }

    @Test
    void reportsFullServerAtStartup() throws Exception {
        Scenario.run(this, """
        s send E SFATAL~C53300~~
        s close
        s expect broken FULL
        """);
    }

    @Test
    void rejectsMalformedAnswerAtFirstInvalidByte() throws Exception {
        String row = COLUMNS + "s send D ~^~~~^x\n";
        for (String malformed : List.of(
                "s send raw 21", // unknown type, rejected without waiting for its length
                "s send raw 44", // a row before its columns
                "s send raw 54 7fffffff", // excessive length, rejected before the body arrives
                "s send raw 54 00000003",
                "s send T ~^v~~~",
                "s send E SERROR~C25006",
                "s send E SERROR~~",
                "s send S name without end",
                "s send S a~b~c~",
                COLUMNS + "s send raw 44 c0000000",
                COLUMNS + "s send D ~^~~~^xx", // one byte more than the value's length
                COLUMNS + "s send D ~^~~~^",
                COLUMNS + "s send D ~^\u00ff\u00ff\u00ff\u00ff",
                COLUMNS + "s send raw 43", // command complete without a row
                row + "s send raw 44",
                row + "s send C no end",
                row + "s send C SELECT 1~\ns send raw 45",
                row + "s send C SELECT 1~\ns send Z ?")) {
            server = new PgServer(this);
            Scenario.run(this, STARTUP + QUERY + malformed + "\ns expect broken SPOILT\ns expect nothing\n");
        }
    }

    @Test
    void errorAfterAnswerBeganDoesNotProveThatNothingRan() throws Exception {
        Scenario.run(this, STARTUP + QUERY + COLUMNS + """
        s send E SERROR~C53300~~
        s send Z I
        s expect ERROR UNKNOWN -1 null true
        """);
    }

    @Test
    void ignoresUnreadableReportOrPositionAndKeepsAnswer() throws Exception {
        for (String notes : List.of(
                "usage~x0=1,q=NaN",
                "usage~q=1,,q=2",
                "usage~q=1e999",
                "usage~\u0007=3,q",
                "commit_clock~12e3",
                "commit_clock~99999999999999999999",
                "commit_clock~")) {
            server = new PgServer(this);
            Scenario.run(
                    this,
                    STARTUP + QUERY + COLUMNS + "s send D ~^~~~^x\ns send C SELECT 1~\ns send S " + notes
                            + "~\ns send Z I\ns expect OK UNKNOWN -1 null true\n");
        }
    }

    @Test
    void unexpectedBytesAfterAnswerEndTheConnectionAndKeepAnswer() throws Exception {
        Scenario.run(this, STARTUP + QUERY + """
        s send raw 45 0000000c 433235303036 00 00 5a 00000005 49 54
        s expect MISS UNKNOWN -1 null false
        """);
        server = new PgServer(this);
        Scenario.run(this, STARTUP + QUERY + """
        s send E C25006~~
        s send Z I
        s expect MISS UNKNOWN -1 null true
        s send raw 54
        s expect broken SURPLUS
        """);
    }

    @Test
    void connectionIsSynchronizedByTheReplyToAnEmptyQuery() throws Exception {
        Scenario.run(this, ANSWERED + """
        s send synchronization
        s expect nothing
        s send raw 49 00000004
        s expect nothing
        s send Z I
        s expect synchronized
        s send query
        s send E SERROR~C72000~~
        s send Z I
        s expect MISS UNKNOWN -1 null true
        """);
        server = new PgServer(this);
        Scenario.run(this, ANSWERED + """
        s send synchronization
        s send raw 49 00000004
        s send N~
        s send S server_role~writer~
        s send Z I
        s expect synchronized
        """);
    }

    /** Whatever comes before, in place of or behind the reply ends the connection; none of it counts as an answer. */
    @Test
    void surplusDataDuringSynchronizationEndsTheConnection() throws Exception {
        for (String surplus : List.of(
                "s send E SERROR~C25006~~",
                "s send E SERROR~C53300~~",
                COLUMNS,
                "s send raw 54",
                "s send raw 01",
                "s send raw 5a 00000005 49",
                "s send raw 53 00000005 00",
                "s send raw 4e 00000005 00",
                "s send raw 49 00000005 00",
                "s send raw 49 00000004\ns send raw 49",
                "s send raw 49 00000004\ns send raw 54",
                "s send raw 49 00000004\ns send raw 5a 00000005 49 54",
                "s send raw 49 00000004\ns send Z T")) {
            server = new PgServer(this);
            Scenario.run(
                    this,
                    ANSWERED + "s send synchronization\n" + surplus + "\ns expect broken SURPLUS\ns expect nothing\n");
        }
        server = new PgServer(this);
        Scenario.run(this, ANSWERED + """
        s send synchronization
        s close
        s expect broken ENDED
        """);
    }

    @Override
    public void send(String actor, String text) {
        if (text.equals("synchronization")) {
            assertArrayEquals(Messages.message('Q', new byte[1]), server.encodeSynchronization());
            return;
        }
        if (text.equals("query")) {
            server.encodeQuery(wait -> new byte[0], 1);
            return;
        }
        if (text.startsWith("raw ")) {
            server.receive(
                    ByteBuffer.wrap(HexFormat.of().parseHex(text.substring(4).replace(" ", ""))));
            return;
        }
        byte[] body = text.substring(2).replace('~', '\0').replace('^', '\1').getBytes(StandardCharsets.ISO_8859_1);
        for (byte b : Messages.message(text.charAt(0), body)) {
            server.receive(ByteBuffer.wrap(new byte[] {b}));
        }
    }

    @Override
    public void expect(String actor, String text) {
        assertEquals(text, events.isEmpty() ? "nothing" : events.poll());
    }

    @Override
    public void close(String actor) {
        server.onClosed();
    }

    @Override
    public void advanceTime(long millis) {}

    @Override
    public void onStartupComplete() {
        events.add("up");
    }

    @Override
    public void onAnswer(ServerAnswer answer, boolean reusable) {
        value = answer.value();
        events.add(answer.result() + " " + answer.role() + " " + answer.positionMillis() + " "
                + (answer.report() == null ? null : answer.report().get("q")) + " " + reusable);
    }

    @Override
    public void onSynchronized() {
        events.add("synchronized");
    }

    @Override
    public void onBroken(DisconnectCause cause) {
        events.add("broken " + cause);
    }
}
