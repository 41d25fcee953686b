package stoatrill.io;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;

/** System calls that are made by others; tests override those that they make fail. */
public class ForwardedCalls implements SystemCalls {
    private final SystemCalls to;

    public ForwardedCalls(SystemCalls to) {
        this.to = to;
    }

    @Override
    public int read(SocketChannel channel, ByteBuffer into) throws IOException {
        return to.read(channel, into);
    }

    @Override
    public int write(SocketChannel channel, ByteBuffer from) throws IOException {
        return to.write(channel, from);
    }

    @Override
    public SocketChannel accept(ServerSocketChannel listener) throws IOException {
        return to.accept(listener);
    }

    @Override
    public SocketChannel open() throws IOException {
        return to.open();
    }

    @Override
    public void neverBlock(SocketChannel channel) throws IOException {
        to.neverBlock(channel);
    }

    @Override
    public void sendAtOnce(SocketChannel channel) throws IOException {
        to.sendAtOnce(channel);
    }

    @Override
    public boolean connect(SocketChannel channel, InetSocketAddress address) throws IOException {
        return to.connect(channel, address);
    }

    @Override
    public boolean finishConnect(SocketChannel channel) throws IOException {
        return to.finishConnect(channel);
    }

    @Override
    public void endSending(SocketChannel channel) throws IOException {
        to.endSending(channel);
    }

    @Override
    public void close(SocketChannel channel) throws IOException {
        to.close(channel);
    }

    @Override
    public int select(Selector selector, long millis) throws IOException {
        return to.select(selector, millis);
    }

    @Override
    public byte[] readFile(Path file) throws IOException {
        return to.readFile(file);
    }

    @Override
    public byte[] readFirst(Path file, int bytes) throws IOException {
        return to.readFirst(file, bytes);
    }
}
