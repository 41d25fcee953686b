package stoatrill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static stoatrill.scenario.PgBytes.GREETING;
import static stoatrill.scenario.PgBytes.READY;
import static stoatrill.scenario.PgBytes.query;
import static stoatrill.scenario.PgBytes.row;
import static stoatrill.scenario.PgBytes.startup;

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
 * A request of which a server has read a part when its connection breaks, over real connections. Loopback takes every
 * message of the protocol whole, so the loop runs here with a protocol that pads each query to a size that it can't
 * take.
 */
class HalfWrittenTest {
    private static final int PADDING = 32 << 20;
    private static final int PART = 1_000;
    private static final int PATIENCE_S = 20;
    private static final String UPLOAD =
            "INSERT INTO records (k, v) VALUES ('a1', '\\x01') RETURNING v /* id=1,c=upload,d=25000,cluster=0 */";

    /** The server's protocol, with padding before each query. */
    private record Padded(ServerProtocol inner) implements ServerProtocol {
        @Override
        public byte[] greeting() {
            return inner.greeting();
        }

        @Override
        public byte[] query(Statement statement, long waitMillis) {
            byte[] query = inner.query(statement, waitMillis);
            return ByteBuffer.allocate(PADDING + query.length)
                    .put(new byte[PADDING])
                    .put(query)
                    .array();
        }

        @Override
        public byte[] probe() {
            return inner.probe();
        }

        @Override
        public void received(ByteBuffer bytes) {
            inner.received(bytes);
        }

        @Override
        public void ended() {
            inner.ended();
        }
    }

    /** The server breaks the connection with most of the upload unwritten: it can't have run, and goes out again. */
    @Test
    void anUploadBrokenOffBeforeItsLastByteRunsOnceOnAnotherConnection() throws Exception {
        try (ServerSocket primary = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            String endpoint = "\"p\", \"endpoint\": \"127.0.0.1:";
            String text = Scenario.config().replace(endpoint + "9", endpoint + primary.getLocalPort());
            EventLoop loop =
                    new EventLoop(Config.parse(text, Map.of()), PgClient::new, peer -> new Padded(new PgServer(peer)));
            CompletableFuture<Void> router = run(loop);
            CompletableFuture<String> ran = CompletableFuture.supplyAsync(() -> {
                try {
                    breakOff(primary);
                    return serveOne(primary);
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            });
            try (Socket client =
                    new Socket(loop.address().getAddress(), loop.address().getPort())) {
                client.setSoTimeout(PATIENCE_S * 1000);
                client.getOutputStream().write(startup());
                client.getOutputStream().write(query(UPLOAD));
                assertEquals("TDCZ", answer(new DataInputStream(client.getInputStream())));
            }
            assertEquals(
                    UPLOAD.substring(0, 20),
                    ran.get(PATIENCE_S, TimeUnit.SECONDS).substring(0, 20));
            loop.stop();
            router.get(PATIENCE_S, TimeUnit.SECONDS);
        }
    }

    private static CompletableFuture<Void> run(EventLoop loop) {
        return CompletableFuture.runAsync(loop::run);
    }

    /** Greets, reads a part of the first query and resets the connection. */
    private static void breakOff(ServerSocket listener) throws IOException {
        try (Socket socket = listener.accept()) {
            greet(socket).readNBytes(PART);
            socket.setSoLinger(true, 0);
        }
    }

    /** Serves the next query and returns its text. */
    private static String serveOne(ServerSocket listener) throws IOException {
        try (Socket socket = listener.accept()) {
            DataInputStream in = greet(socket);
            in.skipNBytes(PADDING + 1);
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

    /** The types of the messages that come after the first ReadyForQuery, up to the next. */
    private static String answer(DataInputStream in) throws IOException {
        StringBuilder types = new StringBuilder();
        for (int readies = 0; readies < 2; ) {
            char type = (char) in.readByte();
            in.readNBytes(in.readInt() - 4);
            types.append(readies > 0 ? String.valueOf(type) : "");
            readies += type == 'Z' ? 1 : 0;
        }
        return types.toString();
    }
}
