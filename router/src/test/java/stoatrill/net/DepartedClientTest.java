package stoatrill.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stoatrill.scenario.PgMessages.EMPTY_QUERY_REPLY;
import static stoatrill.scenario.PgMessages.GREETING;
import static stoatrill.scenario.PgMessages.READY;
import static stoatrill.scenario.PgMessages.isEmptyQuery;
import static stoatrill.scenario.PgMessages.query;
import static stoatrill.scenario.PgMessages.row;
import static stoatrill.scenario.PgMessages.startup;

import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import stoatrill.config.Config;
import stoatrill.io.ForwardingCalls;
import stoatrill.io.SystemCalls;
import stoatrill.pg.PgClient;
import stoatrill.pg.PgServer;
import stoatrill.scenario.BackgroundTask;
import stoatrill.scenario.Scenario;

/**
 * Clients that send more commands at once than the router begins, over real connections to a server that hangs until a
 * test releases it.
 */
@Timeout(120)
class DepartedClientTest {
    private static final int TIMEOUT_MILLIS = 60_000;
    private static final int COMMAND_COUNT = 600;
    /** Makes the commands take 0.7 MB together, which the system's buffers take while the router reads none of it. */
    private static final int SMALL_PADDING_BYTES = 1_000;
    /** Makes the commands of one client take more than the router keeps for it. */
    private static final int LARGE_PADDING_BYTES = 8_000;
    /** Requests of one connection that are begun at a time. */
    private static final int BEGUN_LIMIT_COUNT = 64;

    private static final int COMMANDS_PER_WRITE_COUNT = 1_000;
    /** A client that sends this many commands without an answer is ended long before it has sent them all. */
    private static final int EXCESSIVE_COMMAND_COUNT = 200_000;

    private static final int LONG_WAIT_MILLIS = 60_000;
    private static final int SHORT_WAIT_MILLIS = 1_000;

    private final Collection<Closeable> openResources = new ConcurrentLinkedQueue<>();
    private final CountDownLatch serverReleased = new CountDownLatch(1);
    private final AtomicInteger requestsAtServer = new AtomicInteger();
    /** The number of writes to each accepted client that was closed, when it was closed. */
    private final BlockingQueue<Integer> writesToClosedClients = new LinkedBlockingQueue<>();

    private EventLoop loop;
    private Thread loopThread;

    /** Counts the writes to accepted clients. */
    private final class ClientWrites extends ForwardingCalls {
        private final Map<SocketChannel, Integer> writesByClient = new ConcurrentHashMap<>();

        ClientWrites() {
            super(SystemCalls.PLATFORM);
        }

        @Override
        public SocketChannel accept(ServerSocketChannel listener) throws IOException {
            SocketChannel accepted = super.accept(listener);
            if (accepted != null) {
                writesByClient.put(accepted, 0);
            }
            return accepted;
        }

        @Override
        public int write(SocketChannel channel, ByteBuffer source) throws IOException {
            writesByClient.computeIfPresent(channel, (c, writes) -> writes + 1);
            return super.write(channel, source);
        }

        @Override
        public void close(SocketChannel channel) throws IOException {
            super.close(channel);
            Integer writes = writesByClient.remove(channel);
            if (writes != null) {
                writesToClosedClients.add(writes);
            }
        }
    }

    private void start(long giveUpMillis) throws Exception {
        ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        openResources.add(server);
        BackgroundTask.start(() -> {
            while (true) {
                Socket connection = server.accept();
                BackgroundTask.start(() -> hang(connection));
            }
        });
        String text = Scenario.defaultConfig()
                .replace("\"endpoint\": \"127.0.0.1:9\"", "\"endpoint\": \"127.0.0.1:" + server.getLocalPort() + "\"")
                .replaceAll("\"giveUp\": \\d+", "\"giveUp\": " + giveUpMillis * 1_000_000);
        loop = new EventLoop(Config.parse(text, Map.of()), PgClient::new, PgServer::new, new ClientWrites());
        loopThread = BackgroundTask.start(() -> loop.run());
    }

    /** Serves as a server that answers the requests it has taken once the test releases it. */
    private void hang(Socket connection) throws IOException {
        openResources.add(connection);
        DataInputStream in = new DataInputStream(connection.getInputStream());
        in.readNBytes(in.readInt() - 4);
        connection.getOutputStream().write(GREETING);
        while (in.readByte() == 'Q') {
            String text = new String(in.readNBytes(in.readInt() - 4), StandardCharsets.UTF_8);
            if (isEmptyQuery(text)) {
                connection.getOutputStream().write(EMPTY_QUERY_REPLY);
                continue;
            }
            requestsAtServer.incrementAndGet();
            try {
                serverReleased.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            connection.getOutputStream().write(row("x"));
            connection.getOutputStream().write(READY);
        }
    }

    @AfterEach
    void closeAll() throws Exception {
        serverReleased.countDown();
        for (Closeable resource : openResources) {
            resource.close();
        }
        loop.stop();
        loopThread.join(TIMEOUT_MILLIS);
    }

    /** Attempts began for clients that had closed, since their end was only read once an answer was written. */
    @Test
    void endBehindManyCommandsIsSeenBeforeAnyAnswer() throws Exception {
        checkEndIsSeenBeforeAnyAnswer(SMALL_PADDING_BYTES);
    }

    /** The same for a client whose commands take more room than is kept for one client. */
    @Test
    void endBehindMoreCommandsThanAreKeptIsSeenBeforeAnyAnswer() throws Exception {
        checkEndIsSeenBeforeAnyAnswer(LARGE_PADDING_BYTES);
    }

    private void checkEndIsSeenBeforeAnyAnswer(int paddingBytes) throws Exception {
        start(LONG_WAIT_MILLIS);
        try (Socket client = connect()) {
            client.getOutputStream().write(commands(COMMAND_COUNT, paddingBytes, LONG_WAIT_MILLIS));
        }
        Integer writes = writesToClosedClients.poll(LONG_WAIT_MILLIS / 2, TimeUnit.MILLISECONDS);
        assertNotNull(writes, "the router does not notice that its client has left");
        assertEquals(1, writes, "writes to the client: the startup reply alone");
        assertTrue(requestsAtServer.get() <= BEGUN_LIMIT_COUNT, requestsAtServer + " requests were sent");
    }

    /** A client that stays gets one final answer to each command, also to those that there was no room for. */
    @Test
    void clientThatStaysGetsOneAnswerToEachCommand() throws Exception {
        start(SHORT_WAIT_MILLIS);
        try (Socket client = connect()) {
            client.getOutputStream().write(commands(COMMAND_COUNT, LARGE_PADDING_BYTES, SHORT_WAIT_MILLIS));
            client.getOutputStream().write(query("SELECT 1"));
            Map<String, Integer> answers = new TreeMap<>();
            DataInputStream in = new DataInputStream(client.getInputStream());
            for (int n = 0; n < COMMAND_COUNT; n++) {
                answers.merge(readAnswer(in), 1, Integer::sum);
            }
            assertEquals("42601", readAnswer(in), "the last command's own answer, after " + answers);
            assertEquals(COMMAND_COUNT, answers.getOrDefault("53300", 0) + answers.getOrDefault("58000", 0));
        }
    }

    /** A client that sends commands without end is ended with an error, so that its replies take no further memory. */
    @Test
    void clientThatSendsWithoutEndIsEnded() throws Exception {
        start(LONG_WAIT_MILLIS);
        Socket client = connect();
        openResources.add(client);
        byte[] commands = commands(COMMANDS_PER_WRITE_COUNT, 0, LONG_WAIT_MILLIS);
        Thread sender = BackgroundTask.start(() -> {
            for (int n = 0; n < EXCESSIVE_COMMAND_COUNT; n += COMMANDS_PER_WRITE_COUNT) {
                client.getOutputStream().write(commands);
            }
        });
        sender.join(TIMEOUT_MILLIS);
        assertFalse(sender.isAlive(), "the client's commands are not read");
        serverReleased.countDown();
        DataInputStream in = new DataInputStream(client.getInputStream());
        String last = "";
        for (int answers = 0; !last.startsWith("FATAL"); answers++) {
            last = readAnswer(in);
            assertTrue(answers < EXCESSIVE_COMMAND_COUNT / 2, "the client is not ended");
        }
        assertEquals("FATAL 53300", last);
        assertEquals(-1, in.read(), "an orderly end follows the error");
    }

    private Socket connect() throws IOException {
        Socket client = new Socket(loop.address().getAddress(), loop.address().getPort());
        client.setSoTimeout(TIMEOUT_MILLIS);
        client.getOutputStream().write(startup());
        assertEquals("ready", readAnswer(new DataInputStream(client.getInputStream())));
        return client;
    }

    private static byte[] commands(int count, int paddingBytes, int waitMillis) {
        ByteBuffer all = ByteBuffer.allocate(count * (paddingBytes + 128));
        for (int n = 0; n < count; n++) {
            all.put(query("SELECT v FROM records WHERE k = '" + "a".repeat(paddingBytes) + "' /* id=r" + n
                    + ",c=archive,d=" + waitMillis + ",cluster=0 */"));
        }
        return ByteBuffer.allocate(all.position()).put(all.flip()).array();
    }

    /** Returns the SQLSTATE of an error, with its severity if that is fatal, or "ready" if there was none. */
    private static String readAnswer(DataInputStream in) throws IOException {
        String sqlState = "ready";
        while (true) {
            int type = in.readByte();
            String body = new String(in.readNBytes(in.readInt() - 4), StandardCharsets.ISO_8859_1);
            if (type == 'E') {
                sqlState = body.substring(body.indexOf("\0C") + 2, body.indexOf("\0M"));
            }
            if (body.startsWith("SFATAL")) {
                return "FATAL " + sqlState;
            }
            if (type == 'Z') {
                return sqlState;
            }
        }
    }
}
