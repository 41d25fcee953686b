package stoatrill.discovery;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import stoatrill.Gateway.ListKind;
import stoatrill.core.Deadlines;
import stoatrill.core.Deadlines.Deadline;
import stoatrill.core.ServerEntry;
import stoatrill.http.ResponseParser;
import stoatrill.http.ResponseParser.BadResponseException;

/**
 * Asks discovery for the list and watches it, one call at a time over one connection. A watch goes on as long
 * as its next call follows at once; a call that fails ends it, and the module decides when to follow again.
 */
public final class DiscoveryClient {
  /** Long enough to ask seldom, short enough that a call which got lost is noticed in the same minute. */
  private static final long HOLD_MILLIS = 20_000;
  /** How long discovery may take beyond what it was asked to hold. */
  private static final long PATIENCE = 2_500_000_000L;

  /** What this client asks of its surroundings. */
  public interface Peer {
    /** Opens a connection to discovery; {@link #connected} or {@link #broken} follows. */
    void open();

    void send(byte[] request);

    /** Closes the connection; nothing follows. */
    void close();

    void members(long now, ListKind kind, List<ServerEntry> entries);
  }

  /** CHECK asks for changes as a watch does, and is answered at once. */
  private enum Call { NONE, WATCH, CHECK, FETCH }

  private final Peer peer;
  private final Deadlines deadlines;
  private String host;
  private long version;
  private boolean following;
  private boolean wantsAll;
  private boolean unsure;
  private Call call = Call.NONE;
  private boolean up;
  private boolean opening;
  private boolean fresh;
  private boolean heard;
  private Deadline patience;
  private ResponseParser parser = new ResponseParser();

  /**
   * A client that makes no call before {@link #follow} or {@link #fetch}.
   *
   * @param version of the list already held; negative if none is
   * @param pushed whether lists are pushed: what the agent has counts as told from the start, so it is asked what
   *     that is before it is watched
   */
  public DiscoveryClient(Peer peer, Deadlines deadlines, String host, long version, boolean pushed) {
    this.peer = peer;
    this.deadlines = deadlines;
    this.host = host;
    this.version = version;
    this.unsure = pushed;
  }

  /** Follows the list from now on, or stops. */
  public void follow(long now, boolean on) {
    following = on;
    next(now);
  }

  /** Asks for the whole list once. */
  public void fetch(long now) {
    wantsAll = true;
    next(now);
  }

  /** Discovery is elsewhere from now on: a call under way is made there instead, for the whole list. */
  public void move(long now, String to) {
    host = to;
    version = -1; // its versions need not be the old one's
    wantsAll |= call != Call.NONE;
    disconnect();
    finish();
    next(now);
  }

  private void next(long now) {
    if (call != Call.NONE || !(following || wantsAll)) {
      return;
    }
    boolean all = wantsAll || version < 0;
    call = all ? Call.FETCH : unsure ? Call.CHECK : Call.WATCH;
    wantsAll = false;
    // Guards against a discovery that is cut off: its connection stays open and silent.
    long until = now + PATIENCE + (call == Call.WATCH ? HOLD_MILLIS * 1_000_000 : 0);
    patience = deadlines.at(until, () -> fail(until));
    start();
  }

  private void start() {
    heard = false;
    if (up) {
      fresh = false;
      send();
    } else {
      fresh = true;
      opening = true;
      peer.open();
    }
  }

  private void send() {
    long hold = call == Call.WATCH ? HOLD_MILLIS : 0;
    String query = call == Call.FETCH ? "" : "?from=" + version + "&hold_ms=" + hold;
    peer.send(("GET /v1/servers" + query + " HTTP/1.1\r\nHost: " + host
        + "\r\nAccept: application/json\r\n\r\n")
        .getBytes(StandardCharsets.US_ASCII));
  }

  /** The connection is up. */
  public void connected() {
    opening = false;
    up = true;
    send();
  }

  /** Bytes have come in; all of them are taken. */
  public void received(long now, ByteBuffer bytes) {
    heard = true;
    try {
      ResponseParser.Response response = parser.parse(bytes);
      if (response != null) {
        done(now, response);
      }
    } catch (BadResponseException e) {
      fail(now);
    }
    bytes.position(bytes.limit()); // one call at a time: nothing may follow its answer
  }

  /** The connection could not be opened or has ended. */
  public void broken(long now) {
    boolean again = up && !fresh && !heard;
    ResponseParser.Response last = parser.end();
    up = false;
    opening = false;
    parser = new ResponseParser();
    if (call == Call.NONE) {
      return;
    }
    if (last != null) {
      done(now, last);
    } else if (again) {
      start(); // the connection had been closed at rest: no failure of this call
    } else {
      fail(now);
    }
  }

  private void done(long now, ResponseParser.Response response) {
    if (call == Call.NONE) {
      fail(now);
      return;
    }
    if (!response.reusable()) {
      disconnect();
    }
    if (response.status() != 200) {
      fail(now);
      return;
    }
    try {
      ServerList list = ServerList.parse(new String(response.body(), StandardCharsets.UTF_8));
      finish();
      unsure = false;
      version = list.version();
      // The next call goes out first: a watch ends if it is not renewed within 200 ms.
      next(now);
      peer.members(now, list.all() ? ListKind.FULL : ListKind.DELTA, list.entries());
    } catch (ServerList.BadListException e) {
      fail(now);
    }
  }

  private void finish() {
    call = Call.NONE;
    if (patience != null) {
      patience.cancel();
    }
  }

  private void disconnect() {
    if (up || opening) {
      peer.close();
    }
    up = false;
    opening = false;
    parser = new ResponseParser();
  }

  private void fail(long now) {
    boolean told = call != Call.NONE;
    disconnect();
    finish();
    following = false;
    wantsAll = false;
    if (told) {
      peer.members(now, ListKind.FAILED, List.of());
    }
  }
}
