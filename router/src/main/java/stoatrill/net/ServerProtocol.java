package stoatrill.net;

import java.nio.ByteBuffer;
import stoatrill.core.DisconnectCause;
import stoatrill.core.ServerAnswer;
import stoatrill.core.Statement;

/**
 * The interface of server protocols: the parser and encoder of one server connection. An implementation has no access
 * to the socket.
 */
public interface ServerProtocol {

    /** Receives the events that the protocol has decoded from the server's bytes. */
    interface Environment {
        /** The startup is complete; the connection takes queries from now on. */
        void onStartupComplete();

        /** The server has answered; {@code reusable} if the connection takes another query. */
        void onAnswer(ServerAnswer answer, boolean reusable);

        /** The synchronization is complete: the server has sent nothing but its answers, and nothing is under way. */
        void onSynchronized();

        /** The connection can no longer be used. */
        void onBroken(DisconnectCause how);
    }

    /** The bytes that open the conversation. */
    byte[] startupMessage();

    /** Encodes a query. */
    byte[] encodeQuery(Statement statement, long waitMillis);

    /** Encodes a request for the server's load report. */
    byte[] encodeProbe();

    /**
     * Encodes the request that synchronizes the connection after an answer. The server's reply to it follows all that
     * it has sent before, so surplus data behind the answer shows before the reply, however late it arrives.
     */
    byte[] encodeSynchronization();

    /** Takes received bytes; consumes all of them. */
    void receive(ByteBuffer bytes);

    /** Called once the server has closed or broken the connection. */
    void onClosed();
}
