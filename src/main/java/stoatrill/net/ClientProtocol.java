package stoatrill.net;

import java.nio.ByteBuffer;
import stoatrill.core.Answer;
import stoatrill.core.ClientRequest;

/** The seam for client protocols: one connection's parser and writer. Knows no socket. */
public interface ClientProtocol {

  /** What a connection's protocol asks of its surroundings. */
  interface Peer {
    /** A whole request was read; its answer comes by {@link ClientProtocol#answer} with this slot. */
    void request(long slot, ClientRequest request);

    /** The client asks whether the router is ready; {@link ClientProtocol#ready} tells. */
    boolean ready();

    void write(byte[] bytes);

    /** Ends the connection once everything written is out. */
    void close();
  }

  /** Bytes have come in; all of them are taken. */
  void received(ByteBuffer bytes);

  /** The final answer to a request; it is written once all before it are. */
  void answer(long slot, Answer answer);

  /** The router has become ready. */
  void ready();

  /** Whether a command read still waits for its answer, or part of one has come in. */
  boolean busy();

  /** Whether so much is unanswered that no more should be read. */
  boolean congested();

  /** Turns the client away for want of room. */
  void turnAway();
}
