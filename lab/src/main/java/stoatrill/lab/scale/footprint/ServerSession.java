package stoatrill.lab.scale.footprint;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** One connection from a router to a stand-in server. For the server farm's thread alone. */
final class ServerSession {
    private final SocketChannel channel;
    private final boolean primary;
    private final FrameReader in = new FrameReader(false);

    /** What a router asked. */
    enum Event {
        /** An empty query, which synchronizes the connection; answered already. */
        SYNCHRONIZATION,
        /** Answered already. */
        PROBE,
        /** Still to be answered by {@link #answer}. */
        STATEMENT
    }

    ServerSession(SocketChannel channel, boolean primary) {
        this.channel = channel;
        this.primary = primary;
    }

    SocketChannel channel() {
        return channel;
    }

    /** Takes what came in; answers all but statements. */
    List<Event> take(ByteBuffer bytes) throws IOException {
        in.append(bytes);
        List<Event> events = new ArrayList<>();
        Optional<FrameReader.Frame> frame = in.next();
        while (frame.isPresent()) {
            switch (frame.get().type()) {
                case 0 -> write(PgFrames.welcome());
                case 'Q' -> events.add(query(frame.get().body()));
                case 'X' -> channel.close();
                default ->
                    throw new IOException(
                            "a router sent a message of type " + frame.get().type());
            }
            frame = in.next();
        }
        return events;
    }

    private Event query(String sql) throws IOException {
        if (sql.isEmpty()) {
            write(PgFrames.join(PgFrames.emptyQueryResponse(), PgFrames.ready()));
            return Event.SYNCHRONIZATION;
        }
        if (sql.regionMatches(true, 0, "SHOW USAGE", 0, "SHOW USAGE".length())) {
            write(PgFrames.join(PgFrames.row(report(), "SHOW"), PgFrames.ready()));
            return Event.PROBE;
        }
        return Event.STATEMENT;
    }

    /** Answers the statement that came last. */
    void answer() throws IOException {
        write(PgFrames.join(
                PgFrames.row("21.5", "SELECT 1"),
                PgFrames.parameter("server_role", primary ? "writer" : "reader"),
                PgFrames.parameter("commit_clock", Long.toString(System.currentTimeMillis())),
                PgFrames.parameter("usage", report()),
                PgFrames.ready()));
    }

    /** The load report: its position in seconds, whether it is the primary, and how many wait. */
    private String report() {
        return String.format(Locale.ROOT, "x0=%.6f,x1=%d,q=0", System.currentTimeMillis() / 1e3, primary ? 1 : 0);
    }

    /** An answer is far smaller than a socket's buffer: one that isn't taken whole is a fault. */
    private void write(byte[] bytes) throws IOException {
        if (channel.write(ByteBuffer.wrap(bytes)) < bytes.length) {
            throw new IOException("a router does not read its answers");
        }
    }
}
