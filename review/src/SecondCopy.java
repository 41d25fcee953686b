import java.io.IOException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** Some answers of record nodes come twice: every client must still get the value of its own request. */
public final class SecondCopy {
    static final int SECONDS = 55;
    /** The share of the answers that come twice. */
    static final double SHARE = 0.05;
    /** The longest time between an answer and its second copy. */
    static final double LATEST_MS = 0.6;
    /** One way between routers and nodes: the site's longest within a zone. */
    static final double LATENCY_MS = 0.34;
    /** Clients of each router; each has one request out at a time. */
    static final int CLIENTS = 24;
    /** Mean time between an answer and the client's next request. */
    static final double PAUSE_MS = 45;

    public static void main(String[] args) {
        Rig.run(args[0], SecondCopy::play);
    }

    private static boolean play(Rig rig) throws Exception {
        AtomicInteger foreign = new AtomicInteger();
        AtomicInteger foreignUploads = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        AtomicInteger failed = new AtomicInteger();
        AtomicInteger copies = new AtomicInteger();
        AtomicInteger skipped = new AtomicInteger();
        Random random = new Random(49);
        for (String name : new String[] {"p", "a", "b", "c", "d"}) {
            Rig.Node node = rig.new Node("s-" + name, "pa".contains(name) ? "mona" : "papine", name.equals("p"));
            rig.discovery.show(node, "Ready", name.equals("p") ? "writer" : "reader");
            node.latency = LATENCY_MS;
            if (rig.trouble) {
                node.sender = (session, answer, isRequest) -> {
                    session.write(answer);
                    long answeredAt = System.nanoTime();
                    double draw;
                    double wait;
                    synchronized (random) {
                        draw = random.nextDouble();
                        wait = random.nextDouble() * LATEST_MS;
                    }
                    if (isRequest && draw < SHARE) {
                        Rig.sleep(wait);
                        // The next command can't be at the node before a packet has gone there and back.
                        boolean nothingElseWaits = System.nanoTime() - answeredAt < 2 * LATENCY_MS * 1e6;
                        (nothingElseWaits ? copies : skipped).incrementAndGet();
                        if (nothingElseWaits) {
                            session.write(answer);
                        }
                    }
                };
            }
        }
        Rig.Router[] routers = {rig.new Router("n1", 0, 0, 2, 1024), rig.new Router("n2", 1, 1, 2, 1024)};
        for (Rig.Router router : routers) {
            router.awaitReady();
        }
        long until = System.nanoTime() + SECONDS * 1_000_000_000L;
        Thread[] threads = new Thread[2 * CLIENTS];
        for (int i = 0; i < threads.length; i++) {
            int number = i;
            threads[i] = Rig.start("client " + i, () -> {
                Random own = new Random(number * 7919L + 13);
                Rig.Client client = null;
                for (int n = 0; System.nanoTime() < until; n++) {
                    String id = String.format("%04x%08x", number, n);
                    String key = String.format("%016x", own.nextLong());
                    double draw = own.nextDouble();
                    byte[] expected = Rig.valueOf(key);
                    String query;
                    if (draw < 0.061) {
                        expected = key.getBytes();
                        query = Rig.upload(key, HexFormat.of().formatHex(expected), id, 3000);
                    } else {
                        query = draw < 0.53 ? Rig.read(key, id, "recent-read", 600) : Rig.read(key, id, "archive-read", 500);
                    }
                    try {
                        client = client == null ? new Rig.Client(routers[number % 2].port) : client;
                        client.send(query);
                        Rig.Reply reply = client.answer();
                        if (reply.isServed() && !Arrays.equals(reply.value, expected)) {
                            foreign.incrementAndGet();
                            foreignUploads.addAndGet(draw < 0.061 ? 1 : 0);
                            rig.note("FOREIGN " + id + " key " + key + " got: " + reply);
                        } else if (reply.isServed()) {
                            served.incrementAndGet();
                        } else if ("53300".equals(reply.sqlState)) {
                            refused.incrementAndGet();
                        } else {
                            failed.incrementAndGet();
                        }
                    } catch (IOException e) {
                        rig.note("client " + number + " " + id + ": " + e);
                        client = null;
                    }
                    Rig.sleep(-Math.log(1 - own.nextDouble()) * PAUSE_MS);
                }
            });
        }
        for (Thread thread : threads) {
            thread.join();
        }
        rig.say("served " + served + ", refused " + refused + ", failed " + failed + "; answers that came twice "
                + copies + ", not sent as it was too late " + skipped);
        rig.say("foreign values served " + foreign + ", of them to uploads " + foreignUploads);
        for (Rig.Router router : routers) {
            router.noteLog(5);
        }
        return foreign.get() == 0;
    }
}
