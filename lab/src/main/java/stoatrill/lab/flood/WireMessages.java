package stoatrill.lab.flood;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Builds the messages of a client of version 3 of the PostgreSQL protocol. */
final class WireMessages {
    static final int PROTOCOL_VERSION_CODE = 196608;
    static final int SSL_REQUEST_CODE = 80877103;
    static final int GSS_ENCRYPTION_REQUEST_CODE = 80877104;
    static final int CANCEL_REQUEST_CODE = 80877102;

    private WireMessages() {}

    /** A startup message with further parameters, each a name and a value ended by a zero. */
    static byte[] startup(String user, String parameters) {
        byte[] body = ("user\0" + user + "\0database\0main\0" + parameters + "\0").getBytes(StandardCharsets.US_ASCII);
        return ByteBuffer.allocate(2 * Integer.BYTES + body.length)
                .putInt(2 * Integer.BYTES + body.length)
                .putInt(PROTOCOL_VERSION_CODE)
                .put(body)
                .array();
    }

    /** A request for encryption. */
    static byte[] encryptionRequest(int code) {
        return ByteBuffer.allocate(2 * Integer.BYTES)
                .putInt(2 * Integer.BYTES)
                .putInt(code)
                .array();
    }

    /** A cancel request with the given key. */
    static byte[] cancelRequest(long key) {
        return ByteBuffer.allocate(4 * Integer.BYTES)
                .putInt(4 * Integer.BYTES)
                .putInt(CANCEL_REQUEST_CODE)
                .putLong(key)
                .array();
    }

    /** A simple query. */
    static byte[] query(String statement) {
        return message('Q', (statement + "\0").getBytes(StandardCharsets.US_ASCII));
    }

    /** Any message with a type byte. */
    static byte[] message(char type, byte[] body) {
        return ByteBuffer.allocate(1 + Integer.BYTES + body.length)
                .put((byte) type)
                .putInt(Integer.BYTES + body.length)
                .put(body)
                .array();
    }

    /** A read that may be served by any member of the group. */
    static byte[] read(String id, String requestClass, long waitMillis, int cluster) {
        return query("SELECT v FROM records WHERE k = 'station-1' /* id=" + id + ",c=" + requestClass + ",d="
                + waitMillis + ",cluster=" + cluster + " */");
    }

    /** A write. */
    static byte[] write(String id, long waitMillis) {
        return query("INSERT INTO records (k, v) VALUES ('station-1', '7') RETURNING v /* id=" + id
                + ",c=reading-upload,d=" + waitMillis + ",cluster=0 */");
    }
}
