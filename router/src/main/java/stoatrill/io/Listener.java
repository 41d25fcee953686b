package stoatrill.io;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;

/** A non-blocking listening socket. For the poller's thread alone. */
public final class Listener {
    private final SystemCalls calls;
    private final ServerSocketChannel channel;
    private final SelectionKey key;

    /**
     * Starts listening; connections wait in the backlog until {@link #accept}.
     *
     * @throws IOException if the address can't be bound
     */
    public Listener(SystemCalls calls, Poller poller, InetSocketAddress address, int backlog) throws IOException {
        this.calls = calls;
        this.channel = ServerSocketChannel.open();
        try {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            channel.bind(address, backlog);
            key = poller.register(channel, SelectionKey.OP_ACCEPT, null);
        } catch (IOException e) {
            channel.close();
            throw e;
        }
    }

    /** The address that it listens on, with the port that the system chose if none was given; null once closed. */
    public InetSocketAddress address() {
        try {
            return (InetSocketAddress) channel.getLocalAddress();
        } catch (IOException e) {
            return null;
        }
    }

    /**
     * Accepts the next connection. {@link Outcome#WOULD_BLOCK} if none waits, or if the waiting one has failed in the
     * meantime, which Linux reports as an error of this call; {@link Outcome#TEMPORARY_FAILURE} if there is no
     * descriptor or memory for it.
     */
    public CallResult<SocketChannel> accept() {
        try {
            SocketChannel accepted = calls.accept(channel);
            return accepted == null ? CallResult.failure(Outcome.WOULD_BLOCK, "") : CallResult.success(accepted);
        } catch (IOException e) {
            return CallResult.failure(
                    IoErrors.classify(e) == Outcome.BROKEN ? Outcome.WOULD_BLOCK : IoErrors.classify(e),
                    String.valueOf(e.getMessage()));
        }
    }

    /** Starts or stops reporting waiting connections through the selector. */
    public void setAccepting(boolean enabled) {
        if (key.isValid()) {
            key.interestOps(enabled ? SelectionKey.OP_ACCEPT : 0);
        }
    }

    public boolean isOpen() {
        return channel.isOpen();
    }

    /** Stops listening; connections that wait in the backlog are reset. */
    public void close() {
        try {
            channel.close();
        } catch (IOException e) {
            // Linux frees the descriptor even if close fails
        }
    }
}
