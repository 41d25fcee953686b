package stoatrill.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import org.junit.jupiter.api.Test;
import stoatrill.Gateway.ListKind;
import stoatrill.core.Deadlines;
import stoatrill.core.ServerEntry;
import stoatrill.scenario.Scenario;

/** Discovery's client with fake time: {@code module} follows, {@code list} is the service at the other end. */
class DiscoveryScenarioTest implements Scenario.Stage, DiscoveryClient.Peer {
  private static final long MS = 1_000_000L;
  private static final String WATCHING = """
      module send follow
      list expect open
      list send up
      list expect GET /v1/servers?from=4&hold_ms=20000
      """;
  private final ArrayDeque<String> seen = new ArrayDeque<>();
  private final Deadlines deadlines = new Deadlines();
  private DiscoveryClient client;
  private long now = 1_000 * MS;

  private void play(long version, String steps) throws Exception {
    client = new DiscoveryClient(this, deadlines, "h", version, false);
    Scenario.play(this, steps);
  }

  @Test
  void aWatchIsRenewedBeforeItsNewsIsPassedOn() throws Exception {
    play(4, WATCHING + """
        list send 200 {"rev":5,"all":false,"targets":[]}
        list expect GET /v1/servers?from=5&hold_ms=20000
        list expect DELTA 0
        list send 200 {"rev":9,"targets":[{"uid":"s","endpoint":"127.0.0.1:1","state":"Gone","boot_ms":1767225600123}]}
        list expect GET /v1/servers?from=9&hold_ms=20000
        list expect FULL 1
        """);
  }

  @Test
  void withoutAListTheWholeIsAskedForFirst() throws Exception {
    play(-1, """
        module send follow
        list expect open
        list send up
        list expect GET /v1/servers
        """);
  }

  @Test
  void aFailedCallIsToldOnceAndNotRepeatedUnasked() throws Exception {
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
  void aListThatCantBeReadIsAFailedCall() throws Exception {
    play(4, WATCHING + """
        list send 200 {"rev":5,"targets":[{"uid":"s","endpoint":"a.name:1","state":"Ready"}]}
        list expect close
        list expect FAILED 0
        """);
  }

  @Test
  void aSilentServiceIsGivenUpOnceTheWaitIsLongOver() throws Exception {
    play(4, WATCHING + """
        wait 22000
        list expect nothing
        wait 600
        list expect close
        list expect FAILED 0
        """);
  }

  @Test
  void aConnectionClosedAtRestIsNoFailure() throws Exception {
    play(4, WATCHING + """
        list send 200 {"rev":5,"all":false,"targets":[]}
        list expect GET /v1/servers?from=5&hold_ms=20000
        list expect DELTA 0
        list close
        list expect open
        list send up
        list expect GET /v1/servers?from=5&hold_ms=20000
        """);
  }

  @Override
  public void send(String actor, String text) {
    if (actor.equals("module")) {
      client.follow(now, true);
    } else if (text.equals("up")) {
      client.connected();
    } else {
      String body = text.substring(4);
      client.received(now, ByteBuffer.wrap(("HTTP/1.1 " + text.substring(0, 3) + " x\r\nContent-Length: "
          + body.length() + "\r\n\r\n" + body).getBytes(StandardCharsets.US_ASCII)));
    }
  }

  @Override
  public void expect(String actor, String text) {
    assertEquals(text, seen.isEmpty() ? "nothing" : seen.poll());
  }

  @Override
  public void close(String actor) {
    client.broken(now);
  }

  @Override
  public void pass(long millis) {
    now += millis * MS;
    deadlines.sweep(now);
  }

  @Override
  public void open() {
    seen.add("open");
  }

  @Override
  public void send(byte[] request) {
    seen.add(new String(request, StandardCharsets.US_ASCII).split(" HTTP")[0]);
  }

  @Override
  public void close() {
    seen.add("close");
  }

  @Override
  public void members(long at, ListKind kind, List<ServerEntry> entries) {
    seen.add(kind + " " + entries.size());
  }
}
