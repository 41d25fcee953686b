package stoatrill.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stoatrill.scenario.PgBytes.GREETING;
import static stoatrill.scenario.PgBytes.READY;
import static stoatrill.scenario.PgBytes.query;
import static stoatrill.scenario.PgBytes.row;
import static stoatrill.scenario.PgBytes.startup;

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
import stoatrill.io.ForwardedCalls;
import stoatrill.io.SystemCalls;
import stoatrill.pg.PgClient;
import stoatrill.pg.PgServer;
import stoatrill.scenario.Scenario;

/**
 * A scripted conversation of one client, over real connections, is played once for each call that it makes and each way
 * in which that call can fail: the k-th call of a kind fails once, or several times in a row. Every request gets its
 * one answer, no upload runs twice, and the loop goes on to its orderly end.
 */
@Timeout(300)
class EachCallFailsTest {
    private static final int PATIENCE_MILLIS = 20_000;
    /** Plays that go on beside each other; they mostly wait. */
    private static final int AT_ONCE = 16;

    private static final int INTERRUPTED = -3;
    /** Calls of a kind that are made to fail in turn; the conversation makes about as many of each. */
    private static final int MOST_CALLS = 12;

    private static final String READ = "SELECT v FROM records WHERE k = 'a1' /* id=%s,c=archive,d=4000,cluster=0 */";
    private static final String WRITE =
            "INSERT INTO records (k, v) VALUES ('a1', '\\x01') RETURNING v /* id=%s,c=upload,d=4000,cluster=0 */";

    /** The calls of the seam. */
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

        @SuppressWarnings("ImmutableEnumChecker") // made by List.of, which nothing changes
        private final List<String> failures;

        Kind(String... failures) {
            this.failures = List.of(failures);
        }
    }

    /** Fails some calls of one kind, from the k-th on. Used by the loop's thread, and read after its end. */
    private static final class FailingCalls extends ForwardedCalls {
        private final Kind kind;
        private final int first;
        private final int inARow;
        private final String failure;
        private int made;
        private int failed;

        FailingCalls(Kind kind, int first, int inARow, String failure) {
            super(SystemCalls.PLATFORM);
            this.kind = kind;
            this.first = first;
            this.inARow = inARow;
            this.failure = failure;
        }

        /** Whether this call is interrupted; throws where it fails otherwise. */
        private boolean fails(Kind call) throws IOException {
            if (call != kind) {
                return false;
            }
            made++;
            if (made < first || made >= first + inARow) {
                return false;
            }
            failed++;
            if (!failure.equals("interrupted")) {
                throw new IOException(failure);
            }
            return true;
        }

        @Override
        public int read(SocketChannel channel, ByteBuffer into) throws IOException {
            return fails(Kind.READ) ? INTERRUPTED : super.read(channel, into);
        }

        @Override
        public int write(SocketChannel channel, ByteBuffer from) throws IOException {
            return fails(Kind.WRITE) ? INTERRUPTED : super.write(channel, from);
        }

        @Override
        public SocketChannel accept(ServerSocketChannel listener) throws IOException {
            return fails(Kind.ACCEPT) ? null : super.accept(listener);
        }

        @Override
        public SocketChannel open() throws IOException {
            fails(Kind.OPEN);
            return super.open();
        }

        @Override
        public void sendAtOnce(SocketChannel channel) throws IOException {
            fails(Kind.OPTION);
            super.sendAtOnce(channel);
        }

        @Override
        public boolean connect(SocketChannel channel, InetSocketAddress to) throws IOException {
            fails(Kind.CONNECT);
            return super.connect(channel, to);
        }

        @Override
        public boolean finishConnect(SocketChannel channel) throws IOException {
            fails(Kind.FINISH_CONNECT);
            return super.finishConnect(channel);
        }

        @Override
        public void endSending(SocketChannel channel) throws IOException {
            fails(Kind.END_SENDING);
            super.endSending(channel);
        }

        @Override
        public void close(SocketChannel channel) throws IOException {
            super.close(channel);
            fails(Kind.CLOSE);
        }

        @Override
        public int select(Selector selector, long millis) throws IOException {
            fails(Kind.SELECT);
            return super.select(selector, millis);
        }
    }

    @Test
    void everyCallFailsInEveryWay() throws Exception {
        Map<Kind, int[]> table = new EnumMap<>(Kind.class);
        Map<Kind, List<Future<int[]>>> plays = new EnumMap<>(Kind.class);
        ExecutorService players = Executors.newFixedThreadPool(AT_ONCE);
        try {
            for (Kind kind : Kind.values()) {
                for (String failure : kind.failures) {
                    for (int inARow : List.of(1, 3)) {
                        plays.computeIfAbsent(kind, k -> new ArrayList<>())
                                .add(players.submit(() -> playEach(kind, failure, inARow)));
                    }
                }
            }
            for (Map.Entry<Kind, List<Future<int[]>>> ofKind : plays.entrySet()) {
                int[] counts = table.computeIfAbsent(ofKind.getKey(), k -> new int[2]);
                for (Future<int[]> played : ofKind.getValue()) {
                    counts[0] += played.get()[0];
                    counts[1] += played.get()[1];
                }
            }
        } finally {
            players.shutdownNow();
        }
        table.forEach((kind, counts) ->
                System.out.println("each call fails: " + kind + " plays " + counts[0] + " calls failed " + counts[1]));
        table.forEach((kind, counts) -> assertTrue(counts[1] > 0, kind + " was never made to fail"));
    }

    /** Lets each call of a kind fail in turn, until there is none; returns the plays and the calls that failed. */
    private static int[] playEach(Kind kind, String failure, int inARow) throws Exception {
        int[] counts = new int[2];
        int failed = 1;
        for (int first = 1; failed > 0 && first <= MOST_CALLS; first++) {
            failed = play(new FailingCalls(kind, first, inARow, failure));
            counts[0]++;
            counts[1] += failed;
        }
        return counts;
    }

    /** Plays the conversation and returns how many calls were made to fail. */
    private static int play(FailingCalls calls) throws Exception {
        String what = calls.kind + " from call " + calls.first + ", " + calls.inARow + " in a row: " + calls.failure;
        Map<String, Integer> ran = new ConcurrentHashMap<>();
        try (ServerSocket primary = listen()) {
            serve(primary, ran);
            String at = "127.0.0.1:" + primary.getLocalPort();
            String text = Scenario.config()
                    .replace("\"endpoint\": \"127.0.0.1:9\"", "\"endpoint\": \"" + at + "\"")
                    .replace("\"giveUp\": 3000000000", "\"giveUp\": 500000000")
                    .replace("\"giveUp\": 600000000", "\"giveUp\": 500000000");
            EventLoop loop = new EventLoop(Config.parse(text, Map.of()), PgClient::new, PgServer::new, calls);
            Thread thread = new Thread(loop::run);
            thread.setDaemon(true);
            thread.start();
            converse(loop, what);
            restUntilTheEnd(loop, what);
            thread.join(PATIENCE_MILLIS);
            assertFalse(thread.isAlive(), what + ": the loop has not ended");
            assertTrue(loop.brokenInvariants().isEmpty(), what + ": " + loop.brokenInvariants());
        }
        ran.forEach((id, times) -> assertEquals(1, times, what + ": upload " + id + " ran " + times + " times"));
        return calls.failed;
    }

    /** Three requests, one of them an upload, on two connections one after the other. */
    private static void converse(EventLoop loop, String what) throws IOException {
        for (String name : List.of("first", "second")) {
            try (Socket client = new Socket()) {
                client.connect(loop.address());
                client.setSoTimeout(PATIENCE_MILLIS);
                DataInputStream in = new DataInputStream(client.getInputStream());
                client.getOutputStream().write(startup());
                answered(in, what + ", welcome of the " + name);
                client.getOutputStream().write(query(READ.formatted(name + "-read")));
                answered(in, what + ", read of the " + name);
                client.getOutputStream().write(query(WRITE.formatted(name + "-write")));
                answered(in, what + ", write of the " + name);
            }
        }
    }

    /** A client that rests while the loop is stopped: its connection is ended in order. */
    private static void restUntilTheEnd(EventLoop loop, String what) throws IOException {
        try (Socket client = new Socket()) {
            client.connect(loop.address());
            client.setSoTimeout(PATIENCE_MILLIS);
            DataInputStream in = new DataInputStream(client.getInputStream());
            client.getOutputStream().write(startup());
            answered(in, what + ", welcome of the resting one");
            loop.stop();
            assertEquals(-1, in.read(), what + ": the resting connection is ended in order");
        }
    }

    /** Reads to the end of an answer, whether it serves, refuses or fails. */
    private static void answered(DataInputStream in, String what) {
        try {
            char type;
            do {
                type = (char) in.readByte();
                in.readNBytes(in.readInt() - 4);
            } while (type != 'Z');
        } catch (IOException e) {
            throw new AssertionError(what + ": no whole answer", e);
        }
    }

    private static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    /** A group whose members share an address: every statement is served, and uploads are counted by their ids. */
    private static void serve(ServerSocket listener, Map<String, Integer> ran) {
        background(() -> {
            while (true) {
                Socket connection = listener.accept();
                background(() -> serve(connection, ran));
            }
        });
    }

    private static void serve(Socket connection, Map<String, Integer> ran) throws IOException {
        try (connection) {
            connection.setTcpNoDelay(true);
            DataInputStream in = new DataInputStream(connection.getInputStream());
            in.readNBytes(in.readInt() - 4);
            connection.getOutputStream().write(GREETING);
            while (in.readByte() == 'Q') {
                String text = new String(in.readNBytes(in.readInt() - 4), StandardCharsets.UTF_8);
                if (text.startsWith("INSERT")) {
                    ran.merge(text.substring(text.indexOf("id=") + 3, text.indexOf(",c=")), 1, Integer::sum);
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

    private interface Task {
        void run() throws IOException;
    }

    private static void background(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // the connection has ended, as all do at the end of a play
            }
        });
        thread.setDaemon(true);
        thread.start();
    }
}
