package stoatrill.wire;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Collects the actions of one reply, and writes the reply. */
final class ReplyWriter {
    private static final int HEADER_BYTES = 8;
    private static final int MAX_TEXT_BYTES = 0xffff;

    private ByteBuffer reply =
            ByteBuffer.allocate(1 << 16).order(ByteOrder.LITTLE_ENDIAN).position(HEADER_BYTES);
    private int recordCount;
    private int currentInstance = -1;

    /** Starts an action of an instance, after a record that selects the instance if it differs from the last. */
    private void beginAction(int instance, int code, int size) {
        ensureCapacity(size + 6);
        if (instance != currentInstance) {
            reply.put((byte) 130).putInt(instance);
            currentInstance = instance;
            recordCount++;
        }
        reply.put((byte) code);
        recordCount++;
    }

    private void ensureCapacity(int size) {
        if (reply.remaining() < size) {
            int capacity = Math.max(2 * reply.capacity(), reply.position() + size);
            reply = ByteBuffer.wrap(Arrays.copyOf(reply.array(), capacity))
                    .order(ByteOrder.LITTLE_ENDIAN)
                    .position(reply.position());
        }
    }

    private void putServer(long server) {
        reply.putInt(Integer.reverseBytes((int) (server >>> 16))).putShort((short) server);
    }

    void send(int instance, long request, long server, long timeoutNanos) {
        beginAction(instance, 10, 22);
        reply.putLong(request);
        putServer(server);
        reply.putLong(timeoutNanos);
    }

    void refuse(int instance, long request, long retryAfterNanos) {
        beginAction(instance, 20, 16);
        reply.putLong(request).putLong(retryAfterNanos);
    }

    void fail(int instance, long request) {
        beginAction(instance, 30, 8);
        reply.putLong(request);
    }

    void cancel(int instance, long request, int attempt) {
        beginAction(instance, 40, 9);
        reply.putLong(request).put((byte) attempt);
    }

    void timer(int instance, long delayNanos, long token) {
        beginAction(instance, 50, 16);
        reply.putLong(delayNanos).putLong(token);
    }

    void probe(int instance, long server) {
        beginAction(instance, 60, 6);
        putServer(server);
    }

    void dropIdle(int instance, long server) {
        beginAction(instance, 70, 6);
        putServer(server);
    }

    void tell(int instance, int peer, byte[] message) {
        beginAction(instance, 80, 4 + message.length);
        reply.putShort((short) peer).putShort((short) message.length).put(message);
    }

    void follow(int instance, boolean enabled) {
        beginAction(instance, 110, 1);
        reply.put((byte) (enabled ? 1 : 0));
    }

    void fetch(int instance) {
        beginAction(instance, 120, 0);
    }

    void log(int instance, String line) {
        putText(instance, 90, line);
    }

    void internalError(int instance, String description) {
        putText(instance, 100, description);
    }

    private void putText(int instance, int code, String text) {
        byte[] content = text.getBytes(StandardCharsets.UTF_8);
        int length = Math.min(content.length, MAX_TEXT_BYTES);
        beginAction(instance, code, 2 + length);
        reply.putShort((short) length).put(content, 0, length);
    }

    /** Writes the reply, flushes the stream, and starts an empty reply. */
    void flush(OutputStream output) throws IOException {
        reply.putInt(0, recordCount).putInt(4, reply.position() - HEADER_BYTES);
        output.write(reply.array(), 0, reply.position());
        output.flush();
        reply.position(HEADER_BYTES);
        recordCount = 0;
        currentInstance = -1;
    }
}
