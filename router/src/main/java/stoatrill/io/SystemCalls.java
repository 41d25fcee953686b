package stoatrill.io;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;

/**
 * The system calls as the platform's library makes them, with its negative counts and exceptions. The seam below which
 * tests make calls fail; everything above it in this package turns what comes back into an {@link Outcome}.
 */
public interface SystemCalls {
    /** The calls of the platform's library. */
    SystemCalls PLATFORM = new PlatformCalls();

    /** As {@link SocketChannel#read(ByteBuffer)}; -1 at the end, another negative count if interrupted. */
    int read(SocketChannel channel, ByteBuffer into) throws IOException;

    /** As {@link SocketChannel#write(ByteBuffer)}; a negative count if interrupted. */
    int write(SocketChannel channel, ByteBuffer from) throws IOException;

    /** As {@link ServerSocketChannel#accept}; null if there is nothing to accept, or the call was interrupted. */
    SocketChannel accept(ServerSocketChannel listener) throws IOException;

    /** Opens a socket. */
    SocketChannel open() throws IOException;

    /** Makes a socket one that never blocks. */
    void neverBlock(SocketChannel channel) throws IOException;

    /** Makes a socket send small writes at once. */
    void sendAtOnce(SocketChannel channel) throws IOException;

    /** As {@link SocketChannel#connect}; true if the connection is up already. */
    boolean connect(SocketChannel channel, InetSocketAddress to) throws IOException;

    /** As {@link SocketChannel#finishConnect}. */
    boolean finishConnect(SocketChannel channel) throws IOException;

    /** As {@link SocketChannel#shutdownOutput}. */
    void endSending(SocketChannel channel) throws IOException;

    /** As {@link SocketChannel#close}. */
    void close(SocketChannel channel) throws IOException;

    /** As {@link Selector#select(long)}, in milliseconds; 0 does not wait. */
    int select(Selector selector, long millis) throws IOException;

    /** The whole content of a file. */
    byte[] readFile(Path file) throws IOException;

    /** The first bytes of a file that may have no end. */
    byte[] readFirst(Path file, int bytes) throws IOException;
}
