package stoatrill.pg;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Builds the protocol messages that the router itself sends. */
final class Messages {
    static final int PROTOCOL_VERSION_3_CODE = 196608;
    static final int CANCEL_REQUEST_CODE = 80877102;
    static final int SSL_REQUEST_CODE = 80877103;
    static final int GSS_ENCRYPTION_REQUEST_CODE = 80877104;

    private Messages() {}

    static byte[] readyForQuery() {
        return message('Z', new byte[] {'I'});
    }

    static byte[] emptyQueryResponse() {
        return message('I', new byte[0]);
    }

    /** Returns what a client receives once its startup message is accepted; its cancel requests carry the key. */
    static byte[] startupReply(long cancelKey) {
        return join(
                message('R', new byte[4]),
                message('S', nullTerminated("server_version", "15.0 (stoatrill)")),
                message('S', nullTerminated("server_encoding", "UTF8")),
                message('S', nullTerminated("client_encoding", "UTF8")),
                message('S', nullTerminated("standard_conforming_strings", "on")),
                message('K', ByteBuffer.allocate(8).putLong(cancelKey).array()),
                readyForQuery());
    }

    static byte[] startup(String user, String database) {
        byte[] body = join(nullTerminated("user", user, "database", database), new byte[1]);
        return ByteBuffer.allocate(8 + body.length)
                .putInt(8 + body.length)
                .putInt(PROTOCOL_VERSION_3_CODE)
                .put(body)
                .array();
    }

    static byte[] query(byte[] statement) {
        return message('Q', join(statement, new byte[1]));
    }

    static byte[] errorResponse(String severity, String sqlState, String text, String detail) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        writeField(body, 'S', severity);
        writeField(body, 'V', severity);
        writeField(body, 'C', sqlState);
        writeField(body, 'M', text);
        if (detail != null) {
            writeField(body, 'D', detail);
        }
        body.write(0);
        return message('E', body.toByteArray());
    }

    private static void writeField(ByteArrayOutputStream output, char code, String value) {
        output.write(code);
        output.writeBytes(value.getBytes(StandardCharsets.UTF_8));
        output.write(0);
    }

    private static byte[] nullTerminated(String... values) {
        return (String.join("\0", values) + "\0").getBytes(StandardCharsets.UTF_8);
    }

    static byte[] message(char type, byte[] body) {
        return ByteBuffer.allocate(5 + body.length)
                .put((byte) type)
                .putInt(4 + body.length)
                .put(body)
                .array();
    }

    static byte[] join(byte[]... parts) {
        int size = 0;
        for (byte[] part : parts) {
            size += part.length;
        }
        ByteBuffer joined = ByteBuffer.allocate(size);
        for (byte[] part : parts) {
            joined.put(part);
        }
        return joined.array();
    }
}
