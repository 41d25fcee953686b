package stoatrill.wire;

import java.io.IOException;
import java.io.InputStream;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;

/** Reads batches of records, and the little-endian fields of the records. */
final class BatchReader {
    private static final int CLOCK_BYTES = 8;
    private static final int MAX_BATCH_BYTES = 1 << 30;
    private static final int REPORT_VALUE_LIMIT = 4;

    private final InputStream input;
    private ByteBuffer batch = ByteBuffer.allocate(1 << 16).order(ByteOrder.LITTLE_ENDIAN);
    private long batchNumber;
    private int recordStart;

    BatchReader(InputStream input) {
        this.input = input;
    }

    /**
     * Reads the next batch; its clock is the next field.
     *
     * @return false at the end of input
     */
    boolean readBatch() throws IOException {
        byte[] header = input.readNBytes(4);
        if (header.length == 0) {
            return false;
        }
        batchNumber++;
        if (header.length < 4) {
            throw new MalformedInputException("batch " + batchNumber + ": input ends inside the length field");
        }
        int length = ByteBuffer.wrap(header).order(ByteOrder.LITTLE_ENDIAN).getInt();
        if (length < CLOCK_BYTES || length > MAX_BATCH_BYTES) {
            throw new MalformedInputException(
                    "batch " + batchNumber + ": invalid length " + Integer.toUnsignedString(length));
        }
        if (batch.capacity() < length) {
            batch = ByteBuffer.allocate(Math.max(length, 2 * batch.capacity())).order(ByteOrder.LITTLE_ENDIAN);
        }
        int readSize = input.readNBytes(batch.array(), 0, length);
        if (readSize < length) {
            throw new MalformedInputException(
                    "batch " + batchNumber + ": input ends after " + readSize + " of " + length + " bytes");
        }
        batch.clear().limit(length);
        return true;
    }

    boolean hasMore() {
        return batch.hasRemaining();
    }

    /** Starts a record by reading its code. */
    int readCode() {
        recordStart = batch.position();
        return batch.get() & 0xff;
    }

    /** Returns an exception that names the position of the current record. */
    MalformedInputException malformed(String reason) {
        return new MalformedInputException("batch " + batchNumber + ", byte " + (recordStart + 4) + ": " + reason);
    }

    /** Returns the exception for a record that ends too early. */
    MalformedInputException truncated(BufferUnderflowException cause) {
        MalformedInputException exception = malformed("the record runs past the end of the batch");
        exception.initCause(cause);
        return exception;
    }

    int u8() {
        return batch.get() & 0xff;
    }

    int u16() {
        return batch.getShort() & 0xffff;
    }

    int u32() throws MalformedInputException {
        int value = batch.getInt();
        if (value < 0) {
            throw malformed("number out of range: " + Integer.toUnsignedString(value));
        }
        return value;
    }

    long u32Long() {
        return batch.getInt() & 0xffffffffL;
    }

    long u64() {
        return batch.getLong();
    }

    float f32() {
        return batch.getFloat();
    }

    boolean bool() throws MalformedInputException {
        int value = u8();
        if (value > 1) {
            throw malformed("not a boolean: " + value);
        }
        return value == 1;
    }

    /** Reads a server: four bytes of address in network order, and a port, packed into one number. */
    long server() {
        long address = Integer.reverseBytes(batch.getInt()) & 0xffffffffL;
        return address << 16 | u16();
    }

    /** Reads a count of entries, which must fit into the rest of the batch. */
    int count(int entrySize) throws MalformedInputException {
        long count = u32Long();
        if (count * entrySize > batch.remaining()) {
            throw malformed("a count of " + count + " does not fit the batch");
        }
        return (int) count;
    }

    byte[] bytes(int size) {
        if (size > batch.remaining()) {
            throw new BufferUnderflowException();
        }
        byte[] content = new byte[size];
        batch.get(content);
        return content;
    }

    String text(int size) {
        return new String(bytes(size), StandardCharsets.UTF_8);
    }

    /** Reads the values of a load report; null if there is none. */
    float[] report() throws MalformedInputException {
        int count = u8();
        if (count > REPORT_VALUE_LIMIT) {
            throw malformed("a report of " + count + " values");
        }
        if (count == 0) {
            return null;
        }
        float[] values = new float[count];
        for (int i = 0; i < count; i++) {
            values[i] = batch.getFloat();
        }
        return values;
    }
}
