package stoatrill.standins.net;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import stoatrill.standins.model.Node;

/**
 * A record node on a socket: version 3 of PostgreSQL's protocol, any user, simple queries. Reads and writes go
 * through the model of the node; settings and empty queries are answered at once. Belongs to the model's thread.
 */
public final class PgNode implements RealTime.Ready {
    private static final int LONGEST = 256 * 1024;
    private static final int BUFFER = 16 * 1024;
    private static final double DEFAULT_WORK = 5_000_000;
    private static final long DEFAULT_WAIT = 10_000_000_000L;
    private static final Pattern QUOTED = Pattern.compile("'([^']*+(?:''[^']*+)*+)'");
    private static final Pattern PART = Pattern.compile("([a-z]+)=([^,\\s*]+)");

    private final RealTime time;
    private final Node node;
    private final Records records;
    private final Map<String, Double> work;
    private final ByteBuffer buffer = ByteBuffer.allocate(BUFFER);
    private final Set<Session> sessions = new LinkedHashSet<>();
    private InetSocketAddress address;
    private ServerSocketChannel listener;

    /** Keeps the port while the process is down; null while it is up. */
    private SocketChannel portKeeper;

    /** {@code work} has the mean work of each class of requests, in nanoseconds. */
    PgNode(RealTime time, Node node, Records records, Map<String, Double> work) throws IOException {
        this.time = time;
        this.node = node;
        this.records = records;
        this.work = work;
        this.address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        listen();
        this.address = (InetSocketAddress) listener.getLocalAddress();
    }

    public InetSocketAddress address() {
        return address;
    }

    public Node node() {
        return node;
    }

    private void listen() throws IOException {
        listener = ServerSocketChannel.open();
        listener.configureBlocking(false);
        listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        listener.bind(address);
        listener.register(time.selector(), SelectionKey.OP_ACCEPT, this);
    }

    /**
     * Its process ends: nobody listens any more, and connections are reset. The port stays bound, so that no other
     * process gets it before the start.
     */
    void kill() throws IOException {
        node.stop(Node.State.DOWN);
        listener.close();
        // A registered listener is closed by the next selection only.
        time.selector().selectNow();
        portKeeper = SocketChannel.open();
        portKeeper.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        portKeeper.bind(address);
        for (Session s : List.copyOf(sessions)) {
            s.reset();
        }
    }

    /** Its process starts again, at the same address. */
    void start() throws IOException {
        if (!listener.isOpen()) {
            listen();
            portKeeper.close();
        }
        node.start();
    }

    @Override
    public void ready(SelectionKey key) throws IOException {
        SocketChannel channel;
        while ((channel = listener.accept()) != null) {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            Session s = new Session(channel);
            sessions.add(s);
            channel.register(time.selector(), SelectionKey.OP_READ, s);
        }
    }

    @Override
    public void failed() {}

    /** One connection. Its commands are worked on one after another. */
    private final class Session implements RealTime.Ready {
        private final SocketChannel channel;
        private ByteArrayOutputStream in = new ByteArrayOutputStream();
        private final List<ByteBuffer> out = new ArrayList<>();
        private boolean started;
        private boolean counted;
        private boolean busy;
        private boolean parsing;
        private boolean ended;

        Session(SocketChannel channel) {
            this.channel = channel;
        }

        @Override
        public void ready(SelectionKey key) throws IOException {
            if (key.isReadable()) {
                buffer.clear();
                int n = channel.read(buffer);
                if (n < 0) {
                    end();
                    return;
                }
                in.write(buffer.array(), 0, n);
                if (in.size() > LONGEST) {
                    end();
                    return;
                }
                parse();
            }
            if (!ended) {
                flush();
            }
        }

        @Override
        public void failed() {
            end();
        }

        private void end() {
            if (!ended) {
                ended = true;
                sessions.remove(this);
                if (counted) {
                    node.disconnected();
                }
                try {
                    channel.close();
                } catch (IOException e) {
                    // it is of no more use either way
                }
            }
        }

        void reset() throws IOException {
            channel.setOption(StandardSocketOptions.SO_LINGER, 0);
            end();
        }

        private void parse() throws IOException {
            if (node.state() == Node.State.HUNG) {
                time.at(time.now() + 50_000_000L, this::again);
                return;
            }
            parsing = true;
            try {
                messages();
            } finally {
                parsing = false;
            }
        }

        private void messages() throws IOException {
            ByteBuffer all = ByteBuffer.wrap(in.toByteArray());
            while (!busy && !ended) {
                int head = started ? 5 : 4;
                if (all.remaining() < head) {
                    break;
                }
                int length = all.getInt(all.position() + head - 4);
                if (length < 4 || length > LONGEST) {
                    error("FATAL", "08P01", "a message's length is out of range");
                    end();
                    return;
                }
                if (all.remaining() < length + head - 4) {
                    break;
                }
                int type = started ? all.get() : 0;
                all.getInt();
                byte[] body = new byte[length - 4];
                all.get(body);
                if (started) {
                    command(type, body);
                } else {
                    startup(body);
                }
            }
            in = new ByteArrayOutputStream();
            in.write(all.array(), all.position(), all.remaining());
        }

        private void again() {
            try {
                if (!ended) {
                    parse();
                    flush();
                }
            } catch (IOException e) {
                end();
            }
        }

        private void startup(byte[] body) throws IOException {
            int code = body.length < 4 ? 0 : ByteBuffer.wrap(body).getInt();
            if (code == 80877103 || code == 80877104) {
                out.add(ByteBuffer.wrap(new byte[] {'N'}));
            } else if (code >>> 16 != 3) {
                end(); // a cancel, or a protocol that is not spoken
            } else if (!node.connect()) {
                error("FATAL", "53300", "too many connections, or shutting down");
                flush();
                end();
            } else {
                counted = true;
                started = true;
                message('R', new byte[4]);
                parameter("server_version", "15.0 (stand-in)");
                parameter("server_encoding", "UTF8");
                parameter("client_encoding", "UTF8");
                parameter("DateStyle", "ISO, MDY");
                parameter("TimeZone", "UTC");
                parameter("integer_datetimes", "on");
                parameter("standard_conforming_strings", "on");
                message('K', new byte[8]);
                ready();
            }
        }

        private void command(int type, byte[] body) throws IOException {
            switch (type) {
                case 'Q' -> query(new String(body, 0, Math.max(0, body.length - 1), StandardCharsets.UTF_8));
                case 'X' -> end();
                case 'S' -> ready();
                default -> error("ERROR", "0A000", "only simple queries are spoken here");
            }
        }

        private void query(String text) throws IOException {
            String sql = text.strip();
            String upper = sql.toUpperCase(Locale.ROOT);
            if (sql.isEmpty() || sql.equals(";")) {
                message('I', new byte[0]);
                ready();
            } else if (upper.startsWith("SET ") || upper.startsWith("RESET") || upper.startsWith("DISCARD")) {
                complete(upper.split("\\s+", 0)[0]);
                ready();
            } else if (upper.startsWith("SHOW USAGE")) {
                node.probe((outcome, note) -> {
                    row(report(note).getBytes(StandardCharsets.US_ASCII), 25, 0);
                    complete("SHOW");
                });
                ready();
            } else if (upper.equals("SELECT 1") || upper.equals("SELECT 1;")) {
                row("1".getBytes(StandardCharsets.US_ASCII), 25, 0);
                complete("SELECT 1");
                ready();
            } else if (upper.startsWith("SELECT") || upper.startsWith("INSERT")) {
                record(sql, upper.startsWith("INSERT"));
            } else {
                error("ERROR", "0A000", "only SELECT and INSERT of records are known here");
                ready();
            }
        }

        /** A read or a write of a record: it takes its turn in the node and is answered when that is done. */
        private void record(String sql, boolean write) throws IOException {
            List<String> literals = new ArrayList<>();
            Matcher quoted = QUOTED.matcher(sql);
            while (quoted.find()) {
                literals.add(quoted.group(1).replace("''", "'"));
            }
            if (literals.size() < (write ? 2 : 1)) {
                error(
                        "ERROR",
                        "42601",
                        "write SELECT v FROM records WHERE k = '…' or INSERT INTO records (k, v) "
                                + "VALUES ('…', '…') RETURNING v");
                ready();
                return;
            }
            Map<String, String> comment = new HashMap<>();
            int open = sql.lastIndexOf("/*");
            Matcher parts = PART.matcher(open < 0 ? "" : sql.substring(open));
            while (parts.find()) {
                comment.put(parts.group(1), parts.group(2));
            }
            String key = literals.get(0);
            long wait = comment.containsKey("d") && comment.get("d").matches("\\d{1,12}")
                    ? Long.parseLong(comment.get("d")) * 1_000_000L
                    : DEFAULT_WAIT;
            double takes = work.getOrDefault(comment.getOrDefault("c", ""), DEFAULT_WORK);
            long age = Math.max(0, (time.now() - node.position()) / 1_000_000L);
            boolean bounded = "recent-read".equals(comment.get("c"));
            busy = true;
            node.submit(write, takes, time.now() + wait, (outcome, note) -> {
                String id = comment.get("id");
                if (write && outcome == Node.Outcome.OK) {
                    records.put(key, note.position(), value(literals.get(1)));
                    if (id != null) {
                        records.ran(id); // it ran, whether or not anybody is left to be told
                    }
                }
                if (ended) {
                    return;
                }
                busy = false;
                try {
                    if (outcome == Node.Outcome.OK && bounded && id != null) {
                        records.read(id, age);
                    }
                    answer(outcome, note, write, key, write ? value(literals.get(1)) : null);
                    if (!parsing) { // else the reply came at once, and the loop that asked goes on
                        parse();
                        flush();
                    }
                } catch (IOException e) {
                    end();
                }
            });
        }

        private void answer(Node.Outcome outcome, Node.Note note, boolean write, String key, byte[] written) {
            switch (outcome) {
                case OK -> {
                    row(write ? written : records.get(key, note.position()), 17, 1);
                    complete(write ? "INSERT 0 1" : "SELECT 1");
                }
                case MISS -> error("ERROR", "25006", "cannot write: this is a replica");
                case FULL -> error("ERROR", "53300", "no room, or draining");
                default -> error("ERROR", "XX000", "failed here");
            }
            parameter("server_role", note.primary() ? "writer" : "reader");
            parameter("commit_clock", Long.toString(Math.max(0, note.position() / 1_000_000L)));
            parameter("usage", report(note));
            ready();
        }

        private byte[] value(String literal) {
            if (literal.startsWith("\\x") && literal.length() % 2 == 0 && literal.matches("\\\\x[0-9a-fA-F]*")) {
                return HexFormat.of().parseHex(literal.substring(2));
            }
            return literal.getBytes(StandardCharsets.UTF_8);
        }

        private String report(Node.Note note) {
            Node.Report r = note.report();
            return String.format(
                    Locale.ROOT,
                    "x0=%.6f,x1=%d,q=%d",
                    Math.max(0, r.position()) / 1e9,
                    r.primary() ? 1 : 0,
                    r.waiting());
        }

        // ---- Messages ----

        private void row(byte[] value, int type, int format) {
            message(
                    'T',
                    ByteBuffer.allocate(22)
                            .putShort((short) 1)
                            .put((byte) 'v')
                            .put((byte) 0)
                            .putInt(0)
                            .putShort((short) 0)
                            .putInt(type)
                            .putShort((short) -1)
                            .putInt(-1)
                            .putShort((short) format)
                            .array());
            message(
                    'D',
                    ByteBuffer.allocate(6 + value.length)
                            .putShort((short) 1)
                            .putInt(value.length)
                            .put(value)
                            .array());
        }

        private void complete(String tag) {
            message('C', (tag + "\0").getBytes(StandardCharsets.US_ASCII));
        }

        private void parameter(String name, String value) {
            message('S', (name + "\0" + value + "\0").getBytes(StandardCharsets.UTF_8));
        }

        private void error(String severity, String state, String text) {
            message(
                    'E',
                    ("S" + severity + "\0V" + severity + "\0C" + state + "\0M" + text + "\0\0")
                            .getBytes(StandardCharsets.UTF_8));
        }

        private void ready() {
            message('Z', new byte[] {'I'});
        }

        private void message(char type, byte[] body) {
            out.add(ByteBuffer.allocate(5 + body.length)
                    .put((byte) type)
                    .putInt(4 + body.length)
                    .put(body)
                    .flip());
        }

        private void flush() throws IOException {
            while (!ended && !out.isEmpty()) {
                ByteBuffer[] all = out.toArray(new ByteBuffer[0]);
                channel.write(all);
                out.removeIf(b -> !b.hasRemaining());
                if (!out.isEmpty()) {
                    channel.register(time.selector(), SelectionKey.OP_READ | SelectionKey.OP_WRITE, this);
                    return;
                }
            }
            if (!ended) {
                channel.register(time.selector(), SelectionKey.OP_READ, this);
            }
        }
    }
}
