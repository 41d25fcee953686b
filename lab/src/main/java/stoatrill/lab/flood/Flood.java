package stoatrill.lab.flood;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients that send one kind of message at full speed and read all that comes back. A client whose connection ends
 * connects again at once. May be closed by any thread.
 */
public final class Flood implements AutoCloseable {
    private static final int BLOCK_BYTES = 64 * 1024;
    private static final int READ_BUFFER_BYTES = 64 * 1024;

    private final FloodKind kind;
    private final int port;
    private final AtomicLong messageNumber = new AtomicLong();
    private final AtomicLong sentBytes = new AtomicLong();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean closed;

    /** Starts so many flooding clients of the router that listens on a port of the loopback address. */
    public Flood(FloodKind kind, int clientCount, int port) {
        this.kind = kind;
        this.port = port;
        for (int i = 0; i < clientCount; i++) {
            threads.add(start(this::run, "flood-" + kind + "-" + i));
        }
    }

    private static Thread start(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** The number of bytes sent so far. */
    public long sentBytes() {
        return sentBytes.get();
    }

    private void run() {
        while (!closed) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                sockets.add(socket);
                send(socket);
            } catch (IOException e) {
                Thread.onSpinWait(); // the router has ended the connection: the client comes back
            } finally {
                sockets.removeIf(Socket::isClosed);
            }
        }
    }

    private void send(Socket socket) throws IOException {
        Thread reader = start(() -> discardInput(socket), "flood-reader");
        OutputStream output = socket.getOutputStream();
        if (kind.startsUp()) {
            output.write(WireMessages.startup("svc", ""));
        }
        do {
            byte[] block = kind.usesNewConnections() ? kind.message(messageNumber.getAndIncrement()) : block();
            output.write(block);
            sentBytes.addAndGet(block.length);
        } while (!closed && !kind.usesNewConnections());
        if (kind.usesNewConnections()) {
            awaitEnd(reader, socket);
        }
    }

    /** Waits until the router has answered the only message of a connection, or closed it. */
    private void awaitEnd(Thread reader, Socket socket) throws IOException {
        try {
            socket.shutdownOutput();
            reader.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private byte[] block() {
        ByteArrayOutputStream block = new ByteArrayOutputStream(BLOCK_BYTES);
        do {
            block.writeBytes(kind.message(messageNumber.getAndIncrement()));
        } while (block.size() < BLOCK_BYTES);
        return block.toByteArray();
    }

    private static void discardInput(Socket socket) {
        byte[] buffer = new byte[READ_BUFFER_BYTES];
        try {
            InputStream input = socket.getInputStream();
            while (input.read(buffer) >= 0) {
                // only the sender decides when the connection ends
            }
            socket.close();
        } catch (IOException e) {
            // the connection has ended
        }
    }

    @Override
    public void close() {
        closed = true;
        for (Thread thread : threads) {
            thread.interrupt();
        }
        for (Socket socket : sockets) {
            closeQuietly(socket);
        }
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // it is of no more use either way
        }
    }
}
