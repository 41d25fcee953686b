package stoatrill.scenario;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Messages of the PostgreSQL wire protocol, as scripted clients and servers in tests send them. */
public final class PgMessages {
    /** ReadyForQuery, which ends every answer. */
    public static final byte[] READY = message('Z', new byte[] {'I'});
    /** A server's reply to a startup message: AuthenticationOk and ReadyForQuery. */
    public static final byte[] GREETING =
            ByteBuffer.allocate(15).put(message('R', new byte[4])).put(READY).array();

    /** The reply to an empty query: EmptyQueryResponse and ReadyForQuery. */
    public static final byte[] EMPTY_QUERY_REPLY =
            ByteBuffer.allocate(11).put(message('I', new byte[0])).put(READY).array();

    private PgMessages() {}

    /** Whether the text of a query message, with the zero that ends it, is that of an empty query. */
    public static boolean isEmptyQuery(String text) {
        return text.equals("\0");
    }

    /** Returns a startup message of protocol 3.0. */
    public static byte[] startup() {
        return ByteBuffer.allocate(32)
                .putInt(32)
                .putInt(196608)
                .put("user\0svc\0database\0main\0\0".getBytes(StandardCharsets.UTF_8))
                .array();
    }

    /** Returns a simple query message. */
    public static byte[] query(String text) {
        return message('Q', (text + "\0").getBytes(StandardCharsets.UTF_8));
    }

    /** Returns an answer with one row of one column, up to and including CommandComplete. */
    public static byte[] row(String value) {
        byte[] text = value.getBytes(StandardCharsets.UTF_8);
        byte[] data = ByteBuffer.allocate(6 + text.length)
                .putShort((short) 1)
                .putInt(text.length)
                .put(text)
                .array();
        byte[] columns = ByteBuffer.allocate(22)
                .putShort((short) 1)
                .put("v\0".getBytes(StandardCharsets.UTF_8))
                .array();
        byte[] tag = "SELECT 1\0".getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(columns.length + data.length + tag.length + 15)
                .put(message('T', columns))
                .put(message('D', data))
                .put(message('C', tag))
                .array();
    }

    /** Returns a message with its type and length. */
    public static byte[] message(char type, byte[] body) {
        return ByteBuffer.allocate(5 + body.length)
                .put((byte) type)
                .putInt(4 + body.length)
                .put(body)
                .array();
    }
}
