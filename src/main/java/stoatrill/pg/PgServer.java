package stoatrill.pg;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import stoatrill.Gateway.Result;
import stoatrill.Gateway.Role;
import stoatrill.core.ServerAnswer;
import stoatrill.core.Statement;
import stoatrill.net.ServerProtocol;

/** A connection to a server: startup, then one query or probe at a time. */
public final class PgServer implements ServerProtocol {
  private static final int LONGEST = 1 << 20;
  private final MessageReader in = new MessageReader(true, LONGEST);
  private final Peer peer;
  private boolean up;
  private boolean ended;
  private boolean probing;
  // The answer as far as it has come.
  private final ByteArrayOutputStream value = new ByteArrayOutputStream();
  private String error;
  private boolean complete;
  private int rows;
  private Role role = Role.UNKNOWN;
  private long position = -1;
  private Map<String, Double> report;

  public PgServer(Peer peer) {
    this.peer = peer;
  }

  @Override
  public byte[] greeting() {
    return Messages.startup("svc", "main");
  }

  @Override
  public byte[] query(Statement statement, long waitMillis) {
    probing = false;
    return Messages.query(statement.withWait(waitMillis));
  }

  @Override
  public byte[] probe() {
    probing = true;
    return Messages.query("SHOW usage".getBytes(StandardCharsets.US_ASCII));
  }

  @Override
  public void received(ByteBuffer bytes) {
    in.append(bytes);
    try {
      while (!ended && in.next()) {
        message();
      }
    } catch (PgException e) {
      end(false);
    }
  }

  private void message() throws PgException {
    switch (in.type()) {
      case 'R' -> {
        if (in.int32(0) != 0) {
          throw new PgException("28000", "the server asks for a password");
        }
      }
      case 'S' -> parameter();
      case 'T', 'C' -> {
        value.writeBytes(in.whole());
        complete |= in.type() == 'C';
      }
      case 'D' -> {
        rows++;
        value.writeBytes(in.whole());
        if (probing && in.int16(0) == 1 && in.int32(2) >= 0) {
          report = fields(new String(in.bytes(6, in.int32(2)), StandardCharsets.UTF_8));
        }
      }
      case 'E' -> error = sqlState();
      case 'Z' -> ready();
      default -> { } // notices, the key for cancels, the answer to an empty query
    }
  }

  private void parameter() throws PgException {
    int nameEnd = in.stringEnd(0);
    String name = new String(in.bytes(0, nameEnd), StandardCharsets.UTF_8);
    int valueEnd = in.stringEnd(nameEnd + 1);
    String text = new String(in.bytes(nameEnd + 1, valueEnd - nameEnd - 1), StandardCharsets.UTF_8);
    switch (name) {
      case "server_role" -> role = text.equals("writer") ? Role.PRIMARY
          : text.equals("reader") ? Role.REPLICA : Role.UNKNOWN;
      case "commit_clock" -> {
        try {
          position = (long) Math.floor(Double.parseDouble(text));
        } catch (NumberFormatException e) {
          position = -1; // an unreadable position is no position
        }
      }
      case "usage" -> report = fields(text);
      default -> { }
    }
  }

  /** A load report, {@code name=value} joined by commas; what can't be read is left out. */
  private static Map<String, Double> fields(String text) {
    Map<String, Double> fields = new HashMap<>();
    for (String field : text.split(",")) {
      int equals = field.indexOf('=');
      if (equals > 0) {
        try {
          fields.put(field.substring(0, equals).trim(), Double.parseDouble(field.substring(equals + 1)));
        } catch (NumberFormatException e) {
          // left out
        }
      }
    }
    return fields;
  }

  private String sqlState() throws PgException {
    int at = 0;
    while (at < in.size() && in.bytes(at, 1)[0] != 0) {
      int end = in.stringEnd(at + 1);
      if (in.bytes(at, 1)[0] == 'C') {
        return new String(in.bytes(at + 1, end - at - 1), StandardCharsets.US_ASCII);
      }
      at = end + 1;
    }
    return "XX000";
  }

  private void ready() {
    if (!up) {
      up = true;
      clear();
      peer.connectedToServer();
      return;
    }
    answer(true);
  }

  private void answer(boolean reusable) {
    ServerAnswer answer = new ServerAnswer(result(), role, position, report, value.toByteArray());
    clear();
    peer.answered(answer, reusable);
  }

  private Result result() {
    if (error == null) {
      return complete && rows == 1 ? Result.OK : Result.ERROR;
    }
    return switch (error) {
      case "25006", "72000" -> Result.MISS;
      case "53300" -> Result.FULL;
      case "57P03" -> probing ? Result.FULL : Result.ERROR;
      default -> Result.ERROR;
    };
  }

  private void clear() {
    value.reset();
    error = null;
    complete = false;
    rows = 0;
    role = Role.UNKNOWN;
    position = -1;
    report = null;
  }

  @Override
  public void ended() {
    if (!ended) {
      end(true);
    }
  }

  /** The connection ends; an answer that was already whole still counts. */
  private void end(boolean byPeer) {
    ended = true;
    if (up && byPeer && (complete || error != null)) {
      answer(false);
    } else {
      peer.broken(!up && "53300".equals(error));
    }
  }
}
