package stoatrill.core;

import java.net.InetSocketAddress;

/** The I/O that the reducer requests. No method may call the reducer back before it has returned. */
public interface Effects {

    /**
     * Opens a connection to a server; {@link Reducer#onServerConnected} or {@link Reducer#onServerConnectionLost}
     * follows.
     */
    void openConnection(long connection, InetSocketAddress endpoint);

    /**
     * Writes a query; {@link Reducer#onQueryWritten(long)} follows after the last byte, then
     * {@link Reducer#onServerAnswer}.
     */
    void sendQuery(long connection, Statement statement, long waitMillis);

    /**
     * Requests proof that the server has sent nothing beyond its last answer on this connection;
     * {@link Reducer#onServerSynchronized} or {@link Reducer#onServerConnectionLost} follows, unless the server does
     * not answer.
     */
    void synchronize(long connection);

    /** Whether nothing was received on an idle connection; one that received something must not be reused. */
    boolean hasNoUnreadData(long connection);

    /** Requests a load report from the connection's server; {@link Reducer#onServerAnswer} follows. */
    void sendProbe(long connection);

    /** Closes a connection to a server at once; no event follows. */
    void closeConnection(long connection);

    /** Sends a client the final answer to the request in the given slot. */
    void answerClient(long client, long slot, Answer answer);

    /** Starts or stops watching the list of servers. */
    void watchServerList(boolean enabled);

    /** Requests the full list of servers once. */
    void fetchServerList();

    /** Logs a line for the operators. */
    void log(String line);

    /** Whether {@link #trace} has any effect; if not, the caller need not build its texts. */
    default boolean isTraceEnabled() {
        return false;
    }

    /** Traces an event of a request; {@code request} is the id that the client chose. */
    default void trace(String request, String event, String detail) {}

    /** Counts an event by subject and cause, so that the counts of a fleet can be added up. */
    default void count(String subject, String cause) {}
}
