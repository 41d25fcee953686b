package stoatrill.pg;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import stoatrill.core.DisconnectCause;
import stoatrill.core.ServerAnswer;
import stoatrill.net.ServerProtocol;
import stoatrill.scenario.PgMessages;

/** Checks that buffers are no larger than their contents need, so that connections at rest take little memory. */
class MessageReaderTest {
    private static final int MAX_LENGTH_BYTES = 1 << 17;
    private static final int LARGE_BYTES = 100_000;
    private static final int READ_BYTES = 64 * 1024;
    private static final int IDLE_LIMIT_BYTES = 1024;

    private final MessageReader reader = new MessageReader(true, MAX_LENGTH_BYTES);

    private static byte[] messageOf(int bodyBytes) {
        return PgMessages.message('Q', new byte[bodyBytes]);
    }

    private void append(byte[] bytes, int start, int end) {
        for (int offset = start; offset < end; offset += READ_BYTES) {
            reader.append(ByteBuffer.wrap(bytes, offset, Math.min(READ_BYTES, end - offset)));
        }
    }

    @Test
    void takesNoMoreThanALargeMessageNeedsAndGivesItUpOnceItIsRead() throws Exception {
        byte[] message = messageOf(LARGE_BYTES);
        append(message, 0, message.length);
        assertTrue(reader.capacity() <= message.length, reader.capacity() + " bytes");
        assertTrue(reader.readNext());
        reader.trim();
        assertTrue(reader.capacity() <= IDLE_LIMIT_BYTES, reader.capacity() + " bytes");
    }

    /** A length that is announced takes no memory before its bytes come. */
    @Test
    void takesNoMoreThanTwiceWhatHasArrived() throws Exception {
        byte[] message = messageOf(LARGE_BYTES);
        for (int end = 1; end < message.length; end += 997) {
            append(message, end == 1 ? 0 : end - 997, end);
            assertFalse(reader.hasNext());
            assertTrue(reader.capacity() <= Math.max(IDLE_LIMIT_BYTES, 2 * end), reader.capacity() + " for " + end);
        }
    }

    @Test
    void keepsTheUnreadBytesWhenItGivesUpSpace() throws Exception {
        byte[] large = messageOf(LARGE_BYTES);
        append(large, 0, large.length);
        byte[] next = PgMessages.query("next");
        append(next, 0, next.length - 1);
        assertTrue(reader.readNext());
        reader.trim();
        assertTrue(reader.capacity() <= IDLE_LIMIT_BYTES, reader.capacity() + " bytes");
        assertFalse(reader.readNext());
        append(next, next.length - 1, next.length);
        assertTrue(reader.readNext());
        assertArrayEquals("next".getBytes(StandardCharsets.US_ASCII), reader.copyBytes(0, 4));
        assertFalse(reader.hasUnreadBytes());
    }

    /** Connections to servers are kept at rest too, with what the largest answer so far took. */
    @Test
    void serverConnectionAtRestKeepsNoLargeAnswer() {
        PgServer server = new PgServer(new ServerProtocol.Environment() {
            @Override
            public void onStartupComplete() {}

            @Override
            public void onAnswer(ServerAnswer answer, boolean reusable) {
                assertTrue(reusable);
            }

            @Override
            public void onSynchronized() {}

            @Override
            public void onBroken(DisconnectCause how) {
                throw new AssertionError(how.toString());
            }
        });
        server.receive(ByteBuffer.wrap(PgMessages.GREETING));
        server.encodeProbe();
        byte[] row = PgMessages.row("v".repeat(60_000));
        server.receive(ByteBuffer.wrap(row, 0, READ_BYTES / 2));
        server.receive(ByteBuffer.wrap(row, READ_BYTES / 2, row.length - READ_BYTES / 2));
        assertTrue(server.bufferBytes() >= 60_000, server.bufferBytes() + " bytes during the answer");
        server.receive(ByteBuffer.wrap(PgMessages.READY));
        assertEquals(0, server.bufferBytes() / IDLE_LIMIT_BYTES, server.bufferBytes() + " bytes at rest");
    }
}
