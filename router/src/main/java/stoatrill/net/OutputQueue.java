package stoatrill.net;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/**
 * Output of one connection that is not written yet. Small pieces are joined, so that the replies of a turn leave in one
 * system call. Not thread-safe.
 */
final class OutputQueue {
    /** Pieces are joined as long as they are not larger together than this. */
    private static final int JOINED_LIMIT_BYTES = 16 * 1024;

    private static final int FIRST_CAPACITY_BYTES = 512;

    /** Buffers that are ready to be written, the oldest first. */
    private final ArrayDeque<ByteBuffer> buffers = new ArrayDeque<>();

    /** Pieces that were joined behind {@link #buffers}, from 0 to its position; null if there are none. */
    private ByteBuffer joined;

    private long queuedBytes;

    /** Adds bytes; the array must not be changed afterwards. */
    void add(byte[] bytes) {
        if (bytes.length == 0) {
            return;
        }
        queuedBytes += bytes.length;
        int joinedBytes = joined == null ? 0 : joined.position();
        if (joinedBytes + bytes.length > JOINED_LIMIT_BYTES) {
            sealJoined();
            joinedBytes = 0;
        }
        if (bytes.length > JOINED_LIMIT_BYTES || (joined == null && buffers.isEmpty())) {
            buffers.add(ByteBuffer.wrap(bytes)); // mostly the only piece of its turn: not copied
            return;
        }
        reserve(joinedBytes + bytes.length);
        joined.put(bytes);
    }

    private void reserve(int neededBytes) {
        if (joined != null && neededBytes <= joined.capacity()) {
            return;
        }
        int capacity = Math.max(FIRST_CAPACITY_BYTES, Math.min(JOINED_LIMIT_BYTES, 2 * neededBytes));
        ByteBuffer larger = ByteBuffer.allocate(capacity);
        if (joined != null) {
            larger.put(joined.flip());
        }
        joined = larger;
    }

    private void sealJoined() {
        if (joined != null) {
            buffers.add(joined.flip());
            joined = null;
        }
    }

    /** The buffer to be written next; null if all is written. */
    ByteBuffer first() {
        if (buffers.isEmpty()) {
            sealJoined();
        }
        return buffers.peek();
    }

    /** Records that so many bytes of {@link #first} were written. */
    void recordWritten(long bytes) {
        queuedBytes -= bytes;
        ByteBuffer first = buffers.peek();
        if (first != null && !first.hasRemaining()) {
            buffers.poll();
        }
    }

    boolean isEmpty() {
        return queuedBytes == 0;
    }

    /** The number of bytes that are not written yet. */
    long queuedBytes() {
        return queuedBytes;
    }
}
