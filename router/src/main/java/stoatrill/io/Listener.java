package stoatrill.io;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;

/** The socket that takes connections; it never blocks. For the poller's thread alone. */
public final class Listener {
    private final SystemCalls calls;
    private final ServerSocketChannel channel;
    private final SelectionKey key;

    /**
     * Listens from now on; connections wait in the backlog until {@link #accept}.
     *
     * @throws IOException if the address can't be listened on
     */
    public Listener(SystemCalls calls, Poller poller, InetSocketAddress at, int backlog) throws IOException {
        this.calls = calls;
        this.channel = ServerSocketChannel.open();
        try {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            channel.bind(at, backlog);
            key = poller.register(channel, SelectionKey.OP_ACCEPT, null);
        } catch (IOException e) {
            channel.close();
            throw e;
        }
    }

    /** Where it listens, with the port that the system chose if none was given; null once it is closed. */
    public InetSocketAddress address() {
        try {
            return (InetSocketAddress) channel.getLocalAddress();
        } catch (IOException e) {
            return null;
        }
    }

    /**
     * Takes the next connection. Nothing now if none waits, or the one that waited has failed meanwhile, as Linux tells
     * by an error of this call; no resource if there is no descriptor or memory for it.
     */
    public Opened<SocketChannel> accept() {
        try {
            SocketChannel accepted = calls.accept(channel);
            return accepted == null ? Opened.none(Outcome.NOTHING_NOW, "") : Opened.of(accepted);
        } catch (IOException e) {
            return Opened.none(
                    IoErrors.outcome(e) == Outcome.BROKEN ? Outcome.NOTHING_NOW : IoErrors.outcome(e),
                    String.valueOf(e.getMessage()));
        }
    }

    /** Asks to be told of connections that wait, or no longer. */
    public void interest(boolean on) {
        if (key.isValid()) {
            key.interestOps(on ? SelectionKey.OP_ACCEPT : 0);
        }
    }

    public boolean isOpen() {
        return channel.isOpen();
    }

    /** Takes no more connections; those that wait in the backlog are reset. */
    public void close() {
        try {
            channel.close();
        } catch (IOException e) {
            // Linux frees the descriptor also where close fails
        }
    }
}
