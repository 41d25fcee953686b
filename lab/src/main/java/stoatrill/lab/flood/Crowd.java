package stoatrill.lab.flood;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Hundreds of clients that are connected at once and do the same; one thread serves them all in turns. They read what
 * they are sent, and don't come back once the router has ended their connection. May be closed by any thread.
 */
public final class Crowd implements AutoCloseable {
    private static final int READ_BUFFER_BYTES = 64 * 1024;
    private static final int ID_AREA_LENGTH = 200;
    private static final int ID_DIGIT_COUNT = 5;

    private final CrowdKind kind;
    private final InetSocketAddress address;
    private final int clientCount;
    private final byte[] input;
    private final ByteBuffer readBuffer = ByteBuffer.allocate(READ_BUFFER_BYTES);
    private final Thread thread;
    private volatile boolean closed;
    private volatile boolean isEverythingSent;

    private static final class Member {
        final SocketChannel channel;
        final ByteBuffer startup;
        final ByteBuffer input;

        Member(SocketChannel channel, byte[] startup, byte[] input) {
            this.channel = channel;
            this.startup = ByteBuffer.wrap(startup);
            this.input = ByteBuffer.wrap(input);
        }
    }

    /** Connects so many clients to the router that listens on a port of the loopback address. */
    public Crowd(CrowdKind kind, int clientCount, int port) {
        this.kind = kind;
        this.clientCount = clientCount;
        this.address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        this.input = kind.input();
        this.thread = new Thread(this::run, "crowd-" + kind);
        thread.setDaemon(true);
        thread.start();
    }

    /** Whether every client has sent what it sends, or was ended by the router. */
    public boolean isEverythingSent() {
        return isEverythingSent;
    }

    private void run() {
        List<Member> members = new ArrayList<>();
        try {
            for (int i = 0; i < clientCount && !closed; i++) {
                Member member = connect(i);
                if (member != null) {
                    members.add(member);
                }
            }
            while (!closed) {
                members.removeIf(member -> !advance(member));
                isEverythingSent = members.stream().noneMatch(member -> member.input.hasRemaining());
                Thread.onSpinWait();
            }
        } finally {
            members.forEach(Crowd::end);
        }
    }

    private Member connect(int number) {
        try {
            SocketChannel channel = SocketChannel.open(address);
            channel.configureBlocking(false);
            return new Member(channel, kind.startup(), kind == CrowdKind.HELD_BACK_REPLIES ? withId(number) : input);
        } catch (IOException e) {
            return null;
        }
    }

    /** The input with an id that no other client has. */
    private byte[] withId(int number) {
        byte[] own = input.clone();
        String text = new String(input, 0, ID_AREA_LENGTH, StandardCharsets.ISO_8859_1);
        int digits = text.indexOf(CrowdKind.UNIQUE_ID) + CrowdKind.UNIQUE_ID.length() - ID_DIGIT_COUNT;
        byte[] id =
                String.format(Locale.ROOT, "%0" + ID_DIGIT_COUNT + "d", number).getBytes(StandardCharsets.US_ASCII);
        System.arraycopy(id, 0, own, digits, id.length);
        return own;
    }

    /** Reads what a client was sent and writes its next piece; false once its connection has ended. */
    private boolean advance(Member member) {
        try {
            readBuffer.clear();
            if (member.channel.read(readBuffer) < 0) {
                end(member);
                return false;
            }
            member.channel.write(member.startup);
            if (!member.startup.hasRemaining()) {
                writePiece(member);
            }
            return true;
        } catch (IOException e) {
            end(member);
            return false;
        }
    }

    private void writePiece(Member member) throws IOException {
        ByteBuffer source = member.input;
        int end = source.limit();
        source.limit(source.position() + Math.min(kind.pieceBytes(), source.remaining()));
        member.channel.write(source);
        source.limit(end);
    }

    private static void end(Member member) {
        try {
            member.channel.close();
        } catch (IOException e) {
            // it is of no more use either way
        }
    }

    /** Ends all connections; returns once they are closed. */
    @Override
    public void close() {
        closed = true;
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
