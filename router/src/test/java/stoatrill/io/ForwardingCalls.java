package stoatrill.io;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;

/** Forwards all system calls to a delegate; tests override the calls that they make fail. */
public class ForwardingCalls implements SystemCalls {
    private final SystemCalls delegate;

    public ForwardingCalls(SystemCalls delegate) {
        this.delegate = delegate;
    }

    @Override
    public int read(SocketChannel channel, ByteBuffer target) throws IOException {
        return delegate.read(channel, target);
    }

    @Override
    public int write(SocketChannel channel, ByteBuffer source) throws IOException {
        return delegate.write(channel, source);
    }

    @Override
    public SocketChannel accept(ServerSocketChannel listener) throws IOException {
        return delegate.accept(listener);
    }

    @Override
    public SocketChannel openSocket() throws IOException {
        return delegate.openSocket();
    }

    @Override
    public void configureNonBlocking(SocketChannel channel) throws IOException {
        delegate.configureNonBlocking(channel);
    }

    @Override
    public void disableSendDelay(SocketChannel channel) throws IOException {
        delegate.disableSendDelay(channel);
    }

    @Override
    public boolean connect(SocketChannel channel, InetSocketAddress address) throws IOException {
        return delegate.connect(channel, address);
    }

    @Override
    public boolean finishConnect(SocketChannel channel) throws IOException {
        return delegate.finishConnect(channel);
    }

    @Override
    public void shutdownOutput(SocketChannel channel) throws IOException {
        delegate.shutdownOutput(channel);
    }

    @Override
    public void close(SocketChannel channel) throws IOException {
        delegate.close(channel);
    }

    @Override
    public int select(Selector selector, long timeoutMillis) throws IOException {
        return delegate.select(selector, timeoutMillis);
    }

    @Override
    public byte[] readFile(Path file) throws IOException {
        return delegate.readFile(file);
    }

    @Override
    public byte[] readFirstBytes(Path file, int byteCount) throws IOException {
        return delegate.readFirstBytes(file, byteCount);
    }
}
