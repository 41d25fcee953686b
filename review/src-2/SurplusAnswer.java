import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Servers that send a second copy right behind an answer, as a write of its own and without TCP_NODELAY. Judged are the
 * uploads alone: whether one is told to be stored before it has run, or with the value of another request.
 */
final class SurplusAnswer implements Cases.Case {
    private static final int SECONDS = 20;
    private static final int CLIENTS = 12;
    private static final int UPLOAD_PERCENT = 10;

    private final AtomicInteger copies = new AtomicInteger();
    private final AtomicInteger answers = new AtomicInteger();
    private final ConcurrentHashMap<String, String> ran = new ConcurrentHashMap<>();
    private final AtomicInteger uploads = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private final AtomicInteger wrongUploads = new AtomicInteger();
    private final AtomicInteger wrongReads = new AtomicInteger();
    private final AtomicInteger early = new AtomicInteger();

    @Override
    public boolean run(Cases.Setting setting) throws Exception {
        Record record = setting.record;
        List<Node> nodes = new ArrayList<>();
        try (Listing listing = new Listing(record)) {
            for (int i = 0; i < 5; i++) {
                nodes.add(new Node("n" + i, i == 0, record, (node, query) -> work(setting, node, query)));
                listing.show("n" + i, nodes.get(i).address(), i % 2 == 0 ? "mona" : "papine", "Ready", i == 0, 0);
            }
            try (Router router = Router.start(
                    setting.root,
                    setting.temporary,
                    "n1",
                    listing.address(),
                    listing.list(-1),
                    Cases.settings(Cases.KINGSTON, 1, 0, 2000))) {
                long until = System.nanoTime() + SECONDS * 1_000_000_000L;
                List<Thread> clients = new ArrayList<>();
                for (int i = 0; i < CLIENTS; i++) {
                    int number = i;
                    clients.add(Cases.daemon("client " + i, () -> ask(record, router, number, until)));
                }
                for (Thread client : clients) {
                    client.join();
                }
            }
        }
        record.say(
                "answers %d, of them with a copy behind %d; requests served %d, refused %d, failed %d; uploads run %d, told"
                        + " to be stored BEFORE they ran %d, served with ANOTHER value %d (not judged: %d such reads)",
                answers.get(),
                copies.get(),
                served.get(),
                refused.get(),
                failed.get(),
                uploads.get(),
                early.get(),
                wrongUploads.get(),
                wrongReads.get());
        return early.get() + wrongUploads.get() == 0;
    }

    private void work(Cases.Setting setting, Node node, Node.Query query) throws IOException, InterruptedException {
        Thread.sleep(query.isWrite ? 12 : 8);
        if (query.isWrite) {
            if (!node.isPrimary) {
                query.out.write(Wire.join(Wire.error("25006", "not the primary"), node.notes()));
                return;
            }
            uploads.incrementAndGet();
            ran.put(query.id(), node.uid);
        }
        byte[] answer = node.served(query, ("value of " + query.id()).getBytes(StandardCharsets.US_ASCII));
        query.out.write(answer);
        if (setting.hasTrouble && answers.incrementAndGet() % 20 == 0) {
            copies.incrementAndGet();
            setting.record.line("%s sends a copy of the answer to %s right behind it", node.uid, query.id());
            query.out.write(answer);
        }
    }

    private void ask(Record record, Router router, int number, long until) throws IOException, InterruptedException {
        Random random = new Random(number);
        Client client = new Client(router.connect());
        for (int n = 0; System.nanoTime() < until; n++) {
            String id = String.format("c%02dn%06d", number, n);
            boolean isWrite = random.nextInt(100) < UPLOAD_PERCENT;
            String text = isWrite
                    ? "INSERT INTO records (k, v) VALUES ('" + id + "', '\\x9f03') RETURNING v /* id=" + id
                            + ",c=reading-upload,d=3000,cluster=0 */"
                    : "SELECT v FROM records WHERE k = '" + id + "' /* id=" + id + ",c="
                            + (random.nextBoolean() ? "recent-read,d=600" : "archive-read,d=500") + ",cluster=0 */";
            Client.Answer answer;
            try {
                client.send(Wire.query(text));
                answer = client.readAnswer();
            } catch (IOException e) {
                record.line("client %d lost its connection", number);
                client = new Client(router.connect());
                continue;
            }
            if (answer.isServed()) {
                served.incrementAndGet();
                String value = new String(answer.value, StandardCharsets.US_ASCII);
                if (!value.equals("value of " + id)) {
                    (isWrite ? wrongUploads : wrongReads).incrementAndGet();
                    record.line((isWrite ? "UPLOAD " : "read ") + "%s was served \"%s\"", id, value);
                }
                if (isWrite && !ran.containsKey(id)) {
                    early.incrementAndGet();
                    record.line("UPLOAD %s was told to be stored before it ran", id);
                }
            } else {
                (answer.isRefused() ? refused : failed).incrementAndGet();
                record.line("%s: %s", id, answer);
            }
            Thread.sleep(random.nextInt(20));
        }
        client.close();
    }
}
