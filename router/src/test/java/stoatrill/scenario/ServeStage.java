package stoatrill.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stoatrill.scenario.PgBytes.GREETING;
import static stoatrill.scenario.PgBytes.READY;
import static stoatrill.scenario.PgBytes.message;
import static stoatrill.scenario.PgBytes.query;
import static stoatrill.scenario.PgBytes.row;
import static stoatrill.scenario.PgBytes.startup;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;

/**
 * Starts the program and speaks to it over loopback. Actors: {@code r1}, {@code r2} and {@code p} are scripted
 * servers, {@code list} is discovery and {@code list2} where it moves, {@code router} the process, which is sent
 * a signal after its file may have been replaced; any other name is a client's connection.
 */
public abstract class ServeStage implements Scenario.Stage {
    private static final long PATIENCE_S = 20;
    protected static final String CONNECTED = "c send startup\nc expect ready\n";
    /** A new client gets its answer, and so does the one whose write 1 is under way. */
    protected static final String OTHERS_ARE_SERVED = """
        d send startup
        d expect ready
        d send read 2
        r1 expect read 2
        r1 send row x
        d expect row x
        p send row y
        c expect row y
        """;

    protected static final String READ = "SELECT v FROM records WHERE k = 'a1' /* id=%s,c=archive,d=25000,cluster=0 */";
    protected static final String WRITE =
            "INSERT INTO records (k, v) VALUES ('a1', '\\x01') RETURNING v /* id=%s,c=upload,d=25000,cluster=0 */";

    @TempDir
    private Path folder;

    private final List<Closeable> open = new ArrayList<>();
    private final Map<String, BlockingQueue<String>> heard = new ConcurrentHashMap<>();
    private final Map<String, Socket> current = new ConcurrentHashMap<>();
    private final Map<String, Socket> clients = new HashMap<>();
    private final List<Socket> crowd = new ArrayList<>();
    private final Map<String, String> addresses = new HashMap<>();
    private final Map<String, byte[]> cancelKeys = new HashMap<>();
    /** The program, once it was started; ended with the test. */
    protected Process router;

    private Path config;
    private String configText;
    private String configured = "list";
    private long signalled;
    private final Map<String, byte[]> rests = new HashMap<>();
    private final Set<String> holding = ConcurrentHashMap.newKeySet();
    private final Map<String, String> roles = new ConcurrentHashMap<>(Map.of("p", "writer"));
    private final Map<String, byte[]> answersAtOnce = new ConcurrentHashMap<>();
    /** How many descriptors the program may open, whatever its configuration says. */
    protected int descriptors = 1024;
    /** Where the program listens, once it was started. */
    protected int port;

    /** Starts the program and plays the steps. */
    protected void play(String steps) throws Exception {
        play(text -> text, steps);
    }

    /** Plays with a changed configuration. */
    protected void play(UnaryOperator<String> change, String steps) throws Exception {
        String text = change.apply(Scenario.config());
        for (String server : List.of("r1", "r2", "p")) {
            text = text.replaceFirst(
                    "127.0.0.1:9\", \"az\"", address(server, listen(s -> serve(server, s))) + "\", \"az\"");
        }
        configText = text;
        config = folder.resolve("config.json");
        configure("list");
        ProcessBuilder start = new ProcessBuilder(
                "sh",
                "-c",
                "ulimit -n " + descriptors + "; exec \"$@\"",
                "sh",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-ea",
                "-XX:TieredStopAtLevel=1",
                "-Xmx64m",
                "-XX:+UseSerialGC",
                "-XX:MaxDirectMemorySize=8m",
                "-cp",
                ProgramJar.classPath(folder),
                "stoatrill.Main",
                "serve");
        start.environment().keySet().removeIf(name -> name.startsWith("PROXY_"));
        start.environment().put("PROXY_CONFIG", config.toString());
        router = start.redirectErrorStream(true).start();
        BufferedReader log = new BufferedReader(new InputStreamReader(router.getInputStream(), StandardCharsets.UTF_8));
        String line = log.readLine();
        assertTrue(line != null && line.contains("listens on"), line);
        port = Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
        background(() -> {
            String next;
            while ((next = log.readLine()) != null) {
                hear("router", next.replaceFirst(".* - ", "").replaceFirst("(moves|kept as it was).*", "$1"));
            }
        });
        Scenario.play(this, steps);
    }

    /** Writes the configuration so that it names that discovery, or writes what is none. */
    private void configure(String text) throws Exception {
        boolean discovery = text.startsWith("list");
        Files.writeString(
                config,
                !discovery ? text : configText.replace("127.0.0.1:9", "127.0.0.1:" + listen(s -> discover(text, s))));
    }

    /** A signal is out before it has taken effect: waits until every thread of the program has stopped. */
    private void awaitStopped() throws Exception {
        Path threads = Path.of("/proc", Long.toString(router.pid()), "task");
        boolean stopped = false;
        while (!stopped) {
            stopped = true;
            try (Stream<Path> all = Files.list(threads)) {
                for (Path thread : (Iterable<Path>) all::iterator) {
                    String stat = Files.readString(thread.resolve("stat"));
                    stopped &= stat.substring(stat.lastIndexOf(')')).startsWith(") T");
                }
            }
        }
    }

    private String address(String server, int port) {
        addresses.put(server, "127.0.0.1:" + port);
        return addresses.get(server);
    }

    @AfterEach
    protected void end() throws Exception {
        for (Closeable c : open) {
            c.close();
        }
        if (router != null) {
            router.destroyForcibly().waitFor();
        }
    }

    // ---- The stage ----

    @Override
    public void send(String actor, String text) throws Exception {
        String[] words = text.split(" ", 2);
        if (actor.equals("router")) {
            if (words.length > 1 && !words[1].equals(configured)) {
                configured = words[1];
                configure(configured);
            }
            signalled = System.nanoTime();
            new ProcessBuilder("kill", "-" + words[0], Long.toString(router.pid()))
                    .start()
                    .waitFor();
            if (words[0].equals("STOP")) {
                awaitStopped();
            }
        } else if (actor.startsWith("list")) {
            for (String server : addresses.keySet()) {
                text = text.replace("@" + server, addresses.get(server));
            }
            write(
                    current.get(actor),
                    ("HTTP/1.1 200 OK\r\nContent-Length: " + text.length() + "\r\n\r\n" + text)
                            .getBytes(StandardCharsets.UTF_8));
        } else if (List.of("r1", "r2", "p").contains(actor)) {
            if (serverSends(actor, words)) {
                return;
            }
            byte[] body = words[0].equals("row")
                    ? row(words[1])
                    : message('E', ("SERROR\0C" + words[1] + "\0Mno\0\0").getBytes(StandardCharsets.UTF_8));
            byte[] more = role(actor);
            if (words[0].equals("part")) { // so many bytes of an answer, then the end, or where it is not whole a reset
                byte[] all = ByteBuffer.allocate(row("x").length + more.length + 6)
                        .put(row("x"))
                        .put(more)
                        .put(READY)
                        .array();
                Socket server = current.get(actor);
                int n = Integer.parseInt(words[1]);
                server.getOutputStream().write(all, 0, n);
                if (n % 2 == 1 && n != row("x").length && n != row("x").length + more.length) {
                    server.setSoLinger(true, 0);
                }
                server.close();
                return;
            }
            write(current.get(actor), body, more, READY);
        } else {
            Socket client = clients.get(actor);
            if (words[0].equals("crowd")) { // many connections that say nothing
                String[] many = words[1].strip().split(" ", -1);
                for (int n = Integer.parseInt(many[0]); n > 0; n--) {
                    crowd.add(new Socket(InetAddress.getLoopbackAddress(), port));
                    open.add(crowd.get(crowd.size() - 1));
                    if (many.length > 1) {
                        write(
                                crowd.get(crowd.size() - 1),
                                startup(),
                                many[1].equals("talking")
                                        ? query(";")
                                        : ByteBuffer.allocate(64_000)
                                                .put((byte) 'Q')
                                                .putInt(128 << 10)
                                                .array());
                    }
                }
                return;
            }
            if (words[0].equals("leave")) {
                for (Socket one : crowd) {
                    one.close();
                }
                return;
            }
            if (client == null) {
                client = connect();
                clients.put(actor, client);
            }
            switch (words[0]) {
                case "startup" -> write(client, startup());
                case "flood" -> flood(client);
                case "many" -> {
                    String[] many = words[1].split(" ", 2);
                    byte[][] all = new byte[Integer.parseInt(many[0])][];
                    Arrays.fill(all, query(many.length > 1 ? many[1] : "SELECT 1"));
                    write(client, all);
                }
                case "hex" -> write(client, java.util.HexFormat.of().parseHex(words.length > 1 ? words[1] : ""));
                case "cancel" ->
                    write(
                            client,
                            ByteBuffer.allocate(16)
                                    .putInt(16)
                                    .putInt(80877102)
                                    .put(cancelKeys.getOrDefault(words[1], new byte[8]))
                                    .array());
                case "query" -> write(client, query(words[1]));
                case "first" -> { // so many bytes of the query that follows; the rest goes out by "rest"
                    String[] what = words[1].split(" ", 3);
                    byte[] all = query((what[1].equals("read") ? READ : WRITE).formatted(what[2]));
                    int cut = Integer.parseInt(what[0]);
                    write(client, Arrays.copyOf(all, cut));
                    rests.put(actor, Arrays.copyOfRange(all, cut, all.length));
                }
                case "rest" -> write(client, rests.remove(actor));
                case "reset" -> {
                    client.setSoLinger(true, 0);
                    client.close();
                }
                case "read" -> write(client, query(READ.formatted(words[1])));
                case "write" -> write(client, query(WRITE.formatted(words[1])));
                case "writes" -> {
                    byte[][] all = new byte[Integer.parseInt(words[1])][];
                    Arrays.setAll(all, n -> query(WRITE.formatted(n)));
                    write(client, all);
                }
                default -> write(client, query(READ.formatted(words[1])), query(WRITE.formatted(words[1] + "0")));
            }
        }
    }

    /**
     * Carries out what is no plain answer of a server: {@code hold} keeps further connections from coming up and
     * {@code welcome} lets the newest and all later ones up, {@code role} changes what it says of itself from now on,
     * {@code always ROW} answers everything at once from now on, and {@code to ID} answers that request.
     */
    private boolean serverSends(String server, String[] words) throws Exception {
        switch (words[0]) {
            case "hold" -> holding.add(server);
            case "welcome" -> {
                holding.remove(server);
                write(current.get(server), GREETING);
            }
            case "role" -> roles.put(server, words[1]);
            case "always" -> answersAtOnce.put(server, row(words[1]));
            case "to" -> {
                String[] what = words[1].split(" ", 2);
                current.put(server, current.get(server + "/" + what[0]));
                send(server, what[1]);
            }
            default -> {
                return false;
            }
        }
        return true;
    }

    private byte[] role(String server) {
        String role = "server_role\0" + roles.getOrDefault(server, "reader") + "\0";
        return message('S', role.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void expect(String actor, String text) throws Exception {
        Socket client = clients.get(actor);
        if (text.startsWith("later ")) { // so long after the last signal, whatever the router does meanwhile
            long until = signalled + Long.parseLong(text.substring(6)) * 1_000_000;
            while (System.nanoTime() < until) {
                java.util.concurrent.locks.LockSupport.parkNanos(until - System.nanoTime());
            }
            return;
        }
        if (client == null) {
            BlockingQueue<String> of = heard.computeIfAbsent(actor, a -> new LinkedBlockingQueue<>());
            if (text.equals("nothing")) {
                assertEquals(null, of.peek());
                return;
            }
            String next = of.poll(PATIENCE_S, TimeUnit.SECONDS);
            assertNotNull(next, "nothing came");
            boolean begins = text.endsWith("*") && next.startsWith(text.substring(0, text.length() - 1));
            assertEquals(begins ? next : text, next);
            return;
        }
        DataInputStream in = new DataInputStream(client.getInputStream());
        if (text.equals("end")) {
            assertEquals(-1, in.read());
        } else if (text.startsWith("byte ")) {
            assertEquals(text.charAt(5), in.read());
        } else if (text.contains(" errors ")) {
            for (int n = Integer.parseInt(text.split(" ", -1)[0]); n > 0; n--) {
                assertEquals("error " + text.split(" ", -1)[2], answer(actor, in));
            }
        } else {
            assertEquals(text, answer(actor, in));
        }
    }

    /** A new connection to the program, on which reads give up when the test's patience is over. */
    protected Socket connect() throws IOException {
        return connect(new Socket());
    }

    /** Connects a socket whose buffers may have been set. */
    protected Socket connect(Socket client) throws IOException {
        client.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        client.setSoTimeout((int) (PATIENCE_S * 1000));
        open.add(client);
        return client;
    }

    /** Sends a message said to have 60 MB as fast as it is taken, on and on until the other side has had enough. */
    private static void flood(Socket client) throws IOException {
        write(client, java.util.HexFormat.of().parseHex("5103938700"));
        background(() -> {
            byte[] some = new byte[1 << 16];
            for (int n = 0; n < 900; n++) {
                client.getOutputStream().write(some);
            }
        });
    }

    /** What an actor without a connection of its own has heard and nobody has expected yet. */
    protected List<String> heardBy(String actor) {
        return List.copyOf(heard.getOrDefault(actor, new LinkedBlockingQueue<>()));
    }

    /** What one whole answer says, up to ReadyForQuery or a fatal error. */
    protected String answer(String actor, DataInputStream in) throws IOException {
        String said = "ready";
        while (true) {
            char type = (char) in.readByte();
            String body = new String(in.readNBytes(in.readInt() - 4), StandardCharsets.ISO_8859_1);
            switch (type) {
                case 'K' -> cancelKeys.put(actor, body.getBytes(StandardCharsets.ISO_8859_1));
                case 'I' -> said = "empty";
                case 'D' -> said = "row " + body.substring(6);
                case 'E' ->
                    said = (body.startsWith("SFATAL") ? "fatal " : "error ")
                            + body.substring(body.indexOf("\0C") + 2, body.indexOf("\0M"));
                default -> {}
            }
            if (type == 'Z' || said.startsWith("fatal")) {
                return said;
            }
        }
    }

    @Override
    public void close(String actor) throws Exception {
        Socket socket = clients.containsKey(actor) ? clients.remove(actor) : current.get(actor);
        socket.close();
    }

    @Override
    public void pass(long millis) {
        throw new IllegalArgumentException("real time is waited for by what is expected, not by the clock");
    }

    // ---- Peers ----

    private interface Work<T> {
        void on(T what) throws Exception;
    }

    private interface Loop {
        void run() throws Exception;
    }

    private int listen(Work<Socket> peer) throws IOException {
        ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        accept(listener, peer);
        return listener.getLocalPort();
    }

    /** Plays a server's part on all connections to a listener from now on. */
    protected void accept(ServerSocket listener, String server) {
        accept(listener, socket -> serve(server, socket));
    }

    private void accept(ServerSocket listener, Work<Socket> peer) {
        open.add(listener);
        background(() -> {
            while (true) {
                Socket socket = listener.accept();
                open.add(socket);
                background(() -> peer.on(socket));
            }
        });
    }

    private static void background(Loop loop) {
        Thread thread = new Thread(() -> {
            try {
                loop.run();
            } catch (Exception e) {
                // the connection has ended, as it does at the end of every scenario
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void hear(String actor, String what) {
        heard.computeIfAbsent(actor, a -> new LinkedBlockingQueue<>()).add(what);
    }

    private void serve(String name, Socket socket) throws IOException {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        in.readNBytes(in.readInt() - 4);
        if (holding.contains(name)) {
            current.put(name, socket);
            hear(name, "connect");
        } else {
            write(socket, GREETING);
        }
        while (in.readByte() == 'Q') {
            String text = new String(in.readNBytes(in.readInt() - 4), StandardCharsets.UTF_8);
            current.put(name, socket);
            String id = text.substring(text.indexOf("id=") + 3, text.indexOf(",c="));
            current.put(name + "/" + id, socket);
            byte[] atOnce = answersAtOnce.get(name);
            if (atOnce != null) {
                write(socket, atOnce, role(name), READY);
            }
            hear(name, (text.startsWith("SELECT") ? "read " : "write ") + id);
        }
    }

    private void discover(String name, Socket socket) throws IOException {
        BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
        String line;
        while ((line = in.readLine()) != null) {
            if (line.startsWith("GET")) {
                current.put(name, socket);
                hear(name, line.replace(" HTTP/1.1", "").replaceFirst("hold_ms=[1-9]\\d*", "hold_ms=WAIT"));
            }
        }
    }

    protected static void write(Socket socket, byte[]... parts) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            all.write(part);
        }
        socket.getOutputStream().write(all.toByteArray());
    }
}
