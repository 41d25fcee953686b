package stoatrill.pg;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import stoatrill.core.Answer;
import stoatrill.core.ClientRequest;
import stoatrill.net.ClientProtocol;
import stoatrill.net.TurnAccount;

/** Checks that the client protocol reads the same requests however the client's bytes are split. */
class PgClientPiecesTest {
    private static final String READ = "SELECT v FROM records WHERE k = 'a1' /* id=r%d,c=archive,d=480,cluster=2 */";
    private static final String WRITE =
            "INSERT INTO records (k, v) VALUES ('a1', '\\x01') RETURNING v /* id=w%d,c=order,d=480,cluster=2 */";

    /** Records the requests that were read and the bytes that were written to the client. */
    private static final class Conversation implements ClientProtocol.Environment {
        private final List<String> requests = new ArrayList<>();
        private final StringBuilder written = new StringBuilder();
        private final PgClient client = new PgClient(this);
        private final TurnAccount turn = new TurnAccount();
        private long turnNumber;
        private boolean answersRequests = true;
        private boolean closed;
        private boolean proceedRequested;

        void receive(byte[] bytes, int start, int end) {
            client.receive(ByteBuffer.wrap(bytes, start, end - start));
            do {
                proceedRequested = false;
                turn.beginTurn(turnNumber++);
                client.readCommands();
            } while (proceedRequested);
        }

        String transcript() {
            return requests + " " + written + (closed ? " closed" : "");
        }

        @Override
        public void submit(long slot, ClientRequest request) {
            requests.add(
                    request.id() + " " + request.requestClass() + " " + request.waitMillis() + " " + request.group());
            if (answersRequests) {
                client.answer(slot, new Answer.Refused(slot));
            }
        }

        @Override
        public boolean isReady() {
            return true;
        }

        @Override
        public void scheduleCommands() {
            proceedRequested = true;
        }

        @Override
        public long cancelKey() {
            return 7;
        }

        @Override
        public void cancelByKey(long key) {
            requests.add("cancel " + key);
        }

        @Override
        public void cancelRequest(long slot) {}

        @Override
        public void write(byte[] bytes) {
            written.append(new String(bytes, StandardCharsets.ISO_8859_1));
        }

        @Override
        public void recordError(String sqlState) {}

        @Override
        public TurnAccount turn() {
            return turn;
        }

        @Override
        public void closeAfterWrites() {
            closed = true;
        }
    }

    private static byte[] message(String type, byte[] body) {
        return ByteBuffer.allocate(type.length() + 4 + body.length)
                .put(type.getBytes(StandardCharsets.US_ASCII))
                .putInt(4 + body.length)
                .put(body)
                .array();
    }

    private static byte[] query(String text) {
        return message("Q", (text + "\0").getBytes(StandardCharsets.UTF_8));
    }

    private static byte[] startup() {
        byte[] names = "user\0svc\0database\0main\0\0".getBytes(StandardCharsets.US_ASCII);
        return message(
                "",
                ByteBuffer.allocate(4 + names.length).putInt(196608).put(names).array());
    }

    /**
     * Returns a client's messages of every form: a request for encryption, startup, queries, empty queries,
     * termination.
     */
    private static byte[] clientMessages() {
        ByteBuffer joined = ByteBuffer.allocate(4096);
        joined.put(message("", ByteBuffer.allocate(4).putInt(80877103).array()));
        joined.put(startup());
        for (int n = 0; n < 3; n++) {
            joined.put(query(READ.formatted(n)))
                    .put(query(";"))
                    .put(query(WRITE.formatted(n)))
                    .put(query("SELECT 1"));
        }
        joined.put(message("X", new byte[0]));
        byte[] bytes = new byte[joined.position()];
        joined.flip().get(bytes);
        return bytes;
    }

    @Test
    void eachKindOfEncryptionIsDeclinedOnceAndThenEndsTheConnection() {
        for (int[] codes : List.of(new int[] {80877103, 80877103}, new int[] {80877104, 80877103, 80877104})) {
            Conversation conversation = new Conversation();
            for (int i = 0; i < codes.length; i++) {
                assertFalse(conversation.closed);
                byte[] request =
                        message("", ByteBuffer.allocate(4).putInt(codes[i]).array());
                conversation.receive(request, 0, request.length);
            }
            assertTrue(conversation.closed);
            String written = conversation.written.toString();
            assertTrue(written.startsWith("N".repeat(codes.length - 1) + "E"), written);
            assertTrue(written.contains("SFATAL") && written.contains("C0A000"), written);
        }
    }

    @Test
    void repliesThatAreHeldBackCountWithTheMemoryTheyTake() {
        Conversation conversation = new Conversation();
        conversation.answersRequests = false;
        byte[] startup = startup();
        conversation.receive(startup, 0, startup.length);
        byte[] read = query(READ.formatted(1));
        conversation.receive(read, 0, read.length);
        byte[] sync = message("S", new byte[0]);
        conversation.receive(sync, 0, sync.length);
        assertTrue(conversation.client.heldBackBytes() >= 64, conversation.client.heldBackBytes() + " bytes");
        conversation.client.answer(0, new Answer.Refused(0));
        assertEquals(0, conversation.client.heldBackBytes());
    }

    @Test
    void oneTurnHandlesABoundedPartOfTheInput() {
        byte[] flush = message("H", new byte[0]);
        ByteBuffer flood = ByteBuffer.allocate(1000 * flush.length);
        while (flood.hasRemaining()) {
            flood.put(flush);
        }
        Conversation conversation = new Conversation();
        byte[] startup = startup();
        conversation.receive(startup, 0, startup.length);
        conversation.turn.beginTurn(conversation.turnNumber++);
        conversation.client.receive(flood.flip());
        conversation.client.readCommands();
        long handled = conversation.client.commandCount();
        assertTrue(handled <= 32, handled + " messages in one turn");
        assertTrue(conversation.proceedRequested, "the rest is handled in later turns");
    }

    @Test
    void readsTheSameRequestsHoweverTheBytesAreSplit() {
        byte[] bytes = clientMessages();
        Conversation whole = new Conversation();
        whole.receive(bytes, 0, bytes.length);
        assertEquals(6, whole.requests.size(), whole.transcript());
        assertTrue(whole.closed);
        for (int cut = 1; cut < bytes.length; cut++) {
            Conversation inTwo = new Conversation();
            inTwo.receive(bytes, 0, cut);
            assertFalse(inTwo.closed, "closed before all bytes were received, split at " + cut);
            inTwo.receive(bytes, cut, bytes.length);
            assertEquals(whole.transcript(), inTwo.transcript(), "split at " + cut);
        }
        for (int size = 1; size < 100; size++) {
            Conversation inPieces = new Conversation();
            for (int at = 0; at < bytes.length; at += size) {
                inPieces.receive(bytes, at, Math.min(bytes.length, at + size));
            }
            assertEquals(whole.transcript(), inPieces.transcript(), "pieces of " + size);
        }
    }
}
