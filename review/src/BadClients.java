import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Hundreds of bad clients name a class that does not exist, in uploads of the largest value, and send the same again:
 * every request of the usual clients must still get its final answer, at most half a second after its time.
 */
public final class BadClients {
    static final int SECONDS = 58;
    /** Bad clients of each router; a wave of them comes every five seconds, one every 2 ms. */
    static final int BAD = 300;
    static final double CONNECT_MS = 2;
    static final int WAVE_MS = 5000;
    /** Usual clients of each router; each has one request out at a time. */
    static final int CLIENTS = 24;
    /** Half a second after its time an answer still only earns nothing; limits on sockets are 50 ms longer. */
    static final int SLACK_MS = 550;

    public static void main(String[] args) {
        Rig.run(args[0], BadClients::play);
    }

    private static boolean play(Rig rig) throws Exception {
        AtomicInteger served = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        AtomicInteger failed = new AtomicInteger();
        AtomicInteger late = new AtomicInteger();
        AtomicInteger never = new AtomicInteger();
        AtomicInteger closed = new AtomicInteger();
        AtomicInteger turnedAway = new AtomicInteger();
        AtomicInteger badEnded = new AtomicInteger();
        AtomicLong longest = new AtomicLong();
        boolean isCrashed = false;
        for (String name : new String[] {"p", "a", "b", "c", "d"}) {
            Rig.Node node = rig.new Node("s-" + name, "pa".contains(name) ? "mona" : "papine", name.equals("p"));
            rig.discovery.show(node, "Ready", name.equals("p") ? "writer" : "reader");
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
                    long wait = draw < 0.061 ? 3000 : draw < 0.53 ? 600 : 500;
                    String query = draw < 0.061
                            ? Rig.upload(key, HexFormat.of().formatHex(key.getBytes()), id, wait)
                            : Rig.read(key, id, draw < 0.53 ? "recent-read" : "archive-read", wait);
                    for (int tries = 0; tries < 2; tries++) {
                        long sent = System.nanoTime();
                        try {
                            client = client == null ? new Rig.Client(routers[number % 2].port) : client;
                            client.socket.setSoTimeout((int) wait + 10_000);
                            sent = System.nanoTime();
                            client.send(query);
                            Rig.Reply reply = client.answer();
                            long took = (System.nanoTime() - sent) / 1_000_000;
                            longest.accumulateAndGet(took - wait, Math::max);
                            if (took > wait + SLACK_MS) {
                                late.incrementAndGet();
                                rig.note("LOST " + id + ", d=" + wait + ", answered after " + took + " ms: " + reply);
                            }
                            (reply.isServed() ? served : "53300".equals(reply.sqlState) ? refused : failed).incrementAndGet();
                            if (!reply.isServed()) {
                                rig.note(id + " " + reply);
                            }
                            break;
                        } catch (SocketTimeoutException e) {
                            never.incrementAndGet();
                            rig.note("LOST " + id + ", d=" + wait + ", no answer within " + (wait + 10_000) + " ms");
                            client = null;
                            break;
                        } catch (IOException e) {
                            closed.incrementAndGet();
                            rig.note(id + " on a connection that ended, try " + tries + " after "
                                    + (System.nanoTime() - sent) / 1_000_000 + " ms: " + e);
                            client = null;
                        }
                    }
                    Rig.sleep(-Math.log(1 - own.nextDouble()) * 45);
                }
            });
        }
        byte[] bad = Rig.Client.query(Rig.upload("7f3a9c21e0b4d655", "5a".repeat(64 * 1024), "00", 3000)
                .replace("c=reading-upload", "c=no-such-class"));
        for (int i = 0; i < 2 * BAD && rig.trouble; i++) {
            int number = i;
            long offset = (long) (i * CONNECT_MS / 2);
            Rig.start("bad client " + i, () -> {
                for (long wave = 3000 + offset; wave < SECONDS * 1000L; wave += WAVE_MS) {
                    Rig.sleep(Math.max(0, wave - rig.millis()));
                    try (Rig.Client client = new Rig.Client(routers[number % 2].port)) {
                        client.socket.setSoTimeout(WAVE_MS - 200);
                        client.awaitStartup();
                        client.write(bad);
                        client.answer();
                        turnedAway.incrementAndGet();
                        client.answer(); // keeps its connection until the router ends it
                    } catch (IOException e) {
                        badEnded.incrementAndGet();
                    }
                }
            });
        }
        for (Thread thread : threads) {
            thread.join();
        }
        for (Rig.Router router : routers) {
            isCrashed |= !router.process.isAlive();
            rig.say("router " + router.name + (router.process.isAlive() ? " runs" : " HAS ENDED"));
        }
        rig.say("usual clients: served " + served + ", refused " + refused + ", failed " + failed
                + ", connections that ended under a request " + closed);
        rig.say("bad clients: turned away " + turnedAway + ", connections ended " + badEnded);
        rig.say("lost: answered too late " + late + ", never " + never + "; the latest answer came " + longest
                + " ms after its time");
        for (Rig.Router router : routers) {
            router.noteLog(40);
        }
        return late.get() + never.get() == 0 && !isCrashed;
    }
}
