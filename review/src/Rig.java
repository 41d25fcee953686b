import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedInputStream;
import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/** What the cases share: a small deployment of stand-ins on loopback, routers as processes, clients and a record. */
final class Rig implements AutoCloseable {
    private static final double LONGEST_RUN_MS = 115_000;
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    final Path root = Path.of(System.getProperty("review.root"));
    final Path temporary;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final List<Node> nodes = new ArrayList<>();
    final List<Router> routers = new ArrayList<>();
    final Discovery discovery;
    private final BufferedWriter record;
    private boolean isClosed; // guarded by the record
    private final long startedAt = System.nanoTime();

    Rig(Path recordFile) throws IOException {
        temporary = Files.createTempDirectory("review");
        record = Files.newBufferedWriter(recordFile);
        discovery = new Discovery();
        say("trouble " + (trouble ? "on" : "off"));
    }

    /** What a case does; returns whether the rule held. */
    interface Body {
        boolean run(Rig rig) throws Exception;
    }

    /** Runs a case and ends the process: 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
    static void run(String recordFile, Body body) {
        int status = 2;
        try (Rig rig = new Rig(Path.of(recordFile))) {
            Runtime.getRuntime().addShutdownHook(new Thread(() -> rig.routers.forEach(r -> r.process.destroyForcibly())));
            start("watchdog", () -> {
                sleep(LONGEST_RUN_MS);
                System.err.println("the run takes too long");
                System.exit(2); // the hook above ends the routers
            });
            boolean held = body.run(rig);
            rig.say(held ? "the rule held" : "THE RULE WAS BROKEN");
            status = held ? 0 : 1;
        } catch (Throwable e) {
            e.printStackTrace();
        }
        System.exit(status);
    }

    long millis() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    /** Writes one line with its time to the record. */
    void note(String line) {
        synchronized (record) {
            if (isClosed) {
                return;
            }
            try {
                record.write(String.format(Locale.ROOT, "%9.3f %s%n", (System.nanoTime() - startedAt) / 1e9, line));
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    /** Writes one line to the record and to standard output. */
    void say(String line) {
        note(line);
        System.out.println(line);
    }

    /** Waits; exact to a tenth of a millisecond or so, which Thread.sleep is not. */
    static void sleep(double millis) {
        long until = System.nanoTime() + (long) (millis * 1e6);
        for (long rest; (rest = until - System.nanoTime()) > 0; ) {
            LockSupport.parkNanos(rest);
        }
    }

    static Thread start(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    @Override
    public void close() throws IOException {
        for (Router router : routers) {
            router.process.destroyForcibly();
            try {
                router.process.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        for (Node node : nodes) {
            node.kill();
        }
        discovery.server.stop(0);
        synchronized (record) {
            isClosed = true;
            record.close();
        }
        try (var files = Files.walk(temporary)) {
            files.sorted((a, b) -> b.compareTo(a)).forEach(f -> f.toFile().delete());
        }
    }

    // ---- Discovery ----

    /** Discovery over HTTP: the whole list, and a watch that waits for what is newer. */
    final class Discovery {
        final HttpServer server;
        private final Map<String, String> entries = new LinkedHashMap<>();
        private final Map<String, Long> changedAt = new HashMap<>();
        private long version = 40;

        Discovery() throws IOException {
            server = HttpServer.create(new InetSocketAddress(LOOPBACK, 0), 64);
            server.setExecutor(Executors.newCachedThreadPool(task -> {
                Thread thread = new Thread(task, "discovery");
                thread.setDaemon(true);
                return thread;
            }));
            server.createContext("/v1/servers", this::serve);
            server.start();
        }

        String address() {
            return "127.0.0.1:" + server.getAddress().getPort();
        }

        synchronized void show(Node node, String state, String access) {
            entries.put(
                    node.uid,
                    String.format(
                            "{\"uid\":\"%s\",\"endpoint\":\"127.0.0.1:%d\",\"az\":\"%s\",\"model\":\"std-8\","
                                    + "\"pod_group\":0,\"state\":\"%s\",\"capacity_hint\":1.0,\"boot_ms\":%d,"
                                    + "\"access\":\"%s\"}",
                            node.uid, node.port, node.zone, state, node.bootMillis, access));
            changedAt.put(node.uid, ++version);
            note("discovery: rev " + version + " " + node.uid + " " + state + " " + access);
            notifyAll();
        }

        synchronized String list(long from) {
            List<String> targets = new ArrayList<>();
            entries.forEach((uid, entry) -> {
                if (from < 0 ? !entry.contains("\"Gone\"") : changedAt.get(uid) > from) {
                    targets.add(entry);
                }
            });
            return "{\"rev\":" + version + ",\"all\":" + (from < 0) + ",\"targets\":[" + String.join(",", targets)
                    + "]}";
        }

        private void serve(HttpExchange call) throws IOException {
            try (call) {
                long from = -1;
                long hold = 0;
                String query = call.getRequestURI().getQuery();
                for (String part : query == null ? new String[0] : query.split("&")) {
                    from = part.startsWith("from=") ? Long.parseLong(part.substring(5)) : from;
                    hold = part.startsWith("hold_ms=") ? Long.parseLong(part.substring(8)) : hold;
                }
                long until = System.nanoTime() + hold * 1_000_000;
                byte[] body;
                synchronized (this) {
                    while (from >= version && System.nanoTime() < until) {
                        wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
                    }
                    body = list(from).getBytes(StandardCharsets.UTF_8);
                }
                call.getResponseHeaders().set("Content-Type", "application/json");
                call.sendResponseHeaders(200, body.length);
                call.getResponseBody().write(body);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    // ---- Routers ----

    /** A router process, started by the `run` line of the deploy file. */
    final class Router {
        final String name;
        final int port;
        final Process process;
        final File log;

        Router(String name, int zone, int index, int count, int sockets) throws IOException {
            this.name = name;
            try (ServerSocket free = new ServerSocket(0, 1, LOOPBACK)) {
                port = free.getLocalPort();
            }
            Path home = Files.createDirectory(temporary.resolve(name + "-" + routers.size()));
            Path config = home.resolve("config.json");
            Files.writeString(config, config(name, port, zone, index, count, sockets));
            log = new File(home.toFile(), "log");
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runLine());
            builder.directory(root.toFile());
            builder.environment().put("PROXY_NAME", name);
            builder.environment().put("PROXY_LISTEN", "127.0.0.1:" + port);
            builder.environment().put("PROXY_DISCOVERY", discovery.address());
            builder.environment().put("PROXY_CONFIG", config.toString());
            builder.environment().put("TMPDIR", home.toString());
            builder.redirectErrorStream(true).redirectOutput(log);
            process = builder.start();
            routers.add(this);
            note("router " + name + " started, pid " + process.pid());
        }

        /** Waits until the router answers the empty query. */
        void awaitReady() throws IOException {
            for (int n = 0; n < 300 && process.isAlive(); n++) {
                try (Client client = new Client(port)) {
                    client.socket.setSoTimeout(2000);
                    client.send("");
                    if (client.answer().isEmptyQuery) {
                        note("router " + name + " is ready");
                        return;
                    }
                } catch (IOException e) {
                    sleep(100);
                }
            }
            throw new IOException("router " + name + " does not become ready");
        }

        /** Copies the last lines of the router's log to the record. */
        void noteLog(int lines) throws IOException {
            List<String> all = Files.readAllLines(log.toPath(), StandardCharsets.ISO_8859_1);
            all.subList(Math.max(0, all.size() - lines), all.size()).forEach(l -> note("log of " + name + ": " + l));
        }

        private String runLine() throws IOException {
            for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
                if (line.startsWith("run = \"")) {
                    return line.substring(7, line.indexOf('"', 7));
                }
            }
            throw new IOException("the deploy file has no run line");
        }
    }

    private String config(String name, int port, int zone, int index, int count, int sockets) {
        return String.format(
                Locale.ROOT,
                """
                {"name":"%s","listen":"127.0.0.1:%d","discovery":"%s","seed":"%x",
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":%d},
                 "known":%s,
                 "settings":{
                  "allowed":{"cancel":true,"connIdle":30000000000,"connectTimeout":250000000,"cpuUsPerS":500000,
                   "maxAttempts":8,"maxRetryAfter":1000000000,"mayProbe":true,"mostHeld":20000,"peers":false,
                   "retryAfter":true,"secondCopies":true,"streamsPerConn":1},
                  "classes":[
                   {"name":"recent-read","aim":150000000,"giveUp":600000000,"gain":1.0,"lateWorth":0.0,
                    "semantics":"pure","group":"all","repeatWindow":5000000000,"stream":false},
                   {"name":"archive-read","aim":150000000,"giveUp":500000000,"gain":1.0,"lateWorth":0.2,
                    "semantics":"pure","group":"all","repeatWindow":5000000000,"stream":false},
                   {"name":"reading-upload","aim":300000000,"giveUp":3000000000,"gain":6.0,"lateWorth":0.3,
                    "semantics":"side_effect","group":"all","repeatWindow":5000000000,"stream":false}],
                  "discovery":"on_request","hostTypes":["std-8"],"zones":["mona","papine"],"zone":%d,"me":%d,
                  "replicasOfMe":%d,"step":2000000,"tier":0,"stages":["station-db"],"weights":"off",
                  "countedBy":"request","overShareWorth":0.1,"realms":[],"family":"replicas",
                  "familyInfo":{"serverChecks":"off","holdsFor":0,"progressTold":true,"tokenMode":"kept",
                   "showsRole":"trailing","commitWaits":true,"oldestData":[300000000,0,0],
                   "readLevel":["lag_bound","eventual","mutate"]},
                  "report":{"columns":["x0","x1","q"],"how":"inline"},
                  "rules":{"answerSlack":8000000,"askWithin":10000000000,"coldFrom":0.24,"drainGrace":2000000000,
                   "tipAfter":1000000000,"tipMultiple":3.0,"warmAfter":18000000000}}}
                """,
                name,
                port,
                discovery.address(),
                0x5eedL + index * 77L,
                sockets,
                discovery.list(-1),
                zone,
                index,
                count);
    }

    // ---- Record nodes ----

    /** Called in a node for every statement of a client that comes in whole. */
    interface Arrivals {
        void arrived(Node node, String id, boolean isWrite);
    }

    /** How a node sends an answer; may send more than the answer. */
    interface Sender {
        void send(Session session, byte[] answer, boolean isRequest) throws IOException;
    }

    /** A record node: eight slots, a queue, the answers that the protocol page describes. */
    final class Node {
        final String uid;
        final String zone;
        final int port;
        long bootMillis;
        volatile boolean isPrimary;
        volatile Arrivals arrivals = (node, id, isWrite) -> {};
        volatile Sender sender = (session, answer, isRequest) -> session.write(answer);
        /** How long a packet takes on its way to the node, and on its way back, in milliseconds. */
        volatile double latency;
        /** Coefficient of variation of the service time. */
        volatile double spread = 1.0;
        /** Mean service time in milliseconds, by class. */
        final Map<String, Double> work = new ConcurrentHashMap<>();
        final Random random;
        private final Semaphore slots = new Semaphore(8, true);
        private final AtomicInteger waiting = new AtomicInteger();
        private final Set<Session> sessions = ConcurrentHashMap.newKeySet();
        private volatile ServerSocket listener;
        private String report = "";
        private long reportAt;

        Node(String uid, String zone, boolean isPrimary) throws IOException {
            this.uid = uid;
            this.zone = zone;
            this.isPrimary = isPrimary;
            this.random = new Random(uid.hashCode());
            work.putAll(Map.of("recent-read", 30.0, "archive-read", 30.0, "reading-upload", 45.0));
            listener = new ServerSocket(0, 256, LOOPBACK);
            port = listener.getLocalPort();
            nodes.add(this);
            start("accept " + uid, this::accept);
        }

        private void accept() {
            ServerSocket own = listener;
            while (!own.isClosed()) {
                try {
                    Session session = new Session(this, own.accept());
                    sessions.add(session);
                    start("session " + uid, session);
                } catch (IOException e) {
                    return;
                }
            }
        }

        /** Its process ends: connections are reset and new ones refused. */
        void kill() throws IOException {
            listener.close();
            for (Session session : sessions) {
                session.reset();
            }
        }

        /** Its process starts again at its address. */
        void restart() throws IOException {
            bootMillis = System.currentTimeMillis();
            listener = new ServerSocket(port, 256, LOOPBACK);
            start("accept " + uid, this::accept);
        }

        private long position() {
            return System.currentTimeMillis() - (isPrimary ? 0 : 8);
        }

        private synchronized String report() {
            if (System.nanoTime() - reportAt > 150_000_000L) {
                reportAt = System.nanoTime();
                report = String.format(
                        Locale.ROOT, "x0=%.3f,x1=%d,q=%d", position() / 1e3, isPrimary ? 1 : 0, waiting.get());
            }
            return report;
        }

        private double draw(String requestClass) {
            synchronized (random) {
                double mean = work.getOrDefault(requestClass, 30.0);
                double variance = Math.log(1 + spread * spread); // lognormal, by its mean and coefficient of variation
                return mean * Math.exp(Math.sqrt(variance) * random.nextGaussian() - variance / 2);
            }
        }
    }

    /** One connection to a node. */
    final class Session implements Runnable {
        final Node node;
        final Socket socket;
        final DataInputStream in;
        private final OutputStream out;

        Session(Node node, Socket socket) throws IOException {
            this.node = node;
            this.socket = socket;
            socket.setTcpNoDelay(true);
            in = new DataInputStream(new BufferedInputStream(socket.getInputStream(), 8192));
            out = socket.getOutputStream();
        }

        void write(byte[] bytes) throws IOException {
            out.write(bytes);
        }

        void reset() {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // it is of no more use either way
            }
        }

        @Override
        public void run() {
            try (socket) {
                in.readFully(new byte[in.readInt() - 4]);
                write(join(
                        message('R', new byte[4]),
                        parameter("server_version", "15.0"),
                        message('K', new byte[8]),
                        message('Z', new byte[] {'I'})));
                while (true) {
                    int type = in.read();
                    if (type < 0 || type == 'X') {
                        return;
                    }
                    byte[] body = new byte[in.readInt() - 4];
                    in.readFully(body);
                    command(new String(body, 0, Math.max(0, body.length - 1), StandardCharsets.ISO_8859_1));
                }
            } catch (IOException e) {
                // the peer has gone
            } finally {
                node.sessions.remove(this);
            }
        }

        private void command(String text) throws IOException {
            travel();
            if (text.equals("SHOW usage")) {
                sleep(0.3);
                travel();
                node.sender.send(
                        this,
                        join(
                                row(node.report().getBytes(StandardCharsets.US_ASCII)),
                                message('C', zero("SHOW")),
                                message('Z', new byte[] {'I'})),
                        false);
                return;
            }
            String id = part(text, "id");
            boolean isWrite = text.startsWith("INSERT");
            node.arrivals.arrived(node, id, isWrite);
            long until = System.nanoTime() + Long.parseLong(part(text, "d")) * 1_000_000;
            if (isWrite && !node.isPrimary) {
                answer(error("25006", "this is a replica"));
                return;
            }
            if (node.waiting.incrementAndGet() > 200) {
                node.waiting.decrementAndGet();
                answer(error("53300", "queue full"));
                return;
            }
            node.slots.acquireUninterruptibly();
            node.waiting.decrementAndGet();
            try {
                if (System.nanoTime() > until) {
                    answer(error("53300", "the request is already over"));
                    return;
                }
                sleep(node.draw(part(text, "c")));
            } finally {
                node.slots.release();
            }
            String[] literals = text.split("'");
            byte[] value = isWrite ? fromHex(literals[3].substring(2)) : valueOf(literals[1]);
            note("ran " + id + " at " + node.uid);
            answer(join(row(value), message('C', zero(isWrite ? "INSERT 0 1" : "SELECT 1"))));
        }

        private void travel() {
            if (node.latency > 0) {
                sleep(node.latency);
            }
        }

        private void answer(byte[] messages) throws IOException {
            travel();
            node.sender.send(
                    this,
                    join(
                            messages,
                            parameter("server_role", node.isPrimary ? "writer" : "reader"),
                            parameter("commit_clock", Long.toString(node.position())),
                            parameter("usage", node.report()),
                            message('Z', new byte[] {'I'})),
                    true);
        }
    }

    /** The value that the record with this key holds. */
    static byte[] valueOf(String key) {
        return ("value of " + key).getBytes(StandardCharsets.US_ASCII);
    }

    // ---- Clients ----

    /** What came back for one query. */
    static final class Reply {
        byte[] value;
        String sqlState;
        String text = "";
        boolean isEmptyQuery;

        boolean isServed() {
            return sqlState == null && value != null;
        }

        @Override
        public String toString() {
            return sqlState != null
                    ? sqlState + " " + text
                    : value == null ? "empty" : "served " + new String(value, 0, Math.min(40, value.length), StandardCharsets.ISO_8859_1);
        }
    }

    /** A client's connection to a router. */
    static final class Client implements AutoCloseable {
        final Socket socket;
        private final DataInputStream in;
        private final OutputStream out;

        Client(int port) throws IOException {
            socket = new Socket();
            socket.connect(new InetSocketAddress(LOOPBACK, port), 3000);
            socket.setTcpNoDelay(true);
            in = new DataInputStream(new BufferedInputStream(socket.getInputStream(), 4096));
            out = socket.getOutputStream();
            byte[] body = zero("user\0svc\0database\0main\0");
            out.write(join(ints(8 + body.length, 196608), body));
        }

        /** Reads the answer to the startup message. */
        void awaitStartup() throws IOException {
            int type;
            do {
                type = in.readUnsignedByte();
                in.readFully(new byte[in.readInt() - 4]);
            } while (type != 'Z');
        }

        static byte[] query(String text) {
            return message('Q', zero(text));
        }

        void send(String text) throws IOException {
            out.write(query(text));
        }

        void write(byte[] bytes) throws IOException {
            out.write(bytes);
        }

        /** Reads up to the next ReadyForQuery that ends a query. */
        Reply answer() throws IOException {
            Reply reply = new Reply();
            while (true) {
                int type = in.read();
                if (type < 0 && reply.sqlState != null) {
                    return reply; // after a fatal error no ReadyForQuery is required
                }
                if (type < 0) {
                    throw new EOFException("the router has closed the connection");
                }
                byte[] body = new byte[in.readInt() - 4];
                in.readFully(body);
                switch (type) {
                    case 'I' -> reply.isEmptyQuery = true;
                    case 'D' -> reply.value = Arrays.copyOfRange(body, 6, body.length);
                    case 'E' -> {
                        String[] fields = new String(body, StandardCharsets.UTF_8).split("\0");
                        for (String field : fields) {
                            reply.sqlState = field.startsWith("C") ? field.substring(1) : reply.sqlState;
                            reply.text = field.startsWith("M") ? field.substring(1) : reply.text;
                        }
                    }
                    case 'Z' -> {
                        if (reply.isEmptyQuery || reply.sqlState != null || reply.value != null) {
                            return reply;
                        }
                    }
                    default -> {}
                }
            }
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // it is of no more use either way
            }
        }
    }

    static String read(String key, String id, String requestClass, long wait) {
        return "SELECT v FROM records WHERE k = '" + key + "' /* id=" + id + ",c=" + requestClass + ",d=" + wait
                + ",cluster=0 */";
    }

    static String upload(String key, String hexValue, String id, long wait) {
        return "INSERT INTO records (k, v) VALUES ('" + key + "', '\\x" + hexValue + "') RETURNING v /* id=" + id
                + ",c=reading-upload,d=" + wait + ",cluster=0 */";
    }

    // ---- Bytes ----

    private static String part(String text, String name) {
        int comment = text.lastIndexOf("/*");
        for (String part : text.substring(comment + 2, text.lastIndexOf("*/")).split(",")) {
            if (part.trim().startsWith(name + "=")) {
                return part.trim().substring(name.length() + 1);
            }
        }
        return "";
    }

    static byte[] fromHex(String digits) {
        byte[] bytes = new byte[digits.length() / 2];
        for (int i = 0; i < bytes.length; i++) {
            bytes[i] = (byte) Integer.parseInt(digits, 2 * i, 2 * i + 2, 16);
        }
        return bytes;
    }

    static byte[] ints(int... values) {
        byte[] bytes = new byte[4 * values.length];
        for (int i = 0; i < bytes.length; i++) {
            bytes[i] = (byte) (values[i / 4] >>> (24 - 8 * (i % 4)));
        }
        return bytes;
    }

    static byte[] zero(String text) {
        return (text + "\0").getBytes(StandardCharsets.ISO_8859_1);
    }

    static byte[] join(byte[]... parts) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            all.writeBytes(part);
        }
        return all.toByteArray();
    }

    static byte[] message(char type, byte[] body) {
        return join(new byte[] {(byte) type}, ints(4 + body.length), body);
    }

    static byte[] parameter(String name, String value) {
        return message('S', join(zero(name), zero(value)));
    }

    static byte[] error(String sqlState, String text) {
        return message('E', zero("SERROR\0VERROR\0C" + sqlState + "\0M" + text + "\0"));
    }

    static byte[] row(byte[] value) {
        return join(
                message('T', join(new byte[] {0, 1}, zero("v"), new byte[6], ints(17), new byte[] {-1, -1}, ints(-1), new byte[] {0, 1})),
                message('D', join(new byte[] {0, 1}, ints(value.length), value)));
    }
}
