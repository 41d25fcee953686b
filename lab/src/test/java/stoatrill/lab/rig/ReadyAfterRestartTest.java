package stoatrill.lab.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Ten real routers, started by the deploy file's {@code run} with the list that they held last, are killed and
 * restarted at once before a discovery that takes calls and answers none. The operators want nine in ten ready, which
 * means that an empty query is answered, within 10 s or 6 s. Here no clock is read, so that the verdict is the same on
 * any machine: all of them have to become ready although discovery has told them nothing, however long the test waits.
 */
@Timeout(180)
class ReadyAfterRestartTest {
    private static final int ROUTERS = 10;
    private static final long START_SECONDS = 60;

    /** Discovery's address, at which calls are taken and never answered. */
    private static final class SilentDiscovery implements Closeable {
        private final ServerSocket listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        private final ConcurrentLinkedQueue<Socket> callers = new ConcurrentLinkedQueue<>();

        SilentDiscovery() throws IOException {
            Thread accepts = new Thread(this::accept, "silent-discovery");
            accepts.setDaemon(true);
            accepts.start();
        }

        private void accept() {
            try {
                while (true) {
                    callers.add(listener.accept());
                }
            } catch (IOException e) {
                // the test is over
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (Socket caller : callers) {
                caller.close();
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"on_request", "pushed"})
    void restartedRoutersAreReadyThoughDiscoveryTellsThemNothing(String discovery, @TempDir Path dir) throws Exception {
        allReadyTwice(RunLine.find(Path.of("")), discovery, dir);
    }

    /** A build that serves only once discovery has answered never becomes ready here. */
    @Test
    void aRouterThatWaitsForDiscoveryBeforeItServesIsSeen(@TempDir Path dir) throws Exception {
        RunLine waits = PlantedBugTest.planted(
                dir, "stoatrill/net/EventLoop.java", "isReady = !knownList.entries().isEmpty();", "isReady = false;");
        try (SilentDiscovery discovery = new SilentDiscovery();
                RouterProc router = start(waits, "on_request", discovery, dir, 0);
                Socket client = new Socket(InetAddress.getLoopbackAddress(), router.await())) {
            ask(client);
            Wait.until(() -> discovery.callers.size() >= 2); // it has given up its first call, and calls again
            assertEquals("welcomed", said(client, false));
        }
    }

    private static void allReadyTwice(RunLine run, String kind, Path dir) throws Exception {
        List<RouterProc> routers = new ArrayList<>();
        try (SilentDiscovery discovery = new SilentDiscovery()) {
            startAll(routers, run, kind, discovery, dir);
            for (RouterProc router : routers) {
                router.kill();
                assertTrue(router.awaitEnd(TimeUnit.SECONDS.toMillis(START_SECONDS)), router.name());
            }
            routers.clear();
            startAll(routers, run, kind, discovery, dir);
        } finally {
            routers.forEach(RouterProc::kill);
        }
    }

    /** Starts all at once and returns when every one of them is ready. */
    private static void startAll(
            List<RouterProc> routers, RunLine run, String kind, SilentDiscovery discovery, Path dir) throws Exception {
        for (int i = 0; i < ROUTERS; i++) {
            routers.add(start(run, kind, discovery, dir, i));
        }
        for (RouterProc router : routers) {
            try (Socket client = new Socket(InetAddress.getLoopbackAddress(), router.await())) {
                ask(client);
                assertEquals("ready", said(client, true), router.name());
            }
        }
    }

    private static RouterProc start(RunLine run, String kind, SilentDiscovery discovery, Path dir, int number)
            throws IOException {
        String shipped = Files.readString(run.root().resolve("router/src/test/resources/config.json"));
        String text = shipped.replace(
                        "\"discovery\": \"127.0.0.1:9\"",
                        "\"discovery\": \"127.0.0.1:" + discovery.listener.getLocalPort() + "\"")
                .replace("\"on_request\"", "\"" + kind + "\"");
        String name = "router" + number;
        Path config = Files.writeString(dir.resolve(name + ".json"), text);
        return new RouterProc(run, name, config, dir.resolve(name + "." + System.nanoTime() + ".log"));
    }

    /** A startup message and an empty query, as the front sends them to a router that was started. */
    private static void ask(Socket client) throws IOException {
        client.getOutputStream()
                .write(ByteBuffer.allocate(38)
                        .putInt(32)
                        .putInt(196608)
                        .put("user\0svc\0database\0main\0\0".getBytes(StandardCharsets.US_ASCII))
                        .put(new byte[] {'Q', 0, 0, 0, 5, 0})
                        .array());
    }

    /** What a router has said: "ready" after EmptyQueryResponse, "welcomed" after the first ReadyForQuery alone. */
    private static String said(Socket client, boolean waits) throws IOException {
        DataInputStream in = new DataInputStream(client.getInputStream());
        String said = "nothing";
        while (!said.equals("ready") && (waits || in.available() > 0)) {
            int type = in.readByte();
            in.readNBytes(in.readInt() - Integer.BYTES);
            said = type == 'I' ? "ready" : type == 'Z' ? "welcomed" : said;
        }
        return said;
    }
}
