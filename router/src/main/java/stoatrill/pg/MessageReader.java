package stoatrill.pg;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** Splits a byte stream into protocol messages and keeps the bytes of an incomplete one. */
final class MessageReader {
    private static final byte[] EMPTY = {};
    private static final int INITIAL_CAPACITY_BYTES = 512;
    /** The largest buffer that is kept while it is empty; there may be a thousand connections at rest. */
    private static final int MAX_IDLE_CAPACITY_BYTES = 1024;
    /** A buffer that is this many times as large as its contents is replaced. */
    private static final int EXCESS_CAPACITY_FACTOR = 4;

    private int maxLength;
    private byte[] buffer = EMPTY;
    private int unreadStart;
    private int unreadEnd;
    private boolean hasTypeByte;
    private int type;
    private int bodyStart;
    private int bodyEnd;

    /**
     * Creates a reader for one direction of a connection.
     *
     * @param hasTypeByte whether messages begin with a type byte, as all but a client's startup messages do
     * @param maxLength the largest length field that is accepted, in bytes
     */
    MessageReader(boolean hasTypeByte, int maxLength) {
        this.hasTypeByte = hasTypeByte;
        this.maxLength = maxLength;
    }

    /** Sets the framing of the messages that follow; the parameters are those of the constructor. */
    void setFraming(boolean hasTypeByte, int maxLength) {
        this.hasTypeByte = hasTypeByte;
        this.maxLength = maxLength;
    }

    void append(ByteBuffer bytes) {
        int addedSize = bytes.remaining();
        if (unreadEnd + addedSize > buffer.length) {
            int neededSize = unreadSize() + addedSize;
            moveUnreadTo(neededSize <= buffer.length ? buffer : new byte[grownCapacity(neededSize)]);
        }
        bytes.get(buffer, unreadEnd, addedSize);
        unreadEnd += addedSize;
    }

    /** Doubles the size that is needed, but takes no more than the next message, if that is known and large enough. */
    private int grownCapacity(int neededSize) {
        if (!hasUnreadBytes()) {
            return Math.max(INITIAL_CAPACITY_BYTES, neededSize);
        }
        int doubledSize = Math.max(INITIAL_CAPACITY_BYTES, 2 * neededSize);
        if (unreadSize() < headerSize() || !isLengthValid(nextLength())) {
            return doubledSize;
        }
        int messageSize = nextLength() + headerSize() - Integer.BYTES;
        return messageSize >= neededSize ? Math.min(doubledSize, messageSize) : doubledSize;
    }

    private void moveUnreadTo(byte[] target) {
        System.arraycopy(buffer, unreadStart, target, 0, unreadSize());
        buffer = target;
        unreadEnd -= unreadStart;
        unreadStart = 0;
    }

    /**
     * Gives up buffer space that the unread bytes don't need, so that a large message does not occupy its size until
     * the connection closes. The current message can't be read afterwards.
     */
    void trim() {
        int limit = Math.max(MAX_IDLE_CAPACITY_BYTES, EXCESS_CAPACITY_FACTOR * unreadSize());
        if (buffer.length > limit) {
            moveUnreadTo(unreadSize() == 0 ? EMPTY : new byte[unreadSize()]);
        }
    }

    /** Returns the size of the buffer in bytes. */
    int capacity() {
        return buffer.length;
    }

    /** Returns the type byte of the next message, or -1 if none of its bytes have arrived. */
    int peekType() {
        return unreadStart < unreadEnd ? buffer[unreadStart] & 0xff : -1;
    }

    /** Whether {@link #readNext} would move to a message or throw. */
    boolean hasNext() {
        int headerSize = headerSize();
        if (unreadEnd - unreadStart < headerSize) {
            return false;
        }
        int length = nextLength();
        return !isLengthValid(length) || unreadEnd - unreadStart >= length + headerSize - Integer.BYTES;
    }

    /**
     * Moves to the next complete message.
     *
     * @return false if no complete message has arrived yet
     * @throws PgException if its length field is below 4 or above the limit
     */
    boolean readNext() throws PgException {
        if (!hasNext()) {
            return false;
        }
        int headerSize = headerSize();
        int length = nextLength();
        if (!isLengthValid(length)) {
            throw new PgException(length < 4 ? "08P01" : "54000", "message of " + length + " bytes");
        }
        int messageSize = length + headerSize - Integer.BYTES;
        type = hasTypeByte ? buffer[unreadStart] & 0xff : 0;
        bodyStart = unreadStart + headerSize;
        bodyEnd = unreadStart + messageSize;
        unreadStart = bodyEnd;
        return true;
    }

    boolean hasUnreadBytes() {
        return unreadEnd > unreadStart;
    }

    /** Returns the number of buffered bytes that belong to no message read so far. */
    int unreadSize() {
        return unreadEnd - unreadStart;
    }

    /** Discards the buffered bytes. */
    void clear() {
        buffer = EMPTY;
        unreadStart = unreadEnd = 0;
    }

    int type() {
        return type;
    }

    /** Returns the size of the current message's body in bytes. */
    int bodySize() {
        return bodyEnd - bodyStart;
    }

    int int32(int offset) throws PgException {
        if (offset + 4 > bodySize()) {
            throw new PgException("08P01", "message is too short");
        }
        return intAt(bodyStart + offset);
    }

    int int16(int offset) throws PgException {
        if (offset + 2 > bodySize()) {
            throw new PgException("08P01", "message is too short");
        }
        return ((buffer[bodyStart + offset] & 0xff) << 8) | (buffer[bodyStart + offset + 1] & 0xff);
    }

    byte[] copyBytes(int offset, int length) throws PgException {
        if (offset < 0 || length < 0 || offset + length > bodySize()) {
            throw new PgException("08P01", "message is too short");
        }
        return Arrays.copyOfRange(buffer, bodyStart + offset, bodyStart + offset + length);
    }

    /** Returns a copy of the current message with its type byte and length field. */
    byte[] copyMessage() {
        return Arrays.copyOfRange(buffer, bodyStart - 5, bodyEnd);
    }

    /** Returns the offset of the terminating zero of the string that begins at {@code offset}. */
    int stringEnd(int offset) throws PgException {
        for (int i = bodyStart + offset; i < bodyEnd; i++) {
            if (buffer[i] == 0) {
                return i - bodyStart;
            }
        }
        throw new PgException("08P01", "string without its end");
    }

    private int headerSize() {
        return hasTypeByte ? 5 : 4;
    }

    /** The length field of the next message, whose header must have arrived. */
    private int nextLength() {
        return intAt(unreadStart + headerSize() - Integer.BYTES);
    }

    private boolean isLengthValid(int length) {
        return length >= Integer.BYTES && length <= maxLength;
    }

    private int intAt(int index) {
        return ByteBuffer.wrap(buffer, index, 4).getInt();
    }
}
