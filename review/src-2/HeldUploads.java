import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.LinkedBlockingDeque;
import java.util.concurrent.atomic.AtomicInteger;

/** The primary dies while clients send uploads of large values, and a replica takes its place five seconds later. */
final class HeldUploads implements Cases.Case {
    /** What comes to a router in a second, and how much of it is uploads. */
    private static final int REQUESTS_PER_SECOND = 320;

    private static final int UPLOAD_PERCENT = 36;
    private static final int VALUE_BYTES = 64 * 1024;
    private static final int SECONDS = 14;
    private static final int DIES_AFTER_SECONDS = 3;
    private static final long WITHOUT_PRIMARY_MILLIS = 5500;
    private static final long UPLOAD_MILLIS = 5500;
    private static final long READ_MILLIS = 500;
    /** Up to half a second after its time an answer only earns nothing; every limit is 50 ms longer on sockets. */
    private static final long LATEST_MILLIS = 550;
    /** A connection that ends so soon after a request is taken for one on which the router has not read it. */
    private static final long UNREAD_MILLIS = 500;
    /** How long a client waits at the most, so that the case ends. */
    private static final int PATIENCE_MILLIS = 15_000;

    private static final List<Cases.Kind> KINDS = List.of(
            new Cases.Kind("recent-read", 150, 600, 1, 0, "pure", "lag_bound", 300),
            new Cases.Kind("archive-read", 150, READ_MILLIS, 1, 0.2, "pure", "eventual", 0),
            new Cases.Kind("reading-upload", 300, UPLOAD_MILLIS, 6, 0.3, "side_effect", "mutate", 0));

    private static final String HEX = "5a".repeat(VALUE_BYTES);

    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final AtomicInteger closed = new AtomicInteger();
    private final AtomicInteger turnedBack = new AtomicInteger();
    private final LinkedBlockingDeque<Client> resting = new LinkedBlockingDeque<>();

    @Override
    public boolean run(Cases.Setting setting) throws Exception {
        Record record = setting.record;
        List<Node> nodes = new ArrayList<>();
        try (Listing listing = new Listing(record)) {
            for (int i = 0; i < 5; i++) {
                nodes.add(new Node("n" + i, i == 0, record, this::work));
                listing.show("n" + i, nodes.get(i).address(), i % 2 == 0 ? "mona" : "papine", "Ready", i == 0, 0);
            }
            try (Router router = Router.start(
                    setting.root,
                    setting.temporary,
                    "n1",
                    listing.address(),
                    listing.list(-1),
                    Cases.settings(KINDS, 1, 0, 2000))) {
                List<Thread> clients = new ArrayList<>();
                long beganAt = System.nanoTime();
                if (setting.hasTrouble) {
                    Cases.daemon("trouble", () -> {
                        Thread.sleep(DIES_AFTER_SECONDS * 1000L);
                        record.line("the primary dies");
                        nodes.get(0).kill();
                        Thread.sleep(WITHOUT_PRIMARY_MILLIS);
                        record.line("n1 is the primary");
                        nodes.get(1).isPrimary = true;
                        listing.show("n1", nodes.get(1).address(), "papine", "Ready", true, 0);
                    });
                }
                for (int i = 0; i < REQUESTS_PER_SECOND * SECONDS; i++) {
                    int number = i;
                    clients.add(Cases.daemon("client " + i, () -> ask(record, router, number)));
                    long dueAt = beganAt + (i + 1) * 1_000_000_000L / REQUESTS_PER_SECOND;
                    Thread.sleep(Math.max(0, (dueAt - System.nanoTime()) / 1_000_000));
                }
                for (Thread client : clients) {
                    client.join(2L * PATIENCE_MILLIS);
                }
                record.say(
                        "requests sent %d: served %d, refused %d, failed %d, turned back unheard %d;"
                                + " answered over half a second late %d, CLOSED without an answer %d,"
                                + " NEVER answered %d; the router %s",
                        sent.get(),
                        served.get(),
                        refused.get(),
                        failed.get(),
                        turnedBack.get(),
                        late.get(),
                        closed.get(),
                        unanswered.get(),
                        router.isAlive() ? "runs" : "HAS ENDED");
                for (String line : java.nio.file.Files.readAllLines(router.log)) {
                    if (!line.startsWith("\t")) {
                        record.line("log: %s", line);
                    }
                }
                return late.get() + closed.get() + unanswered.get() == 0 && router.isAlive();
            }
        }
    }

    private void work(Node node, Node.Query query) throws IOException, InterruptedException {
        if (query.isWrite && !node.isPrimary) {
            query.out.write(Wire.join(Wire.error("25006", "not the primary"), node.notes()));
            return;
        }
        Thread.sleep(20);
        byte[] value = new byte[VALUE_BYTES];
        Arrays.fill(value, (byte) 'Z');
        query.out.write(node.served(query, value));
    }

    private void ask(Record record, Router router, int number) {
        boolean isUpload = number % 100 * 37 % 100 < UPLOAD_PERCENT;
        String id = (isUpload ? "u" : "r") + number;
        long wait = isUpload ? UPLOAD_MILLIS : READ_MILLIS;
        byte[] query = Wire.query(
                (isUpload
                                ? "INSERT INTO records (k, v) VALUES ('" + id + "', '\\x" + HEX + "') RETURNING v"
                                : "SELECT v FROM records WHERE k = '" + id + "'")
                        + " /* id=" + id + ",c=" + (isUpload ? "reading-upload" : "archive-read") + ",d=" + wait
                        + ",cluster=0 */");
        sent.incrementAndGet();
        // A router may end a connection between requests: what crosses that is sent once more, on a new connection.
        boolean isSecondTry = false;
        for (Client client = resting.pollFirst(); ; client = null) {
            long sentAt = System.nanoTime();
            try {
                if (client == null) {
                    Socket socket = router.connect();
                    socket.setSoTimeout(PATIENCE_MILLIS);
                    client = new Client(socket);
                }
                sentAt = System.nanoTime();
                client.send(query);
                Client.Answer answer = client.readAnswer();
                long millis = (System.nanoTime() - sentAt) / 1_000_000;
                (answer.isServed() ? served : answer.isRefused() ? refused : failed).incrementAndGet();
                if (millis > wait + LATEST_MILLIS) {
                    late.incrementAndGet();
                }
                record.line("%s after %d ms: %s", id, millis, answer);
                if (!answer.isFatal) {
                    resting.addFirst(client);
                }
                return;
            } catch (SocketTimeoutException e) {
                unanswered.incrementAndGet();
                record.line("%s was NEVER answered", id);
                return;
            } catch (IOException e) {
                long millis = (System.nanoTime() - sentAt) / 1_000_000;
                boolean isUnread = client == null || millis < UNREAD_MILLIS;
                record.line("%s: %s after %d ms%s", id, e, millis, isUnread ? "" : ", CLOSED without an answer");
                if (!isUnread) {
                    closed.incrementAndGet();
                    return;
                }
                if (isSecondTry) {
                    turnedBack.incrementAndGet();
                    return;
                }
                isSecondTry = true;
            }
        }
    }
}
