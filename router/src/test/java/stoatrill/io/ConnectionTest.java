package stoatrill.io;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What the calls on a connection come to, where the system makes them fail or the peer has gone. */
@Timeout(60)
class ConnectionTest {
    private static final int INTERRUPTED = -3;

    /** What the next calls give in place of what the system says: a count, or an exception to throw. */
    private final ArrayDeque<Object> script = new ArrayDeque<>();

    private final List<SocketChannel> opened = new ArrayList<>();
    private final SystemCalls scripted = new ForwardedCalls(SystemCalls.PLATFORM) {
        @Override
        public int read(SocketChannel channel, ByteBuffer into) throws IOException {
            return script.isEmpty() ? super.read(channel, into) : next();
        }

        @Override
        public int write(SocketChannel channel, ByteBuffer from) throws IOException {
            return script.isEmpty() ? super.write(channel, from) : next();
        }

        @Override
        public SocketChannel open() throws IOException {
            SocketChannel channel = super.open();
            opened.add(channel);
            return channel;
        }
    };
    private ServerSocketChannel listener;
    private Poller poller;
    private Connection connection;
    private SocketChannel peer;

    private int next() throws IOException {
        Object next = script.poll();
        if (next instanceof IOException failure) {
            throw failure;
        }
        return (int) next;
    }

    @BeforeEach
    void connect() throws IOException {
        listener = ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        poller = new Poller(scripted);
        connection = poller.connect((InetSocketAddress) listener.getLocalAddress(), this)
                .value();
        peer = listener.accept();
        while (connection.finishConnect().outcome() != Outcome.PROGRESS) {
            poller.select(1);
        }
    }

    @AfterEach
    void close() throws IOException {
        connection.close();
        poller.close();
        peer.close();
        listener.close();
    }

    private Outcome read() {
        return connection.read(ByteBuffer.allocate(16)).outcome();
    }

    @Test
    void anInterruptedReadIsNoEnd() throws IOException {
        peer.write(ByteBuffer.wrap(new byte[3]));
        poller.select(1000);
        script.add(INTERRUPTED);
        assertEquals(3, connection.read(ByteBuffer.allocate(16)).bytes());
        for (int n = 0; n < 100; n++) {
            script.add(INTERRUPTED);
        }
        assertEquals(Outcome.NO_RESOURCE, read(), "interrupted for ever: ask again later");
        script.clear();
        assertEquals(Outcome.NOTHING_NOW, read());
    }

    @Test
    void anInterruptedWriteWritesNothingAndIsMadeAgain() {
        script.add(INTERRUPTED);
        assertEquals(5, connection.write(ByteBuffer.wrap(new byte[5])).bytes());
        for (int n = 0; n < 100; n++) {
            script.add(INTERRUPTED);
        }
        IoResult result = connection.write(ByteBuffer.wrap(new byte[5]));
        assertEquals(new IoResult(Outcome.NO_RESOURCE, 0, "interrupted"), result);
    }

    @Test
    void oneFailureIsNotTakenForTheEnd() throws IOException {
        for (String said : List.of("Cannot allocate memory", "No buffer space available", "Input/output error")) {
            script.add(new IOException(said));
            assertEquals(Outcome.NOTHING_NOW, read(), said);
        }
        script.add(new IOException("Broken pipe"));
        assertEquals(5, connection.write(ByteBuffer.wrap(new byte[5])).bytes());
    }

    @Test
    void theEndIsToldOnceThePeerHasSaidAll() throws IOException {
        peer.write(ByteBuffer.wrap(new byte[3]));
        peer.close();
        poller.select(1000);
        assertEquals(Outcome.PROGRESS, read());
        assertEquals(Outcome.END_OF_STREAM, read());
    }

    @Test
    void aResetIsNoEndInOrder() throws IOException {
        peer.setOption(StandardSocketOptions.SO_LINGER, 0);
        peer.close();
        while (read() == Outcome.NOTHING_NOW) {
            poller.select(1);
        }
        assertEquals(Outcome.BROKEN, read());
        assertEquals(
                Outcome.BROKEN, connection.write(ByteBuffer.wrap(new byte[5])).outcome());
    }

    @Test
    void theEndBehindAnErrorIsBroken() {
        script.add(new IOException("Connection timed out"));
        script.add(-1);
        assertEquals(Outcome.BROKEN, read());
    }

    @Test
    void whatIsClosedIsFatal() {
        connection.close();
        assertEquals(Outcome.FATAL, read());
        assertFalse(connection.quiet());
    }

    @Test
    void aConnectionIsQuietOnlyIfThatIsCertain() throws IOException {
        assertTrue(connection.quiet());
        for (int n = 0; n < 100; n++) {
            script.add(INTERRUPTED);
        }
        assertFalse(connection.quiet());
        script.clear();
        peer.write(ByteBuffer.wrap(new byte[1]));
        poller.select(1000);
        assertFalse(connection.quiet());
    }

    /** The system takes no registration for a while: what comes in is told all the same, once it takes them again. */
    @Test
    void aRegistrationThatTheSystemLostIsMadeAgain() throws IOException {
        connection.interest(SelectionKey.OP_CONNECT, false);
        connection.interest(SelectionKey.OP_READ, true);
        long repairs = poller.repairs();
        while (poller.repairs() == repairs) {
            poller.found().clear(); // whoever owns it is not told
            poller.select(1);
        }
        peer.write(ByteBuffer.wrap(new byte[1]));
        while (!connection.isReadable()) {
            poller.found().clear();
            poller.select(10);
        }
        connection.found();
        assertEquals(Outcome.PROGRESS, read());
    }

    @Test
    void everyConnectionSendsSmallWritesAtOnceAndNeverBlocks() throws IOException {
        Connection adopted = poller.adopt(peer, this).value();
        for (SocketChannel channel : List.of(opened.get(0), peer)) {
            assertTrue(channel.getOption(StandardSocketOptions.TCP_NODELAY));
            assertFalse(channel.isBlocking());
        }
        adopted.close();
    }
}
