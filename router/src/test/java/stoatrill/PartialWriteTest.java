package stoatrill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stoatrill.scenario.PgMessages.GREETING;
import static stoatrill.scenario.PgMessages.READY;
import static stoatrill.scenario.PgMessages.query;
import static stoatrill.scenario.PgMessages.row;
import static stoatrill.scenario.PgMessages.startup;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import stoatrill.config.Config;
import stoatrill.core.Statement;
import stoatrill.net.EventLoop;
import stoatrill.net.ServerProtocol;
import stoatrill.pg.PgClient;
import stoatrill.pg.PgServer;
import stoatrill.scenario.Scenario;

/**
 * A connection breaks after the server has read part of a request, over real connections. Loopback buffers every
 * message of the protocol whole, so the event loop runs here with a protocol that pads each query beyond the size of
 * the buffers.
 */
class PartialWriteTest {
    private static final int PADDING_BYTES = 32 << 20;
    private static final int READ_BYTES = 1_000;
    private static final int TIMEOUT_SECONDS = 20;
    private static final String UPLOAD_AIM = "\"upload\", \"aim\": 300000000, \"giveUp\": 3000000000";
    /** With so long an aim, the router tries the primary again however long the padded write took. */
    private static final String LONG_UPLOAD_AIM = "\"upload\", \"aim\": 60000000000, \"giveUp\": 60000000000";

    private static final String WRITE =
            "INSERT INTO records (k, v) VALUES ('a1', '\\x01') RETURNING v /* id=1,c=upload,d=25000,cluster=0 */";

    /** The server protocol, with padding before each query. */
    private record PaddedProtocol(ServerProtocol inner) implements ServerProtocol {
        @Override
        public byte[] startupMessage() {
            return inner.startupMessage();
        }

        @Override
        public byte[] encodeQuery(Statement statement, long waitMillis) {
            byte[] query = inner.encodeQuery(statement, waitMillis);
            return ByteBuffer.allocate(PADDING_BYTES + query.length)
                    .put(new byte[PADDING_BYTES])
                    .put(query)
                    .array();
        }

        @Override
        public byte[] encodeProbe() {
            return inner.encodeProbe();
        }

        @Override
        public byte[] encodeSynchronization() {
            return inner.encodeSynchronization();
        }

        @Override
        public void receive(ByteBuffer bytes) {
            inner.receive(bytes);
        }

        @Override
        public void onClosed() {
            inner.onClosed();
        }
    }

    /** The server resets the connection while most of the write is unsent. It can't have run, so it is sent again. */
    @Test
    void writeCutOffBeforeItsLastByteRunsOnceOnAnotherConnection() throws Exception {
        try (ServerSocket primary = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            String endpoint = "\"p\", \"endpoint\": \"127.0.0.1:";
            String config = Scenario.defaultConfig()
                    .replace(endpoint + "9", endpoint + primary.getLocalPort())
                    .replace(UPLOAD_AIM, LONG_UPLOAD_AIM);
            assertTrue(config.contains(LONG_UPLOAD_AIM), config);
            EventLoop loop = new EventLoop(
                    Config.parse(config, Map.of()), PgClient::new, peer -> new PaddedProtocol(new PgServer(peer)));
            CompletableFuture<Void> router = run(loop);
            CompletableFuture<String> executed = CompletableFuture.supplyAsync(() -> {
                try {
                    resetAfterPartialRead(primary);
                    return serveOne(primary);
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            });
            try (Socket client =
                    new Socket(loop.address().getAddress(), loop.address().getPort())) {
                client.setSoTimeout(TIMEOUT_SECONDS * 1000);
                client.getOutputStream().write(startup());
                client.getOutputStream().write(query(WRITE));
                assertEquals("TDCZ", readAnswerTypes(new DataInputStream(client.getInputStream())));
            }
            assertEquals(
                    WRITE.substring(0, 20),
                    executed.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).substring(0, 20));
            loop.stop();
            router.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }

    private static CompletableFuture<Void> run(EventLoop loop) {
        return CompletableFuture.runAsync(loop::run);
    }

    /** Sends the greeting, reads part of the first query and resets the connection. */
    private static void resetAfterPartialRead(ServerSocket listener) throws IOException {
        try (Socket socket = listener.accept()) {
            greet(socket).readNBytes(READ_BYTES);
            socket.setSoLinger(true, 0);
        }
    }

    /** Answers the next query and returns its text. */
    private static String serveOne(ServerSocket listener) throws IOException {
        try (Socket socket = listener.accept()) {
            DataInputStream in = greet(socket);
            in.skipNBytes(PADDING_BYTES + 1);
            byte[] text = in.readNBytes(in.readInt() - 4);
            socket.getOutputStream().write(row("y"));
            socket.getOutputStream().write(READY);
            return new String(text, StandardCharsets.UTF_8);
        }
    }

    private static DataInputStream greet(Socket socket) throws IOException {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        in.readNBytes(in.readInt() - 4);
        socket.getOutputStream().write(GREETING);
        return in;
    }

    /** Returns the types of the messages after the first ReadyForQuery, up to and including the next one. */
    private static String readAnswerTypes(DataInputStream in) throws IOException {
        StringBuilder types = new StringBuilder();
        for (int readyCount = 0; readyCount < 2; ) {
            char type = (char) in.readByte();
            in.readNBytes(in.readInt() - 4);
            types.append(readyCount > 0 ? String.valueOf(type) : "");
            readyCount += type == 'Z' ? 1 : 0;
        }
        return types.toString();
    }
}
