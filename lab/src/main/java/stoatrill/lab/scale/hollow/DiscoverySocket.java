package stoatrill.lab.scale.hollow;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;

/** One hollow router's connection to discovery, as {@code net.EventLoop} carries it. Used by one thread. */
final class DiscoverySocket {

    /** Who is told what comes of it. */
    interface Owner {
        /** Its number in the fleet. */
        int number();

        void connected();

        /** Bytes were read; all of them are to be taken. */
        void received(ByteBuffer bytes);

        /** It could not be opened or has ended; it is closed already. */
        void lost();
    }

    private final Owner owner;
    private final SocketChannel channel;
    private final SelectionKey key;
    private ByteBuffer out = ByteBuffer.allocate(0);
    private boolean upAtOnce;

    /** Begins to connect; the owner hears how that ends, later. */
    DiscoverySocket(Owner owner, Selector selector, InetSocketAddress to) throws IOException {
        this.owner = owner;
        channel = SocketChannel.open();
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        key = channel.register(selector, SelectionKey.OP_CONNECT, this);
        try {
            upAtOnce = channel.connect(to);
            if (upAtOnce) {
                key.interestOps(SelectionKey.OP_WRITE); // the owner is told by the next turn
            }
        } catch (IOException e) {
            close();
            throw e;
        }
    }

    Owner owner() {
        return owner;
    }

    /** Does what the selector found possible. */
    void handle(ByteBuffer buffer) {
        try {
            if (upAtOnce || (key.isValid() && key.isConnectable() && channel.finishConnect())) {
                upAtOnce = false;
                key.interestOps(SelectionKey.OP_READ);
                owner.connected();
            } else if (key.isValid() && key.isWritable()) {
                key.interestOps(SelectionKey.OP_READ);
                flush();
            }
            if (key.isValid() && key.isReadable()) {
                read(buffer);
            }
        } catch (IOException e) {
            close();
            owner.lost();
        }
    }

    private void read(ByteBuffer buffer) throws IOException {
        buffer.clear();
        if (channel.read(buffer) < 0) {
            throw new IOException("ended by discovery");
        }
        buffer.flip();
        if (buffer.hasRemaining()) {
            owner.received(buffer);
        }
    }

    void write(byte[] bytes) {
        out = ByteBuffer.wrap(bytes); // one call at a time
        try {
            flush();
        } catch (IOException e) {
            key.interestOps(SelectionKey.OP_READ); // its end is found by the next read
        }
    }

    private void flush() throws IOException {
        channel.write(out);
        if (out.hasRemaining()) {
            key.interestOps(SelectionKey.OP_READ | SelectionKey.OP_WRITE);
        }
    }

    void close() {
        key.cancel();
        try {
            channel.close();
        } catch (IOException e) {
            // closed all the same
        }
    }
}
