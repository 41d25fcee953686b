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

        /** Asks for {@link ClientProtocol#proceed} in the next turn. */
        void proceedLater();

        /**
         * The key by which another connection may take back what this one asks: unguessable, and of this connection
         * alone for as long as it is open.
         */
        long cancelKey();

        /** Takes back what the connection with that key waits for; of no effect if there is none. */
        void cancel(long key);

        /** Takes back the request with that slot; its answer follows. */
        void takeBack(long slot);

        void write(byte[] bytes);

        /** Ends the connection once everything written is out. */
        void close();
    }

    /** Bytes have come in; all of them are kept until {@link #proceed}. */
    void received(ByteBuffer bytes);

    /** Reads commands from what has come in, some at a time. */
    void proceed();

    /** Takes back the request that waits longest for its answer, if one does. */
    void cancel();

    /** The final answer to a request; it is written once all before it are. */
    void answer(long slot, Answer answer);

    /** The router has become ready. */
    void ready();

    /** How many commands have been read whole. */
    long commands();

    /** How many of them still wait for their answer. */
    int waiting();

    /** How many bytes are kept of what has not been read as a command yet. */
    int held();

    /** Whether the answer to this slot can be written at once, since all before it are. */
    boolean isNext(long slot);

    /** How many bytes of answers are kept until those before them are there. */
    long unwritten();

    /** Whether a command read still waits for its answer, or part of one has come in. */
    default boolean busy() {
        return waiting() > 0 || held() > 0;
    }

    /** Whether so much is unanswered that no further command is read for now. */
    boolean congested();

    /** Turns the client away for want of room. */
    void turnAway();

    /** Ends the conversation because handling it has failed: what still waits for its answer gets an error at once. */
    void abandon();

    /** Ends the conversation because the rest of what was begun has not come, or is too much to be kept. */
    void expire();
}
