import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A record node: any user, one statement at a time on a connection, answered by the case. */
final class Node implements AutoCloseable {
    private static final Pattern PART = Pattern.compile("([a-z]+)=([^,\\s*]+)");

    /** A statement that has arrived whole. */
    static final class Query {
        final String text;
        final boolean isWrite;
        final Map<String, String> fields = new HashMap<>();
        final OutputStream out;
        final Socket socket;

        Query(String text, Socket socket) throws IOException {
            this.text = text;
            this.isWrite = text.startsWith("INSERT");
            this.socket = socket;
            this.out = socket.getOutputStream();
            Matcher parts = PART.matcher(text.substring(Math.max(0, text.lastIndexOf("/*"))));
            while (parts.find()) {
                fields.put(parts.group(1), parts.group(2));
            }
        }

        String id() {
            return fields.getOrDefault("id", "-");
        }
    }

    /** Works on a statement and answers it, in the thread of its connection. */
    interface Work {
        void run(Node node, Query query) throws IOException, InterruptedException;
    }

    final String uid;
    volatile boolean isPrimary;
    private final ServerSocket listener;
    private final java.util.Set<Socket> sessions = java.util.concurrent.ConcurrentHashMap.newKeySet();
    private final Work work;
    private final Record record;

    Node(String uid, boolean isPrimary, Record record, Work work) throws IOException {
        this.uid = uid;
        this.isPrimary = isPrimary;
        this.record = record;
        this.work = work;
        this.listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Cases.daemon("node " + uid, () -> {
            while (true) {
                Socket socket = listener.accept();
                sessions.add(socket);
                Cases.daemon("session " + uid, () -> serve(socket));
            }
        });
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream(), 1 << 16));
            OutputStream out = socket.getOutputStream();
            Wire.read(in, false);
            out.write(Wire.join(
                    Wire.message('R', new byte[4]), Wire.message('K', new byte[8]), Wire.ready()));
            while (true) {
                Wire.Message message = Wire.read(in, true);
                if (message.type == 'X') {
                    return;
                }
                String text = message.text();
                if (text.isBlank()) {
                    out.write(Wire.join(Wire.message('I', new byte[0]), Wire.ready()));
                } else if (text.startsWith("SHOW usage")) {
                    out.write(Wire.join(
                            Wire.row(report().getBytes(StandardCharsets.US_ASCII), false, "SHOW"), Wire.ready()));
                } else {
                    Query query = new Query(text, socket);
                    record.line("%s got %s", uid, text.length() > 200 ? text.substring(text.lastIndexOf("/*")) : text);
                    work.run(this, query);
                }
            }
        }
    }

    /** The notes that end every answer. */
    byte[] notes() {
        long now = System.currentTimeMillis();
        return Wire.join(
                Wire.parameter("server_role", isPrimary ? "writer" : "reader"),
                Wire.parameter("commit_clock", Long.toString(isPrimary ? now : now - 10)),
                Wire.parameter("usage", report()),
                Wire.ready());
    }

    private String report() {
        double now = System.currentTimeMillis() / 1e3;
        return String.format(Locale.ROOT, "x0=%.3f,x1=%d,q=0", isPrimary ? now : now - 0.01, isPrimary ? 1 : 0);
    }

    /** The answer that serves a statement with a value. */
    byte[] served(Query query, byte[] value) {
        return Wire.join(Wire.row(value, true, query.isWrite ? "INSERT 0 1" : "SELECT 1"), notes());
    }

    /** Its process dies: nobody listens any more, and connections are reset. */
    void kill() throws IOException {
        listener.close();
        for (Socket socket : sessions) {
            if (!socket.isClosed()) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
