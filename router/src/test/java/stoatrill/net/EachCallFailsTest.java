package stoatrill.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stoatrill.scenario.PgMessages.EMPTY_QUERY_REPLY;
import static stoatrill.scenario.PgMessages.GREETING;
import static stoatrill.scenario.PgMessages.READY;
import static stoatrill.scenario.PgMessages.isEmptyQuery;
import static stoatrill.scenario.PgMessages.query;
import static stoatrill.scenario.PgMessages.row;
import static stoatrill.scenario.PgMessages.startup;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
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
 * Plays a scripted conversation of one client over real connections once for each system call that it makes and each
 * way in which that call can fail: the k-th call of a kind fails once, or several times in a row. Every request must
 * get exactly one answer, no upload may run twice, and the loop must reach its orderly end.
 */
@Timeout(300)
class EachCallFailsTest {
    private static final int TIMEOUT_MILLIS = 20_000;
    /** Plays that run in parallel; they mostly wait. */
    private static final int PARALLEL_PLAY_COUNT = 16;

    private static final int INTERRUPTED_CODE = -3;
    /** Highest call of a kind that is made to fail; the conversation makes about this many of each kind. */
    private static final int CALL_LIMIT = 12;

    private static final String READ = "SELECT v FROM records WHERE k = 'a1' /* id=%s,c=archive,d=4000,cluster=0 */";
    private static final String WRITE =
            "INSERT INTO records (k, v) VALUES ('a1', '\\x01') RETURNING v /* id=%s,c=upload,d=4000,cluster=0 */";

    /** The kinds of calls of {@link SystemCalls} that are made to fail, with the messages of their failures. */
    private enum Kind {
        READ("interrupted", "Cannot allocate memory", "Input/output error"),
        WRITE("interrupted", "No buffer space available", "Cannot allocate memory", "Input/output error"),
        ACCEPT("Too many open files", "Cannot allocate memory", "Protocol error", "Connection aborted"),
        OPEN("Too many open files", "Too many open files in system", "No buffer space available"),
        OPTION("No buffer space available"),
        CONNECT("Network is unreachable", "Cannot assign requested address", "Connection refused"),
        FINISH_CONNECT("Connection refused", "Connection timed out", "No route to host"),
        END_SENDING("Cannot allocate memory"),
        CLOSE("Input/output error"),
        SELECT("Interrupted system call", "Invalid argument");

        @SuppressWarnings("ImmutableEnumChecker") // List.of is immutable
        private final List<String> failures;

        Kind(String... failures) {
            this.failures = List.of(failures);
        }
    }

    /** Fails some calls of one kind, from the k-th on. Used by the loop's thread, and read after that has ended. */
    private static final class FailingCalls extends ForwardingCalls {
        private final Kind kind;
        private final int firstFailingCall;
        private final int consecutiveFailures;
        private final String failure;
        private int callCount;
        private int failedCount;

        FailingCalls(Kind kind, int firstFailingCall, int consecutiveFailures, String failure) {
            super(SystemCalls.PLATFORM);
            this.kind = kind;
            this.firstFailingCall = firstFailingCall;
            this.consecutiveFailures = consecutiveFailures;
            this.failure = failure;
        }

        /** Whether this call is to be interrupted; throws if it is to fail in another way. */
        private boolean failsNow(Kind call) throws IOException {
            if (call != kind) {
                return false;
            }
            callCount++;
            if (callCount < firstFailingCall || callCount >= firstFailingCall + consecutiveFailures) {
                return false;
            }
            failedCount++;
            if (!failure.equals("interrupted")) {
                throw new IOException(failure);
            }
            return true;
        }

        @Override
        public int read(SocketChannel channel, ByteBuffer target) throws IOException {
            return failsNow(Kind.READ) ? INTERRUPTED_CODE : super.read(channel, target);
        }

        @Override
        public int write(SocketChannel channel, ByteBuffer source) throws IOException {
            return failsNow(Kind.WRITE) ? INTERRUPTED_CODE : super.write(channel, source);
        }

        @Override
        public SocketChannel accept(ServerSocketChannel listener) throws IOException {
            return failsNow(Kind.ACCEPT) ? null : super.accept(listener);
        }

        @Override
        public SocketChannel openSocket() throws IOException {
            failsNow(Kind.OPEN);
            return super.openSocket();
        }

        @Override
        public void disableSendDelay(SocketChannel channel) throws IOException {
            failsNow(Kind.OPTION);
            super.disableSendDelay(channel);
        }

        @Override
        public boolean connect(SocketChannel channel, InetSocketAddress address) throws IOException {
            failsNow(Kind.CONNECT);
            return super.connect(channel, address);
        }

        @Override
        public boolean finishConnect(SocketChannel channel) throws IOException {
            failsNow(Kind.FINISH_CONNECT);
            return super.finishConnect(channel);
        }

        @Override
        public void shutdownOutput(SocketChannel channel) throws IOException {
            failsNow(Kind.END_SENDING);
            super.shutdownOutput(channel);
        }

        @Override
        public void close(SocketChannel channel) throws IOException {
            super.close(channel);
            failsNow(Kind.CLOSE);
        }

        @Override
        public int select(Selector selector, long timeoutMillis) throws IOException {
            failsNow(Kind.SELECT);
            return super.select(selector, timeoutMillis);
        }
    }

    @Test
    void everyRequestIsAnsweredWhicheverCallFails() throws Exception {
        Map<Kind, int[]> countsByKind = new EnumMap<>(Kind.class);
        Map<Kind, List<Future<int[]>>> plays = new EnumMap<>(Kind.class);
        ExecutorService executor = Executors.newFixedThreadPool(PARALLEL_PLAY_COUNT);
        try {
            for (Kind kind : Kind.values()) {
                for (String failure : kind.failures) {
                    for (int consecutiveFailures : List.of(1, 3)) {
                        plays.computeIfAbsent(kind, k -> new ArrayList<>())
                                .add(executor.submit(() -> playEach(kind, failure, consecutiveFailures)));
                    }
                }
            }
            for (Map.Entry<Kind, List<Future<int[]>>> entry : plays.entrySet()) {
                int[] counts = countsByKind.computeIfAbsent(entry.getKey(), k -> new int[2]);
                for (Future<int[]> played : entry.getValue()) {
                    counts[0] += played.get()[0];
                    counts[1] += played.get()[1];
                }
            }
        } finally {
            executor.shutdownNow();
        }
        countsByKind.forEach((kind, counts) ->
                System.out.println("each call fails: " + kind + " plays " + counts[0] + " calls failed " + counts[1]));
        countsByKind.forEach((kind, counts) -> assertTrue(counts[1] > 0, kind + " was never made to fail"));
    }

    /** Makes each call of a kind fail in turn, until there is none; returns the counts of plays and failed calls. */
    private static int[] playEach(Kind kind, String failure, int consecutiveFailures) throws Exception {
        int[] counts = new int[2];
        int failed = 1;
        for (int firstFailingCall = 1; failed > 0 && firstFailingCall <= CALL_LIMIT; firstFailingCall++) {
            failed = play(new FailingCalls(kind, firstFailingCall, consecutiveFailures, failure));
            counts[0]++;
            counts[1] += failed;
        }
        return counts;
    }

    /** Plays the conversation and returns the number of calls that were made to fail. */
    private static int play(FailingCalls calls) throws Exception {
        String description = calls.kind + " from call " + calls.firstFailingCall + ", " + calls.consecutiveFailures
                + " in a row: " + calls.failure;
        Map<String, Integer> runsByUpload = new ConcurrentHashMap<>();
        try (ServerSocket primary = listen()) {
            serve(primary, runsByUpload);
            String address = "127.0.0.1:" + primary.getLocalPort();
            String text = Scenario.defaultConfig()
                    .replace("\"endpoint\": \"127.0.0.1:9\"", "\"endpoint\": \"" + address + "\"")
                    .replace("\"giveUp\": 3000000000", "\"giveUp\": 500000000")
                    .replace("\"giveUp\": 600000000", "\"giveUp\": 500000000");
            EventLoop loop = new EventLoop(Config.parse(text, Map.of()), PgClient::new, PgServer::new, calls);
            Thread thread = new Thread(loop::run);
            thread.setDaemon(true);
            thread.start();
            converse(loop, description);
            idleUntilShutdown(loop, description);
            thread.join(TIMEOUT_MILLIS);
            assertFalse(thread.isAlive(), description + ": the loop has not ended");
            assertTrue(loop.brokenInvariants().isEmpty(), description + ": " + loop.brokenInvariants());
        }
        runsByUpload.forEach(
                (id, times) -> assertEquals(1, times, description + ": upload " + id + " ran " + times + " times"));
        return calls.failedCount;
    }

    /** Sends a read and an upload on each of two connections, one after the other. */
    private static void converse(EventLoop loop, String description) throws IOException {
        for (String name : List.of("first", "second")) {
            try (Socket client = new Socket()) {
                client.connect(loop.address());
                client.setSoTimeout(TIMEOUT_MILLIS);
                DataInputStream in = new DataInputStream(client.getInputStream());
                client.getOutputStream().write(startup());
                readAnswer(in, description + ", welcome of the " + name);
                client.getOutputStream().write(query(READ.formatted(name + "-read")));
                readAnswer(in, description + ", read of the " + name);
                client.getOutputStream().write(query(WRITE.formatted(name + "-write")));
                readAnswer(in, description + ", write of the " + name);
            }
        }
    }

    /** Connects a client that is idle while the loop is stopped: its connection must be closed in order. */
    private static void idleUntilShutdown(EventLoop loop, String description) throws IOException {
        try (Socket client = new Socket()) {
            client.connect(loop.address());
            client.setSoTimeout(TIMEOUT_MILLIS);
            DataInputStream in = new DataInputStream(client.getInputStream());
            client.getOutputStream().write(startup());
            readAnswer(in, description + ", welcome of the idle one");
            loop.stop();
            assertEquals(-1, in.read(), description + ": the idle connection is closed in order");
        }
    }

    /** Reads to the end of an answer of any kind: a result, a refusal or an error. */
    private static void readAnswer(DataInputStream in, String description) {
        try {
            char type;
            do {
                type = (char) in.readByte();
                in.readNBytes(in.readInt() - 4);
            } while (type != 'Z');
        } catch (IOException e) {
            throw new AssertionError(description + ": no complete answer", e);
        }
    }

    private static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    /** Serves every statement, for a group whose members share an address, and counts uploads by their ids. */
    private static void serve(ServerSocket listener, Map<String, Integer> runsByUpload) {
        BackgroundTask.start(() -> {
            while (true) {
                Socket connection = listener.accept();
                BackgroundTask.start(() -> serve(connection, runsByUpload));
            }
        });
    }

    private static void serve(Socket connection, Map<String, Integer> runsByUpload) throws IOException {
        try (connection) {
            connection.setTcpNoDelay(true);
            DataInputStream in = new DataInputStream(connection.getInputStream());
            in.readNBytes(in.readInt() - 4);
            connection.getOutputStream().write(GREETING);
            while (in.readByte() == 'Q') {
                String text = new String(in.readNBytes(in.readInt() - 4), StandardCharsets.UTF_8);
                if (isEmptyQuery(text)) {
                    connection.getOutputStream().write(EMPTY_QUERY_REPLY);
                    continue;
                }
                if (text.startsWith("INSERT")) {
                    runsByUpload.merge(text.substring(text.indexOf("id=") + 3, text.indexOf(",c=")), 1, Integer::sum);
                }
                byte[] answer = row("x");
                connection
                        .getOutputStream()
                        .write(ByteBuffer.allocate(answer.length + READY.length)
                                .put(answer)
                                .put(READY)
                                .array());
            }
        }
    }
}
