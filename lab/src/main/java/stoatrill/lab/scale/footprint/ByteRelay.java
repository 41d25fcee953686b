package stoatrill.lab.scale.footprint;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A TCP relay on loopback that counts the bytes that pass in each direction, with a thread for each. Stands between a
 * router and discovery, so that control traffic is counted as it is on the wire, without the headers of TCP.
 */
final class ByteRelay implements AutoCloseable {
    private static final int CHUNK_BYTES = 16 * 1024;

    private final InetSocketAddress target;
    private final ServerSocket listener;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final AtomicLong toTarget = new AtomicLong();
    private final AtomicLong fromTarget = new AtomicLong();
    private final AtomicLong connections = new AtomicLong();

    /** Listens on a port that the system chooses and joins each connection to a new one to the target. */
    ByteRelay(InetSocketAddress target) throws IOException {
        this.target = target;
        this.listener = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
        start(this::accept);
    }

    /** Where it listens. */
    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** Bytes that clients have sent to the target. */
    long toTarget() {
        return toTarget.get();
    }

    /** Bytes that the target has sent to clients. */
    long fromTarget() {
        return fromTarget.get();
    }

    /** Connections accepted so far. */
    long connections() {
        return connections.get();
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "byte-relay");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket client = listener.accept();
                connections.incrementAndGet();
                Socket server = new Socket(target.getAddress(), target.getPort());
                client.setTcpNoDelay(true);
                server.setTcpNoDelay(true);
                open.add(client);
                open.add(server);
                start(() -> copy(client, server, toTarget));
                start(() -> copy(server, client, fromTarget));
            } catch (IOException e) {
                // the listener was closed, or the target refuses: the client sees its connection end
            }
        }
    }

    private void copy(Socket from, Socket to, AtomicLong counter) {
        byte[] chunk = new byte[CHUNK_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            int count = in.read(chunk);
            while (count >= 0) {
                counter.addAndGet(count);
                out.write(chunk, 0, count);
                count = in.read(chunk);
            }
        } catch (IOException e) {
            // one side has ended: both are closed below
        } finally {
            close(from);
            close(to);
        }
    }

    private void close(Socket socket) {
        open.remove(socket);
        try {
            socket.close();
        } catch (IOException e) {
            // it is of no more use either way
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        Set.copyOf(open).forEach(this::close);
    }
}
