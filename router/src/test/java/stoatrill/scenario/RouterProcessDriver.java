package stoatrill.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stoatrill.scenario.PgMessages.EMPTY_QUERY_REPLY;
import static stoatrill.scenario.PgMessages.GREETING;
import static stoatrill.scenario.PgMessages.READY;
import static stoatrill.scenario.PgMessages.isEmptyQuery;
import static stoatrill.scenario.PgMessages.message;
import static stoatrill.scenario.PgMessages.query;
import static stoatrill.scenario.PgMessages.row;
import static stoatrill.scenario.PgMessages.startup;

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
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs the router as a process and connects to it over loopback. The actors {@code r1}, {@code r2} and {@code p} are
 * scripted servers. {@code list} is the discovery service and {@code list2} the one that a reload moves to.
 * {@code router} is the process: its texts are signals, each sent after the configuration file has been replaced if the
 * text says so. Any other name is a client connection.
 */
public abstract class RouterProcessDriver implements Scenario.Driver {
    private static final long TIMEOUT_SECONDS = 20;
    protected static final String CONNECTED = "c send startup\nc expect ready\n";
    /** A new client gets its answer, and so does client c, whose write 1 is in progress. */
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

    /** Bytes that begin no message. */
    private static final byte[] NOISE = "\1\2\3 no message begins like this \4\5".getBytes(StandardCharsets.US_ASCII);

    protected static final String READ = "SELECT v FROM records WHERE k = 'a1' /* id=%s,c=archive,d=25000,cluster=0 */";
    protected static final String WRITE =
            "INSERT INTO records (k, v) VALUES ('a1', '\\x01') RETURNING v /* id=%s,c=upload,d=25000,cluster=0 */";

    @TempDir
    private Path directory;

    /** What the test has opened; threads that accept connections add to it until the end. */
    private final Queue<Closeable> closeables = new ConcurrentLinkedQueue<>();

    private final Map<String, BlockingQueue<String>> receivedByActor = new ConcurrentHashMap<>();
    private final Map<String, Socket> latestSockets = new ConcurrentHashMap<>();
    private final Map<String, Socket> clients = new HashMap<>();
    private final List<Socket> idleClients = new ArrayList<>();
    private final Map<String, String> serverAddresses = new HashMap<>();
    private final Map<String, byte[]> cancelKeys = new HashMap<>();
    /** The router process, null until it is started. It is killed at the end of the test. */
    protected Process router;

    private Path configFile;
    private String configText;
    private String configuredDiscovery = "list";
    private long signalledAt;
    private final Map<String, byte[]> unsentRests = new HashMap<>();
    private final Set<String> heldServers = ConcurrentHashMap.newKeySet();
    /** Servers that send surplus data behind their answers, with the kind of it. */
    private final Map<String, String> surplusKinds = new ConcurrentHashMap<>();
    /** Surplus data that a server has sent and its system holds back until the router sends something. */
    private final Map<Socket, byte[]> heldBackData = new ConcurrentHashMap<>();

    private final Map<String, String> serverRoles = new ConcurrentHashMap<>(Map.of("p", "writer"));
    private final Map<String, byte[]> automaticAnswers = new ConcurrentHashMap<>();
    private final Map<String, byte[]> automaticReadAnswers = new ConcurrentHashMap<>();
    /** The limit on the descriptors of the router process, whatever its configuration says. */
    protected int allowedDescriptors = 1024;
    /** The port that the router listens on, once it is started. */
    protected int port;

    /** Starts the router and plays the steps. */
    protected void runScenario(String steps) throws Exception {
        runScenario(text -> text, steps);
    }

    /** Starts the router with a changed configuration and plays the steps. */
    protected void runScenario(UnaryOperator<String> change, String steps) throws Exception {
        String text = change.apply(Scenario.defaultConfig());
        for (String server : List.of("r1", "r2", "p")) {
            text = text.replaceFirst(
                    "127.0.0.1:9\", \"az\"",
                    registerAddress(server, listen(socket -> serveConnection(server, socket))) + "\", \"az\"");
        }
        configText = text;
        configFile = directory.resolve("config.json");
        configure("list");
        ProcessBuilder builder = new ProcessBuilder(
                "sh",
                "-c",
                "ulimit -n " + allowedDescriptors + "; exec \"$@\"",
                "sh",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-ea",
                "-XX:TieredStopAtLevel=1",
                "-Xmx64m",
                "-XX:+UseSerialGC",
                "-XX:MaxDirectMemorySize=8m",
                "-cp",
                ProgramJar.classPath(directory),
                "stoatrill.Main",
                "serve");
        builder.environment().keySet().removeIf(name -> name.startsWith("PROXY_"));
        builder.environment().put("PROXY_CONFIG", configFile.toString());
        router = builder.redirectErrorStream(true).start();
        BufferedReader log = new BufferedReader(new InputStreamReader(router.getInputStream(), StandardCharsets.UTF_8));
        String line = log.readLine();
        assertTrue(line != null && line.contains("listens on"), line);
        port = Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
        runInBackground(() -> {
            String logLine;
            while ((logLine = log.readLine()) != null) {
                String message = logLine.replaceFirst(".* - ", "");
                // The line that announces a shutdown may come before or after those of a reload that is under way.
                recordReceived(
                        message.startsWith("shutdown:") ? "shutdown" : "router",
                        message.replaceFirst("(moves|kept as it was|shutdown).*", "$1"));
            }
        });
        Scenario.run(this, steps);
    }

    /** Writes the configuration with the discovery service of that name, or an invalid one with any other text. */
    private void configure(String text) throws Exception {
        boolean namesDiscovery = text.startsWith("list");
        Files.writeString(
                configFile,
                !namesDiscovery
                        ? text
                        : configText.replace(
                                "127.0.0.1:9", "127.0.0.1:" + listen(socket -> serveDiscovery(text, socket))));
    }

    /** Waits until every thread of the process has stopped, since kill returns before SIGSTOP takes effect. */
    private void awaitStopped() throws Exception {
        Path taskDirectory = Path.of("/proc", Long.toString(router.pid()), "task");
        boolean allStopped = false;
        while (!allStopped) {
            allStopped = true;
            try (Stream<Path> entries = Files.list(taskDirectory)) {
                for (Path thread : (Iterable<Path>) entries::iterator) {
                    String stat = Files.readString(thread.resolve("stat"));
                    allStopped &= stat.substring(stat.lastIndexOf(')')).startsWith(") T");
                }
            }
        }
    }

    private String registerAddress(String server, int port) {
        serverAddresses.put(server, "127.0.0.1:" + port);
        return serverAddresses.get(server);
    }

    @AfterEach
    protected void closeAll() throws Exception {
        try {
            for (Closeable closeable : closeables) {
                closeable.close();
            }
        } finally {
            if (router != null) {
                router.destroyForcibly().waitFor();
            }
        }
    }

    @Override
    public void send(String actor, String text) throws Exception {
        String[] words = text.split(" ", 2);
        if (actor.equals("router")) {
            if (words.length > 1 && !words[1].equals(configuredDiscovery)) {
                configuredDiscovery = words[1];
                configure(configuredDiscovery);
            }
            signalledAt = System.nanoTime();
            new ProcessBuilder("kill", "-" + words[0], Long.toString(router.pid()))
                    .start()
                    .waitFor();
            if (words[0].equals("STOP")) {
                awaitStopped();
            }
        } else if (actor.startsWith("list")) {
            for (String server : serverAddresses.keySet()) {
                text = text.replace("@" + server, serverAddresses.get(server));
            }
            write(
                    latestSockets.get(actor),
                    ("HTTP/1.1 200 OK\r\nContent-Length: " + text.length() + "\r\n\r\n" + text)
                            .getBytes(StandardCharsets.UTF_8));
        } else if (List.of("r1", "r2", "p").contains(actor)) {
            if (handleServerCommand(actor, words)) {
                return;
            }
            byte[] body = words[0].equals("row")
                    ? row(words[1])
                    : message('E', ("SERROR\0C" + words[1] + "\0Mno\0\0").getBytes(StandardCharsets.UTF_8));
            if (words[0].equals("part")) {
                byte[] roleMessage = roleMessage(actor);
                // Sends that many bytes of an answer, then closes. An odd number that ends within a message is followed
                // by a reset instead.
                byte[] bytes = ByteBuffer.allocate(row("x").length + roleMessage.length + 6)
                        .put(row("x"))
                        .put(roleMessage)
                        .put(READY)
                        .array();
                Socket server = latestSockets.get(actor);
                int count = Integer.parseInt(words[1]);
                server.getOutputStream().write(bytes, 0, count);
                if (count % 2 == 1 && count != row("x").length && count != row("x").length + roleMessage.length) {
                    server.setSoLinger(true, 0);
                }
                server.close();
                return;
            }
            writeAnswer(actor, latestSockets.get(actor), body);
        } else {
            Socket client = clients.get(actor);
            if (words[0].equals("crowd")) { // many connections that stay idle, or begin a message
                String[] arguments = words[1].strip().split(" ", -1);
                for (int count = Integer.parseInt(arguments[0]); count > 0; count--) {
                    idleClients.add(new Socket(InetAddress.getLoopbackAddress(), port));
                    closeables.add(idleClients.get(idleClients.size() - 1));
                    if (arguments.length > 1) {
                        write(
                                idleClients.get(idleClients.size() - 1),
                                startup(),
                                arguments[1].equals("talking")
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
                for (Socket idleClient : idleClients) {
                    idleClient.close();
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
                    String[] arguments = words[1].split(" ", 2);
                    byte[][] bytes = new byte[Integer.parseInt(arguments[0])][];
                    Arrays.fill(bytes, query(arguments.length > 1 ? arguments[1] : "SELECT 1"));
                    write(client, bytes);
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
                case "first" -> { // that many bytes of the query; "rest" sends the others
                    String[] arguments = words[1].split(" ", 3);
                    byte[] bytes = query((arguments[1].equals("read") ? READ : WRITE).formatted(arguments[2]));
                    int cut = Integer.parseInt(arguments[0]);
                    write(client, Arrays.copyOf(bytes, cut));
                    unsentRests.put(actor, Arrays.copyOfRange(bytes, cut, bytes.length));
                }
                case "rest" -> write(client, unsentRests.remove(actor));
                case "reset" -> {
                    client.setSoLinger(true, 0);
                    client.close();
                }
                case "read" -> write(client, query(READ.formatted(words[1])));
                case "write" -> write(client, query(WRITE.formatted(words[1])));
                case "writes" -> {
                    byte[][] bytes = new byte[Integer.parseInt(words[1])][];
                    Arrays.setAll(bytes, id -> query(WRITE.formatted(id)));
                    write(client, bytes);
                }
                default -> write(client, query(READ.formatted(words[1])), query(WRITE.formatted(words[1] + "0")));
            }
        }
    }

    /**
     * Carries out server commands other than plain answers. {@code hold} withholds the greeting from new connections
     * and {@code welcome} greets the newest and all later ones. {@code role} sets the role that the server reports.
     * {@code always ROW} answers all further requests at once, and {@code reads ROW} all further reads. {@code to ID}
     * answers the request with that id. {@code surplus copy} and {@code surplus noise} send that behind each further
     * answer, and {@code surplus none} ends it.
     *
     * @return whether the words were such a command
     */
    private boolean handleServerCommand(String server, String[] words) throws Exception {
        switch (words[0]) {
            case "hold" -> heldServers.add(server);
            case "welcome" -> {
                heldServers.remove(server);
                write(latestSockets.get(server), GREETING);
            }
            case "role" -> serverRoles.put(server, words[1]);
            case "surplus" -> surplusKinds.put(server, words[1]);
            case "always" -> automaticAnswers.put(server, row(words[1]));
            case "reads" -> automaticReadAnswers.put(server, row(words[1]));
            case "to" -> {
                String[] arguments = words[1].split(" ", 2);
                latestSockets.put(server, latestSockets.get(server + "/" + arguments[0]));
                send(server, arguments[1]);
            }
            default -> {
                return false;
            }
        }
        return true;
    }

    /**
     * Writes a server's answer. Surplus data behind it is held back until the router sends something on the connection,
     * as Nagle's algorithm does until the router's system acknowledges the answer, which it does with that.
     */
    private void writeAnswer(String server, Socket socket, byte[] body) throws IOException {
        switch (surplusKinds.getOrDefault(server, "none")) {
            case "copy" -> heldBackData.put(socket, concatenate(body, roleMessage(server), READY));
            case "noise" -> heldBackData.put(socket, NOISE);
            default -> {}
        }
        write(socket, body, roleMessage(server), READY);
    }

    private byte[] roleMessage(String server) {
        String role = "server_role\0" + serverRoles.getOrDefault(server, "reader") + "\0";
        return message('S', role.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void expect(String actor, String text) throws Exception {
        Socket client = clients.get(actor);
        if (text.startsWith("later ")) { // waits until that many milliseconds after the last signal
            long deadline = signalledAt + Long.parseLong(text.substring(6)) * 1_000_000;
            while (System.nanoTime() < deadline) {
                java.util.concurrent.locks.LockSupport.parkNanos(deadline - System.nanoTime());
            }
            return;
        }
        if (client == null) {
            BlockingQueue<String> received = receivedByActor.computeIfAbsent(actor, a -> new LinkedBlockingQueue<>());
            if (text.equals("nothing")) {
                assertEquals(null, received.peek());
                return;
            }
            String next = received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            assertNotNull(next, "nothing was received in time");
            boolean matchesPrefix = text.endsWith("*") && next.startsWith(text.substring(0, text.length() - 1));
            assertEquals(matchesPrefix ? next : text, next);
            return;
        }
        DataInputStream input = new DataInputStream(client.getInputStream());
        if (text.equals("end")) {
            assertEquals(-1, input.read());
        } else if (text.startsWith("byte ")) {
            assertEquals(text.charAt(5), input.read());
        } else if (text.contains(" errors ")) {
            for (int remaining = Integer.parseInt(text.split(" ", -1)[0]); remaining > 0; remaining--) {
                assertEquals("error " + text.split(" ", -1)[2], readAnswer(actor, input));
            }
        } else {
            assertEquals(text, readAnswer(actor, input));
        }
    }

    /** Opens a connection to the router, on which reads fail after {@link #TIMEOUT_SECONDS}. */
    protected Socket connect() throws IOException {
        return connect(new Socket());
    }

    /** Connects a socket, whose buffer sizes the caller may have set. */
    protected Socket connect(Socket client) throws IOException {
        client.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        client.setSoTimeout((int) (TIMEOUT_SECONDS * 1000));
        closeables.add(client);
        return client;
    }

    /** Sends a message with a declared length of 60 MB as fast as possible, until the other side closes. */
    private static void flood(Socket client) throws IOException {
        write(client, java.util.HexFormat.of().parseHex("5103938700"));
        runInBackground(() -> {
            byte[] chunk = new byte[1 << 16];
            for (int sent = 0; sent < 900; sent++) {
                client.getOutputStream().write(chunk);
            }
        });
    }

    /** Returns what an actor other than a client has received and no step has expected yet. */
    protected List<String> unexpectedMessagesOf(String actor) {
        return List.copyOf(receivedByActor.getOrDefault(actor, new LinkedBlockingQueue<>()));
    }

    /** Reads one answer, up to ReadyForQuery or a fatal error, and returns a summary of it. */
    protected String readAnswer(String actor, DataInputStream input) throws IOException {
        String summary = "ready";
        while (true) {
            char type = (char) input.readByte();
            String body = new String(input.readNBytes(input.readInt() - 4), StandardCharsets.ISO_8859_1);
            switch (type) {
                case 'K' -> cancelKeys.put(actor, body.getBytes(StandardCharsets.ISO_8859_1));
                case 'I' -> summary = "empty";
                case 'D' -> summary = "row " + body.substring(6);
                case 'E' ->
                    summary = (body.startsWith("SFATAL") ? "fatal " : "error ")
                            + body.substring(body.indexOf("\0C") + 2, body.indexOf("\0M"));
                default -> {}
            }
            if (type == 'Z' || summary.startsWith("fatal")) {
                return summary;
            }
        }
    }

    @Override
    public void close(String actor) throws Exception {
        Socket socket = clients.containsKey(actor) ? clients.remove(actor) : latestSockets.get(actor);
        socket.close();
    }

    @Override
    public void advanceTime(long millis) {
        throw new IllegalArgumentException("wait is not supported here; scenarios in real time wait by expect steps");
    }

    private interface ConnectionHandler<T> {
        void handle(T what) throws Exception;
    }

    private interface Task {
        void run() throws Exception;
    }

    private int listen(ConnectionHandler<Socket> handler) throws IOException {
        ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        accept(listener, handler);
        return listener.getLocalPort();
    }

    /** Serves all connections to a listener as the given scripted server. */
    protected void accept(ServerSocket listener, String server) {
        accept(listener, socket -> serveConnection(server, socket));
    }

    private void accept(ServerSocket listener, ConnectionHandler<Socket> handler) {
        closeables.add(listener);
        runInBackground(() -> {
            while (true) {
                Socket socket = listener.accept();
                closeables.add(socket);
                runInBackground(() -> handler.handle(socket));
            }
        });
    }

    private static void runInBackground(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception ignored) {
                // the connection was closed, as at the end of every scenario
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void recordReceived(String actor, String message) {
        receivedByActor.computeIfAbsent(actor, a -> new LinkedBlockingQueue<>()).add(message);
    }

    private void serveConnection(String name, Socket socket) throws IOException {
        DataInputStream input = new DataInputStream(socket.getInputStream());
        input.readNBytes(input.readInt() - 4);
        if (heldServers.contains(name)) {
            latestSockets.put(name, socket);
            recordReceived(name, "connect");
        } else {
            write(socket, GREETING);
        }
        while (input.readByte() == 'Q') {
            byte[] heldBack = heldBackData.remove(socket);
            if (heldBack != null) {
                write(socket, heldBack);
            }
            String text = new String(input.readNBytes(input.readInt() - 4), StandardCharsets.UTF_8);
            if (isEmptyQuery(text)) {
                write(socket, EMPTY_QUERY_REPLY);
                continue;
            }
            latestSockets.put(name, socket);
            String id = text.substring(text.indexOf("id=") + 3, text.indexOf(",c="));
            latestSockets.put(name + "/" + id, socket);
            boolean isRead = text.startsWith("SELECT");
            byte[] automaticAnswer = automaticAnswers.get(name);
            if (automaticAnswer == null && isRead) {
                automaticAnswer = automaticReadAnswers.get(name);
            }
            if (automaticAnswer != null) {
                writeAnswer(name, socket, automaticAnswer);
            }
            recordReceived(name, (isRead ? "read " : "write ") + id);
        }
    }

    private void serveDiscovery(String name, Socket socket) throws IOException {
        BufferedReader input =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
        String line;
        while ((line = input.readLine()) != null) {
            if (line.startsWith("GET")) {
                latestSockets.put(name, socket);
                recordReceived(name, line.replace(" HTTP/1.1", "").replaceFirst("hold_ms=[1-9]\\d*", "hold_ms=WAIT"));
            }
        }
    }

    protected static void write(Socket socket, byte[]... parts) throws IOException {
        socket.getOutputStream().write(concatenate(parts));
    }

    private static byte[] concatenate(byte[]... parts) throws IOException {
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            message.write(part);
        }
        return message.toByteArray();
    }
}
