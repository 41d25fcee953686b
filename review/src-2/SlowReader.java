import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** A client that sends many reads at once and takes seconds to read the answers, without ever pausing. */
final class SlowReader implements Cases.Case {
    private static final int REQUESTS = 128;
    private static final int VALUE_BYTES = 64 * 1024;
    private static final long WAIT_MILLIS = 11_000;
    private static final long READING_MILLIS = 10_000;

    @Override
    public boolean run(Cases.Setting setting) throws Exception {
        Record record = setting.record;
        List<Cases.Kind> kinds = new ArrayList<>(Cases.KINGSTON);
        kinds.add(new Cases.Kind("manifest", 2000, WAIT_MILLIS, 6, 0.2, "pure", "eventual", 0));
        List<Node> nodes = new ArrayList<>();
        int whole = 0;
        int late = 0;
        try (Listing listing = new Listing(record)) {
            for (int i = 0; i < 5; i++) {
                nodes.add(new Node("n" + i, i == 0, record, (node, query) -> {
                    Thread.sleep(10);
                    byte[] value = new byte[VALUE_BYTES];
                    Arrays.fill(value, (byte) Integer.parseInt(query.id().substring(1)));
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
                long bytesPerSecond =
                        setting.hasTrouble ? (long) REQUESTS * VALUE_BYTES * 1000 / READING_MILLIS : 1L << 30;
                Paced input = new Paced(socket.getInputStream(), bytesPerSecond);
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
                try {
                    for (int i = 0; i < REQUESTS; i++) {
                        Client.Answer answer = client.readAnswer();
                        long millis = (System.nanoTime() - sentAt) / 1_000_000;
                        record.line("answer %d after %d ms: %s", i, millis, answer);
                        if (answer.state != null && answer.state.equals("08P01")) {
                            break;
                        }
                        whole++;
                        late += millis > WAIT_MILLIS ? 1 : 0;
                    }
                } catch (IOException e) {
                    record.say(
                            "the router ended the connection after %d ms, in the middle of the answers: %s",
                            (System.nanoTime() - sentAt) / 1_000_000,
                            e);
                }
                client.close();
            }
        }
        record.say("%d reads taken, %d answered whole (%d of them late), %d lost", REQUESTS, whole, late, REQUESTS - whole);
        return whole == REQUESTS;
    }

    /** Reads in small pieces and no faster than a given rate. */
    static final class Paced extends InputStream {
        private static final int PIECE_BYTES = 8 * 1024;
        private final InputStream source;
        private final long bytesPerSecond;
        private long beganAt = -1;
        private long readBytes;

        Paced(InputStream source, long bytesPerSecond) {
            this.source = source;
            this.bytesPerSecond = bytesPerSecond;
        }

        void begin() {
            beganAt = System.nanoTime();
        }

        @Override
        public int read() throws IOException {
            byte[] one = new byte[1];
            return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
        }

        @Override
        public int read(byte[] target, int offset, int length) throws IOException {
            int count = source.read(target, offset, Math.min(PIECE_BYTES, length));
            if (beganAt >= 0 && count > 0) {
                readBytes += count;
                long dueAt = beganAt + readBytes * 1_000_000_000L / bytesPerSecond;
                long waitNanos = dueAt - System.nanoTime();
                if (waitNanos > 1_000_000) {
                    try {
                        Thread.sleep(waitNanos / 1_000_000);
                    } catch (InterruptedException e) {
                        throw new IOException(e);
                    }
                }
            }
            return count;
        }
    }
}
