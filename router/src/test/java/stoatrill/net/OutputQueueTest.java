package stoatrill.net;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** What was added comes out in order, however it is cut, and small pieces come out together. */
class OutputQueueTest {
    private static final int SMALL_PIECE_COUNT = 1000;
    private static final int LARGEST_PIECE_BYTES = 40_000;
    private static final int LARGEST_WRITE_BYTES = 5_000;
    private static final long SEED = 5;

    private final OutputQueue queue = new OutputQueue();
    private final ByteArrayOutputStream written = new ByteArrayOutputStream();

    private void write(int mostBytes) {
        ByteBuffer first = queue.first();
        byte[] bytes = new byte[Math.min(mostBytes, first.remaining())];
        first.get(bytes);
        written.writeBytes(bytes);
        queue.recordWritten(bytes.length);
    }

    @Test
    void smallPiecesLeaveTogether() {
        for (int i = 0; i < SMALL_PIECE_COUNT; i++) {
            queue.add(new byte[] {(byte) i});
        }
        assertEquals(SMALL_PIECE_COUNT, queue.queuedBytes());
        int writes = 0;
        while (!queue.isEmpty()) {
            write(Integer.MAX_VALUE);
            writes++;
        }
        assertTrue(writes <= 2, writes + " writes");
    }

    @Test
    void bytesComeOutInOrder() {
        Random random = new Random(SEED);
        ByteArrayOutputStream added = new ByteArrayOutputStream();
        for (int i = 0; i < SMALL_PIECE_COUNT; i++) {
            byte[] piece = new byte[random.nextInt(random.nextBoolean() ? 10 : LARGEST_PIECE_BYTES)];
            random.nextBytes(piece);
            added.writeBytes(piece);
            queue.add(piece);
            while (!queue.isEmpty() && random.nextInt(4) > 0) {
                write(1 + random.nextInt(LARGEST_WRITE_BYTES));
            }
            assertEquals(added.size() - written.size(), queue.queuedBytes());
        }
        while (!queue.isEmpty()) {
            write(LARGEST_WRITE_BYTES);
        }
        assertArrayEquals(added.toByteArray(), written.toByteArray());
        assertNull(queue.first());
    }
}
