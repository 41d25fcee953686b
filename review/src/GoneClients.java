import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Some clients send much at once and go: no attempt may begin for them more than 0.1 s after they closed. */
public final class GoneClients {
    static final int SECONDS = 55;
    /** Hundreds, by the page: 564 reads and 36 uploads of 8 KiB, together 0.7 MB. */
    static final int COMMANDS = 600;
    static final String VALUE = "9f".repeat(8 * 1024);
    /** Mean time between two such clients. */
    static final double EVERY_MS = 150;
    /** The rule's 100 ms, the 50 ms that every limit has on sockets, and 100 ms for the way and a busy machine. */
    static final double LIMIT_MS = 250;

    public static void main(String[] args) {
        Rig.run(args[0], GoneClients::play);
    }

    private static boolean play(Rig rig) throws Exception {
        AtomicInteger late = new AtomicInteger();
        AtomicInteger begun = new AtomicInteger();
        AtomicInteger clients = new AtomicInteger();
        AtomicInteger lateUploads = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger ended = new AtomicInteger();
        AtomicInteger affected = new AtomicInteger();
        Map<String, Long> closedAt = new ConcurrentHashMap<>();
        Map<String, Boolean> broken = new ConcurrentHashMap<>();
        for (String name : new String[] {"p", "a", "b", "c", "d"}) {
            Rig.Node node = rig.new Node("s-" + name, "pa".contains(name) ? "mona" : "papine", name.equals("p"));
            rig.discovery.show(node, "Ready", name.equals("p") ? "writer" : "reader");
            node.spread = 1.3; // the site: work of 25 to 43 and 37 to 64 ms, cv up to 1.3 and 1.4
            node.work.putAll(Map.of("recent-read", 43.0, "archive-read", 43.0, "reading-upload", 64.0));
            node.arrivals = (n, id, isWrite) -> {
                long now = System.nanoTime();
                begun.incrementAndGet();
                Long closed = closedAt.get(id.split("_")[0]);
                if (closed != null && now - closed > LIMIT_MS * 1e6) {
                    late.incrementAndGet();
                    lateUploads.addAndGet(isWrite ? 1 : 0);
                    if (broken.put(id.split("_")[0], true) == null) {
                        affected.incrementAndGet();
                    }
                    rig.note("LATE attempt of " + id + " at " + n.uid + ", " + (now - closed) / 1_000_000 + " ms after its client closed");
                }
            };
        }
        Rig.Router router = rig.new Router("n1", 0, 0, 1, 1024);
        router.awaitReady();
        long until = System.nanoTime() + SECONDS * 1_000_000_000L;
        Random random = new Random(49);
        while (System.nanoTime() < until) {
            int number = clients.incrementAndGet();
            Rig.start("bad " + number, () -> {
                ByteArrayOutputStream all = new ByteArrayOutputStream();
                for (int n = 0; n < COMMANDS; n++) {
                    String key = String.format("%08x%08x", number, n);
                    String id = "g" + number + "_" + n;
                    all.writeBytes(Rig.Client.query(
                            n % 100 < 48
                                    ? Rig.read(key, id, "recent-read", 600)
                                    : n % 100 < 94 ? Rig.read(key, id, "archive-read", 500) : Rig.upload(key, VALUE, id, 3000)));
                }
                try (Rig.Client client = new Rig.Client(router.port)) {
                    client.awaitStartup();
                    Thread reader = Rig.start("reader " + number, () -> {
                        try {
                            for (int n = 0; n < COMMANDS; n++) {
                                client.answer();
                                answered.incrementAndGet();
                            }
                        } catch (IOException e) {
                            ended.incrementAndGet();
                        }
                    });
                    client.write(all.toByteArray());
                    if (!rig.trouble) {
                        reader.join();
                    }
                    client.close();
                    closedAt.put("g" + number, System.nanoTime());
                } catch (IOException | InterruptedException e) {
                    rig.note("client g" + number + ": " + e);
                }
            });
            Rig.sleep(-Math.log(1 - random.nextDouble()) * EVERY_MS);
        }
        Rig.sleep(1500);
        rig.say("clients " + clients + " of " + COMMANDS + " commands each; answers read " + answered
                + ", connections ended before the last answer " + ended);
        rig.say("attempts that came to nodes " + begun + "; of them " + late + " (uploads " + lateUploads + "), for "
                + affected + " clients, more than " + (int) LIMIT_MS + " ms after their client had closed");
        router.noteLog(5);
        return late.get() == 0;
    }
}
