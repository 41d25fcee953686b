package stoatrill.lab.scale.footprint;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** One client's connection to a router. For the crowd's thread alone. */
final class CrowdClient {
    private static final double NANOS_A_MILLI = 1e6;
    private static final String REFUSED_CODE = "C53300\0";

    private final SocketChannel channel;
    private final FrameReader in = new FrameReader(true);
    private final long began = System.nanoTime();
    private boolean greeted;
    private long firstAnswer;

    /** What a client has seen. */
    enum Event {
        /** It has the answer to its last query, if it sent one, and may send the next. */
        RESTS,
        ANSWERED,
        REFUSED,
        FAILED
    }

    private CrowdClient(SocketChannel channel) {
        this.channel = channel;
    }

    /** Begins to connect. */
    static CrowdClient connect(Selector selector, InetSocketAddress router) throws IOException {
        SocketChannel channel = SocketChannel.open();
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        CrowdClient client = new CrowdClient(channel);
        channel.connect(router);
        channel.register(selector, SelectionKey.OP_CONNECT, client);
        return client;
    }

    /** Does what the selector found possible. */
    List<Event> ready(SelectionKey key, ByteBuffer buffer) throws IOException {
        if (key.isConnectable()) {
            channel.finishConnect();
            key.interestOps(SelectionKey.OP_READ);
            write(PgFrames.startup());
            return List.of();
        }
        buffer.clear();
        if (channel.read(buffer) < 0) {
            throw new IOException("the router has ended the connection");
        }
        buffer.flip();
        in.append(buffer);
        return events();
    }

    private List<Event> events() throws IOException {
        List<Event> events = new ArrayList<>();
        Optional<FrameReader.Frame> frame = in.next();
        while (frame.isPresent()) {
            switch (frame.get().type()) {
                case 'D' -> events.add(Event.ANSWERED);
                case 'E' -> events.add(frame.get().body().contains(REFUSED_CODE) ? Event.REFUSED : Event.FAILED);
                case 'Z' -> rests(events);
                default -> {} // what comes before a row, and parameters
            }
            frame = in.next();
        }
        return events;
    }

    private void rests(List<Event> events) throws IOException {
        if (!greeted) {
            greeted = true;
            write(PgFrames.query("")); // its first statement, an empty query
            return;
        }
        firstAnswer = firstAnswer == 0 ? System.nanoTime() : firstAnswer;
        events.add(Event.RESTS);
    }

    /** Sends a statement. */
    void ask(String sql) throws IOException {
        write(PgFrames.query(sql));
    }

    private void write(byte[] bytes) throws IOException {
        if (channel.write(ByteBuffer.wrap(bytes)) < bytes.length) {
            throw new IOException("the router does not read");
        }
    }

    /** Ends the connection. */
    void close() {
        try {
            channel.close();
        } catch (IOException e) {
            // it is of no more use either way
        }
    }

    /** Whether its connection has ended. */
    boolean ended() {
        return !channel.isOpen();
    }

    /** Whether it had its first answer and is still connected. */
    boolean served() {
        return firstAnswer != 0 && !ended();
    }

    /** From the begin of its connect to its first answer. */
    double firstAnswerMillis() {
        return (firstAnswer - began) / NANOS_A_MILLI;
    }
}
