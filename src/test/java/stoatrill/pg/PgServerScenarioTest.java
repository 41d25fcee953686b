package stoatrill.pg;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import org.junit.jupiter.api.Test;
import stoatrill.core.ServerAnswer;
import stoatrill.net.ServerProtocol;
import stoatrill.scenario.Scenario;

/** The server side of the codec: {@code s} sends messages, a type and a body, that arrive byte by byte. */
class PgServerScenarioTest implements Scenario.Stage, ServerProtocol.Peer {
  private static final String UP = "s send R ~~~~\ns send Z I\ns expect up\n";
  private final ArrayDeque<String> seen = new ArrayDeque<>();
  private final PgServer server = new PgServer(this);
  private byte[] value;

  @Test
  void aServedAnswerCarriesItsNotesAndIsReadyWithTheConnection() throws Exception {
    Scenario.play(this, UP + """
        s send T cols
        s send D ~^~~~^x
        s send C SELECT 1~
        s send S server_role~reader~
        s send S commit_clock~1767225600123~
        s send S usage~x0=1767225600.5,x1=0,q=3~
        s expect nothing
        s send Z I
        s expect OK REPLICA 1767225600123 3.0 true
        """);
    String text = "T\0\0\0\u0008cols" + "D\0\0\0\u000b\0\u0001\0\0\0\u0001x" + "C\0\0\0\rSELECT 1\0";
    assertArrayEquals(text.getBytes(StandardCharsets.ISO_8859_1), value);
  }

  @Test
  void errorsAreToldApartByTheirState() throws Exception {
    Scenario.play(this, UP + """
        s send E SERROR~C25006~~
        s send Z I
        s expect MISS UNKNOWN -1 null true
        s send E SERROR~C53300~~
        s send Z I
        s expect FULL UNKNOWN -1 null true
        s send E SERROR~CXX000~~
        s send Z I
        s expect ERROR UNKNOWN -1 null true
        s send E SERROR~C72000~~
        s close
        s expect MISS UNKNOWN -1 null false
        """);
  }

  @Test
  void anAnswerThatWasWholeCountsThoughTheConnectionEnds() throws Exception {
    Scenario.play(this, UP + """
        s send D ~^~~~^x
        s send C SELECT 1~
        s close
        s expect OK UNKNOWN -1 null false
        """);
  }

  @Test
  void halfAnAnswerIsABreak() throws Exception {
    Scenario.play(this, UP + """
        s send D ~^~~~^x
        s close
        s expect broken false
        """);
  }

  @Test
  void aServerWithTooManyConnectionsSaysSo() throws Exception {
    Scenario.play(this, """
        s send E SFATAL~C53300~~
        s close
        s expect broken true
        """);
  }

  @Test
  void aMessageTooShortForItsKindEndsTheConnection() throws Exception {
    Scenario.play(this, UP + """
        s send S name without end
        s expect broken false
        """);
  }

  @Override
  public void send(String actor, String text) {
    byte[] body = text.substring(2).replace('~', '\0').replace('^', '\1').getBytes(StandardCharsets.ISO_8859_1);
    for (byte b : Messages.message(text.charAt(0), body)) {
      server.received(ByteBuffer.wrap(new byte[] {b}));
    }
  }

  @Override
  public void expect(String actor, String text) {
    assertEquals(text, seen.isEmpty() ? "nothing" : seen.poll());
  }

  @Override
  public void close(String actor) {
    server.ended();
  }

  @Override
  public void pass(long millis) {}

  @Override
  public void connectedToServer() {
    seen.add("up");
  }

  @Override
  public void answered(ServerAnswer a, boolean reusable) {
    value = a.value();
    seen.add(a.result() + " " + a.role() + " " + a.positionMillis() + " "
        + (a.report() == null ? null : a.report().get("q")) + " " + reusable);
  }

  @Override
  public void broken(boolean full) {
    seen.add("broken " + full);
  }
}
