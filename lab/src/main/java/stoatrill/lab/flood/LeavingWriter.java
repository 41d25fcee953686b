package stoatrill.lab.flood;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

/** A client that sends many writes at once, and may leave without reading their answers. For one thread. */
public final class LeavingWriter implements AutoCloseable {
    private static final int PATIENCE_MILLIS = 20_000;

    /** How a client leaves. */
    public enum Leave {
        /** Closes its connection in order; what it has not read makes that a reset later. */
        CLOSE,
        /** Resets its connection at once. */
        RESET
    }

    private final Socket socket;

    /** Connects to the router that listens on a port of the loopback address. */
    public LeavingWriter(int port) throws IOException {
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(PATIENCE_MILLIS);
        socket.getOutputStream().write(WireMessages.startup("svc", ""));
    }

    /** The ids of so many writes. */
    public static List<String> ids(String prefix, int count) {
        return IntStream.range(0, count).mapToObj(i -> prefix + "-" + i).toList();
    }

    /** Sends a write for each id, each with a wait in milliseconds. */
    public void send(List<String> ids, long waitMillis) throws IOException {
        for (String id : ids) {
            socket.getOutputStream().write(WireMessages.write(id, waitMillis));
        }
    }

    /** Reads so many answers; returns the SQLSTATE of each, empty where it was a row. */
    public List<String> readAnswers(int count) throws IOException {
        DataInputStream input = new DataInputStream(socket.getInputStream());
        List<String> states = new ArrayList<>();
        skipToReady(input);
        while (states.size() < count) {
            states.add(skipToReady(input));
        }
        return states;
    }

    /** Reads messages up to ReadyForQuery; returns the SQLSTATE of an error among them, empty if there is none. */
    private static String skipToReady(DataInputStream input) throws IOException {
        String state = "";
        int type;
        do {
            type = input.readUnsignedByte();
            byte[] body = input.readNBytes(input.readInt() - Integer.BYTES);
            state = type == 'E' ? sqlState(body) : state;
        } while (type != 'Z');
        return state;
    }

    private static String sqlState(byte[] errorBody) {
        String text = new String(errorBody, StandardCharsets.US_ASCII);
        for (String field : text.split("\0", 0)) {
            if (field.startsWith("C")) {
                return field.substring(1);
            }
        }
        return "";
    }

    /** Ends the connection, whatever is unread. */
    public void leave(Leave how) throws IOException {
        if (how == Leave.RESET) {
            socket.setSoLinger(true, 0);
        }
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
