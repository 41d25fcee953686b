package stoatrill.lab.scale.footprint;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Builds the few messages of PostgreSQL's protocol, version 3, that the stand-ins here speak. */
final class PgFrames {
    private static final int PROTOCOL_3 = 3 << 16;
    private static final int LENGTH_BYTES = 4;
    private static final int TYPE_TEXT = 25;
    private static final int COLUMN_BYTES = 18;

    private PgFrames() {}

    /** A client's first message: user and database are fixed. */
    static byte[] startup() {
        byte[] parameters = ascii("user\0svc\0database\0main\0\0");
        return ByteBuffer.allocate(2 * LENGTH_BYTES + parameters.length)
                .putInt(2 * LENGTH_BYTES + parameters.length)
                .putInt(PROTOCOL_3)
                .put(parameters)
                .array();
    }

    /** A simple query. */
    static byte[] query(String sql) {
        return message('Q', ascii(sql + "\0"));
    }

    /** What a server says once it has taken a startup message. */
    static byte[] welcome() {
        return join(message('R', new byte[LENGTH_BYTES]), message('K', new byte[2 * LENGTH_BYTES]), ready());
    }

    /** One row of one column of text, its description before it and the command's end behind it. */
    static byte[] row(String value, String tag) {
        byte[] text = ascii(value);
        byte[] description = ByteBuffer.allocate(2 + 2 + COLUMN_BYTES)
                .putShort((short) 1)
                .put(ascii("v\0"))
                .putInt(0)
                .putShort((short) 0)
                .putInt(TYPE_TEXT)
                .putShort((short) -1)
                .putInt(-1)
                .putShort((short) 0)
                .array();
        byte[] data = ByteBuffer.allocate(2 + LENGTH_BYTES + text.length)
                .putShort((short) 1)
                .putInt(text.length)
                .put(text)
                .array();
        return join(message('T', description), message('D', data), message('C', ascii(tag + "\0")));
    }

    /** What a server answers an empty query, before it is ready again. */
    static byte[] emptyQueryResponse() {
        return message('I', new byte[0]);
    }

    /** A parameter's value, as a server reports it. */
    static byte[] parameter(String name, String value) {
        return message('S', ascii(name + "\0" + value + "\0"));
    }

    /** The server is ready for the next query. */
    static byte[] ready() {
        return message('Z', ascii("I"));
    }

    /** The messages one after the other. */
    static byte[] join(byte[]... messages) {
        int length = Arrays.stream(messages).mapToInt(message -> message.length).sum();
        ByteBuffer all = ByteBuffer.allocate(length);
        for (byte[] message : messages) {
            all.put(message);
        }
        return all.array();
    }

    private static byte[] message(char type, byte[] body) {
        return ByteBuffer.allocate(1 + LENGTH_BYTES + body.length)
                .put((byte) type)
                .putInt(LENGTH_BYTES + body.length)
                .put(body)
                .array();
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }
}
