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

/** Tests the outcomes of calls on a connection when the system makes them fail or the peer has gone. */
@Timeout(60)
class ConnectionTest {
    private static final int INTERRUPTED_CODE = -3;

    /** Results of the next calls in place of those of the system: a count, or an exception to throw. */
    private final ArrayDeque<Object> scriptedResults = new ArrayDeque<>();

    private final List<SocketChannel> openedChannels = new ArrayList<>();
    private final SystemCalls scriptedCalls = new ForwardingCalls(SystemCalls.PLATFORM) {
        @Override
        public int read(SocketChannel channel, ByteBuffer into) throws IOException {
            return scriptedResults.isEmpty() ? super.read(channel, into) : nextScriptedResult();
        }

        @Override
        public int write(SocketChannel channel, ByteBuffer from) throws IOException {
            return scriptedResults.isEmpty() ? super.write(channel, from) : nextScriptedResult();
        }

        @Override
        public SocketChannel openSocket() throws IOException {
            SocketChannel channel = super.openSocket();
            openedChannels.add(channel);
            return channel;
        }
    };
    private ServerSocketChannel listener;
    private Poller poller;
    private Connection connection;
    private SocketChannel peer;

    private int nextScriptedResult() throws IOException {
        Object result = scriptedResults.poll();
        if (result instanceof IOException failure) {
            throw failure;
        }
        return (int) result;
    }

    @BeforeEach
    void connect() throws IOException {
        listener = ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        poller = new Poller(scriptedCalls);
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
    void interruptedReadIsNotEndOfStream() throws IOException {
        peer.write(ByteBuffer.wrap(new byte[3]));
        poller.select(1000);
        scriptedResults.add(INTERRUPTED_CODE);
        assertEquals(3, connection.read(ByteBuffer.allocate(16)).bytes());
        for (int n = 0; n < 100; n++) {
            scriptedResults.add(INTERRUPTED_CODE);
        }
        assertEquals(Outcome.TEMPORARY_FAILURE, read(), "interrupted every time: retry later");
        scriptedResults.clear();
        assertEquals(Outcome.WOULD_BLOCK, read());
    }

    @Test
    void interruptedWriteIsRetried() {
        scriptedResults.add(INTERRUPTED_CODE);
        assertEquals(5, connection.write(ByteBuffer.wrap(new byte[5])).bytes());
        for (int n = 0; n < 100; n++) {
            scriptedResults.add(INTERRUPTED_CODE);
        }
        IoResult result = connection.write(ByteBuffer.wrap(new byte[5]));
        assertEquals(new IoResult(Outcome.TEMPORARY_FAILURE, 0, "interrupted"), result);
    }

    @Test
    void singleFailureDoesNotBreakConnection() throws IOException {
        for (String message : List.of("Cannot allocate memory", "No buffer space available", "Input/output error")) {
            scriptedResults.add(new IOException(message));
            assertEquals(Outcome.WOULD_BLOCK, read(), message);
        }
        scriptedResults.add(new IOException("Broken pipe"));
        assertEquals(5, connection.write(ByteBuffer.wrap(new byte[5])).bytes());
    }

    @Test
    void reportsEndOfStreamAfterAllData() throws IOException {
        peer.write(ByteBuffer.wrap(new byte[3]));
        peer.close();
        poller.select(1000);
        assertEquals(Outcome.PROGRESS, read());
        assertEquals(Outcome.END_OF_STREAM, read());
    }

    @Test
    void resetIsNotEndOfStream() throws IOException {
        peer.setOption(StandardSocketOptions.SO_LINGER, 0);
        peer.close();
        while (read() == Outcome.WOULD_BLOCK) {
            poller.select(1);
        }
        assertEquals(Outcome.BROKEN, read());
        assertEquals(
                Outcome.BROKEN, connection.write(ByteBuffer.wrap(new byte[5])).outcome());
    }

    @Test
    void endOfStreamAfterErrorIsBroken() {
        scriptedResults.add(new IOException("Connection timed out"));
        scriptedResults.add(-1);
        assertEquals(Outcome.BROKEN, read());
    }

    @Test
    void readAfterCloseIsFatal() {
        connection.close();
        assertEquals(Outcome.PERMANENT_FAILURE, read());
        assertFalse(connection.isQuiet());
    }

    @Test
    void isQuietOnlyWhenCertain() throws IOException {
        assertTrue(connection.isQuiet());
        for (int n = 0; n < 100; n++) {
            scriptedResults.add(INTERRUPTED_CODE);
        }
        assertFalse(connection.isQuiet());
        scriptedResults.clear();
        peer.write(ByteBuffer.wrap(new byte[1]));
        poller.select(1000);
        assertFalse(connection.isQuiet());
    }

    /** The system loses a registration: incoming data is still reported, once the registration has been restored. */
    @Test
    void lostRegistrationIsRestored() throws IOException {
        connection.setInterest(SelectionKey.OP_CONNECT, false);
        connection.setInterest(SelectionKey.OP_READ, true);
        long repairsBefore = poller.repairCount();
        while (poller.repairCount() == repairsBefore) {
            poller.selectedKeys().clear(); // the owner is not notified
            poller.select(1);
        }
        peer.write(ByteBuffer.wrap(new byte[1]));
        while (!connection.isReadable()) {
            poller.selectedKeys().clear();
            poller.select(10);
        }
        connection.confirmRegistration();
        assertEquals(Outcome.PROGRESS, read());
    }

    @Test
    void connectionsAreNonBlockingWithoutSendDelay() throws IOException {
        Connection adopted = poller.adopt(peer, this).value();
        for (SocketChannel channel : List.of(openedChannels.get(0), peer)) {
            assertTrue(channel.getOption(StandardSocketOptions.TCP_NODELAY));
            assertFalse(channel.isBlocking());
        }
        adopted.close();
    }
}
