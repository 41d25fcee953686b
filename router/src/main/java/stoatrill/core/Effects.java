package stoatrill.core;

import java.net.InetSocketAddress;

/** What the reducer asks of the sockets. None of these may call the reducer back before it has returned. */
public interface Effects {

    /** Opens a connection to a server; {@code connected} or {@code broken} follows. */
    void open(long connection, InetSocketAddress endpoint);

    /** Writes a query; {@code written} follows once the last byte is out, then {@code answered}. */
    void query(long connection, Statement statement, long waitMillis);

    /** Whether nothing has come in on a connection at rest; one that is not quiet is no more to be used. */
    boolean quiet(long connection);

    /** Asks the server at the other end for its load report; {@code answered} follows. */
    void probe(long connection);

    /** Closes a connection to a server at once; nothing follows. */
    void close(long connection);

    /** Gives a client the final answer to the request that it numbered so. */
    void answer(long client, long slot, Answer answer);

    /** Follows the list of servers from now on, or stops. */
    void watch(boolean on);

    /** Asks for the whole list of servers once. */
    void fetch();

    /** A line for the operators. */
    void log(String line);

    /** Whether {@link #trace} is heard, so that nothing is worded for nobody. */
    default boolean traces() {
        return false;
    }

    /** What has become of a request, by the client's name for it. */
    default void trace(String request, String event, String why) {}

    /** Something that was done or has come about, for who adds up what a fleet does. */
    default void count(String what, String why) {}
}
