package stoatrill.lab.flood;

import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;

/** One connection of a probe, which sends its startup message and its first read together. For one thread. */
final class ProbeConnection implements AutoCloseable {
    private static final int PATIENCE_MILLIS = 10_000;

    private final Socket socket;
    private final DataInputStream input;
    private boolean isStarted;
    private boolean hasEnded;

    ProbeConnection(int port) throws IOException {
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(PATIENCE_MILLIS);
        socket.setTcpNoDelay(true);
        input = new DataInputStream(socket.getInputStream());
    }

    /** Whether the router has ended the connection. */
    boolean hasEnded() {
        return hasEnded;
    }

    /**
     * Sends one request and reads its answer, a value or an error.
     *
     * @return false if the router closed the connection without an answer
     * @throws java.net.SocketTimeoutException if nothing comes for ten seconds
     * @throws IOException if the answer breaks off
     */
    boolean ask(byte[] request) throws IOException {
        try {
            if (!isStarted) {
                socket.getOutputStream().write(WireMessages.startup("svc", ""));
            }
            socket.getOutputStream().write(request);
            if (!isStarted) {
                awaitReady();
                isStarted = true;
            }
            if (!hasEnded) {
                awaitReady();
            }
            return true;
        } catch (EOFException | SocketException e) {
            hasEnded = true;
            return false;
        }
    }

    /** Reads messages up to ReadyForQuery, or up to a fatal error, which ends the connection. */
    private void awaitReady() throws IOException {
        int type;
        do {
            type = input.readUnsignedByte();
            byte[] body = input.readNBytes(input.readInt() - Integer.BYTES);
            hasEnded = type == 'E' && body.length > 2 && body[0] == 'S' && body[1] == 'F';
        } while (type != 'Z' && !hasEnded);
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // it is of no more use either way
        }
    }
}
