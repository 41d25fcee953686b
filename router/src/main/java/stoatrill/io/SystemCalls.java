package stoatrill.io;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;

/**
 * The system calls as the platform's library makes them, with its negative counts and exceptions. Tests implement it to
 * make calls fail; its users in this package turn the results into an {@link Outcome}.
 */
public interface SystemCalls {
    /** The system calls of the platform's library. */
    SystemCalls PLATFORM = new PlatformCalls();

    /** As {@link SocketChannel#read(ByteBuffer)}; -1 at the end of stream, another negative count if interrupted. */
    int read(SocketChannel channel, ByteBuffer target) throws IOException;

    /** As {@link SocketChannel#write(ByteBuffer)}; a negative count if interrupted. */
    int write(SocketChannel channel, ByteBuffer source) throws IOException;

    /** As {@link ServerSocketChannel#accept}; null if there is nothing to accept, or the call was interrupted. */
    SocketChannel accept(ServerSocketChannel listener) throws IOException;

    /** Opens a socket. */
    SocketChannel openSocket() throws IOException;

    /** Makes a socket non-blocking. */
    void configureNonBlocking(SocketChannel channel) throws IOException;

    /** Makes a socket send small writes without delay ({@code TCP_NODELAY}). */
    void disableSendDelay(SocketChannel channel) throws IOException;

    /** As {@link SocketChannel#connect}; true if the connection is established already. */
    boolean connect(SocketChannel channel, InetSocketAddress address) throws IOException;

    /** As {@link SocketChannel#finishConnect}. */
    boolean finishConnect(SocketChannel channel) throws IOException;

    /** As {@link SocketChannel#shutdownOutput}. */
    void shutdownOutput(SocketChannel channel) throws IOException;

    /** As {@link SocketChannel#close}. */
    void close(SocketChannel channel) throws IOException;

    /** As {@link Selector#select(long)}, in milliseconds; 0 does not wait. */
    int select(Selector selector, long timeoutMillis) throws IOException;

    /** Reads the whole content of a file. */
    byte[] readFile(Path file) throws IOException;

    /** Reads the first bytes of a file that may have no end; fewer if the file is shorter. */
    byte[] readFirstBytes(Path file, int byteCount) throws IOException;
}
