package stoatrill.lab.flood;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** A server that sends one kind of message without end on each connection. May be closed by any thread. */
public final class FloodingNode implements AutoCloseable {
    private static final int BLOCK_BYTES = 64 * 1024;
    private static final int READ_BUFFER_BYTES = 64 * 1024;

    /** When a node floods, and by what. */
    public enum Kind {
        /** Empty notices in place of the end of the startup. */
        NOTICES_AT_STARTUP(true, 'N', ""),
        /** Empty notices in place of each answer. */
        NOTICES_FOR_ANSWERS(false, 'N', ""),
        /** Reports of a parameter in place of each answer. */
        PARAMETERS_FOR_ANSWERS(false, 'S', "a\0b\0"),
        /** Messages that may not come there in place of each answer. */
        ROWS_FOR_ANSWERS(false, 'D', "");

        private final boolean startsAtOnce;
        private final char type;
        private final String body;

        Kind(boolean startsAtOnce, char type, String body) {
            this.startsAtOnce = startsAtOnce;
            this.type = type;
            this.body = body;
        }

        private byte[] block() {
            byte[] message = WireMessages.message(type, body.getBytes(StandardCharsets.US_ASCII));
            ByteArrayOutputStream messages = new ByteArrayOutputStream(BLOCK_BYTES);
            while (messages.size() < BLOCK_BYTES) {
                messages.writeBytes(message);
            }
            return messages.toByteArray();
        }
    }

    private final Kind kind;
    private final ServerSocket listener;
    private final AtomicLong sentBytes = new AtomicLong();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    /** Starts a node at a port of the loopback address that the system chooses. */
    public FloodingNode(Kind kind) throws IOException {
        this.kind = kind;
        this.listener = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
        start(this::accept);
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.getLocalPort());
    }

    /** The number of bytes sent so far. */
    public long sentBytes() {
        return sentBytes.get();
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "flooding-node");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                sockets.add(socket);
                start(() -> serve(socket));
            } catch (IOException e) {
                Thread.onSpinWait(); // closed, or a connection that has ended already
            }
        }
    }

    private void serve(Socket socket) {
        byte[] buffer = new byte[READ_BUFFER_BYTES];
        byte[] block = kind.block();
        try (socket) {
            InputStream input = socket.getInputStream();
            input.read(buffer);
            socket.getOutputStream().write(WireMessages.message('R', new byte[Integer.BYTES]));
            if (!kind.startsAtOnce) {
                socket.getOutputStream().write(WireMessages.message('Z', new byte[] {'I'}));
                input.read(buffer);
            }
            while (true) {
                socket.getOutputStream().write(block);
                sentBytes.addAndGet(block.length);
            }
        } catch (IOException e) {
            // the router has ended the connection
        } finally {
            sockets.remove(socket);
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
