package stoatrill.io;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;

/** The system calls as the platform's library makes them. */
final class PlatformCalls implements SystemCalls {

    @Override
    public int read(SocketChannel channel, ByteBuffer target) throws IOException {
        return channel.read(target);
    }

    @Override
    public int write(SocketChannel channel, ByteBuffer source) throws IOException {
        return channel.write(source);
    }

    @Override
    public SocketChannel accept(ServerSocketChannel listener) throws IOException {
        return listener.accept();
    }

    @Override
    public SocketChannel openSocket() throws IOException {
        return SocketChannel.open();
    }

    @Override
    public void configureNonBlocking(SocketChannel channel) throws IOException {
        channel.configureBlocking(false);
    }

    @Override
    public void disableSendDelay(SocketChannel channel) throws IOException {
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    }

    @Override
    public boolean connect(SocketChannel channel, InetSocketAddress address) throws IOException {
        return channel.connect(address);
    }

    @Override
    public boolean finishConnect(SocketChannel channel) throws IOException {
        return channel.finishConnect();
    }

    @Override
    public void shutdownOutput(SocketChannel channel) throws IOException {
        channel.shutdownOutput();
    }

    @Override
    public void close(SocketChannel channel) throws IOException {
        channel.close();
    }

    @Override
    public int select(Selector selector, long timeoutMillis) throws IOException {
        return timeoutMillis > 0 ? selector.select(timeoutMillis) : selector.selectNow();
    }

    @Override
    public byte[] readFile(Path file) throws IOException {
        return Files.readAllBytes(file);
    }

    @Override
    public byte[] readFirstBytes(Path file, int byteCount) throws IOException {
        try (InputStream in = Files.newInputStream(file)) {
            return in.readNBytes(byteCount);
        }
    }
}
