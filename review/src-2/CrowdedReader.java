import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** A client is still reading its answers while others come that ask once and keep their connections. */
final class CrowdedReader implements Cases.Case {
    private static final int REQUESTS = 128;
    private static final int VALUE_BYTES = 64 * 1024;
    private static final long WAIT_MILLIS = 5500;
    private static final long READING_MILLIS = 3200;
    private static final int CROWD_THREADS = 64;
    /** So many come within 0.9 s, about as many as the router has room for, the others in the 1.25 s after that. */
    private static final int FIRST_CROWD = 700;

    private static final int CROWD = 950;
    private static final double FIRST_GAP_SECONDS = 0.0013;
    private static final double FURTHER_GAP_SECONDS = 0.005;

    private final ConcurrentLinkedQueue<Client> crowd = new ConcurrentLinkedQueue<>();
    private final AtomicInteger crowdServed = new AtomicInteger();

    @Override
    public boolean run(Cases.Setting setting) throws Exception {
        Record record = setting.record;
        List<Cases.Kind> kinds = new ArrayList<>(Cases.KINGSTON);
        kinds.add(new Cases.Kind("manifest", 2000, WAIT_MILLIS, 6, 0.2, "pure", "eventual", 0));
        List<Node> nodes = new ArrayList<>();
        int whole = 0;
        try (Listing listing = new Listing(record)) {
            for (int i = 0; i < 5; i++) {
                nodes.add(new Node("n" + i, i == 0, record, (node, query) -> {
                    Thread.sleep(10);
                    byte[] value = new byte[query.id().startsWith("m") ? VALUE_BYTES : 8];
                    Arrays.fill(value, (byte) 'Z');
                    query.out.write(node.served(query, value));
                }));
                listing.show("n" + i, nodes.get(i).address(), i % 2 == 0 ? "mona" : "papine", "Ready", i == 0, 0);
            }
            try (Router router = Router.start(
                    setting.root,
                    setting.temporary,
                    "n1",
                    listing.address(),
                    listing.list(-1),
                    Cases.settings(kinds, 1, 0, 2000))) {
                Socket socket = new Socket();
                socket.setReceiveBufferSize(64 * 1024);
                socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), router.port()));
                socket.setTcpNoDelay(true);
                SlowReader.Paced input = new SlowReader.Paced(
                        socket.getInputStream(), (long) REQUESTS * VALUE_BYTES * 1000 / READING_MILLIS);
                Client client = new Client(socket, input);
                byte[][] queries = new byte[REQUESTS][];
                for (int i = 0; i < REQUESTS; i++) {
                    queries[i] = Wire.query("SELECT v FROM records WHERE k = '" + i + "' /* id=m" + i
                            + ",c=manifest,d=" + WAIT_MILLIS + ",cluster=0 */");
                }
                long sentAt = System.nanoTime();
                input.begin();
                client.send(Wire.join(queries));
                record.line("the client has sent %d reads at once", REQUESTS);
                if (setting.hasTrouble) {
                    for (int i = 0; i < CROWD_THREADS; i++) {
                        int first = i;
                        Cases.daemon("crowd " + i, () -> askOnce(record, router, first, sentAt));
                    }
                }
                try {
                    for (int i = 0; i < REQUESTS; i++) {
                        Client.Answer answer = client.readAnswer();
                        whole++;
                        record.line("answer %d after %d ms: %s", i, (System.nanoTime() - sentAt) / 1_000_000, answer);
                    }
                } catch (IOException e) {
                    record.say(
                            "the router ended the connection; seen after %d ms, in the middle of the answers: %s",
                            (System.nanoTime() - sentAt) / 1_000_000,
                            e);
                }
                client.close();
                for (Client other : crowd) {
                    other.close();
                }
            }
        }
        record.say(
                "clients that asked once %d; %d reads taken, %d answered whole, %d lost",
                crowdServed.get(),
                REQUESTS,
                whole,
                REQUESTS - whole);
        return whole == REQUESTS;
    }

    private void askOnce(Record record, Router router, int first, long beganAt) throws InterruptedException {
        for (int i = first; i < CROWD; i += CROWD_THREADS) {
            double dueSeconds = Math.min(i, FIRST_CROWD) * FIRST_GAP_SECONDS
                    + Math.max(0, i - FIRST_CROWD) * FURTHER_GAP_SECONDS;
            Thread.sleep(Math.max(0, (long) (dueSeconds * 1000) - (System.nanoTime() - beganAt) / 1_000_000));
            try {
                Client client = new Client(router.connect());
                crowd.add(client);
                client.send(Wire.query("SELECT v FROM records WHERE k = 'c" + i + "' /* id=c" + i
                        + ",c=archive-read,d=500,cluster=0 */"));
                client.readAnswer();
                crowdServed.incrementAndGet();
            } catch (IOException e) {
                record.line("client %d of the crowd: %s", i, e);
            }
        }
    }
}
