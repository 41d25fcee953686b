package stoatrill.lab.scale.footprint;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/** Cuts what comes in on one connection into messages of PostgreSQL's protocol. For one thread. */
final class FrameReader {
    private static final int LENGTH_BYTES = 4;
    private static final int LONGEST = 256 * 1024;

    private byte[] held = new byte[0];
    private boolean typed;

    /**
     * One message.
     *
     * @param type its type byte; 0 for a client's first message, which has none
     * @param body what follows the length, a character a byte
     */
    record Frame(char type, String body) {}

    /** {@code typed}: whether the first message has a type byte, as all but a client's first have. */
    FrameReader(boolean typed) {
        this.typed = typed;
    }

    /** Takes what came in. */
    void append(ByteBuffer bytes) {
        int before = held.length;
        held = Arrays.copyOf(held, before + bytes.remaining());
        bytes.get(held, before, bytes.remaining());
    }

    /**
     * The next whole message, or empty.
     *
     * @throws IllegalStateException if a length is out of range
     */
    Optional<Frame> next() {
        int head = typed ? 1 + LENGTH_BYTES : LENGTH_BYTES;
        if (held.length < head) {
            return Optional.empty();
        }
        int length = ByteBuffer.wrap(held, head - LENGTH_BYTES, LENGTH_BYTES).getInt();
        if (length < LENGTH_BYTES || length > LONGEST) {
            throw new IllegalStateException("a message of " + length + " bytes");
        }
        int end = head - LENGTH_BYTES + length;
        if (held.length < end) {
            return Optional.empty();
        }
        char type = typed ? (char) held[0] : 0;
        String body = new String(held, head, end - head, StandardCharsets.ISO_8859_1);
        held = Arrays.copyOfRange(held, end, held.length);
        typed = true;
        return Optional.of(new Frame(type, body));
    }
}
