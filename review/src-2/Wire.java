import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Messages of version 3 of PostgreSQL's protocol, as far as the cases need them. */
final class Wire {
    private Wire() {}

    /** One message; {@code type} is 0 for a startup message. */
    static final class Message {
        final int type;
        final byte[] body;

        Message(int type, byte[] body) {
            this.type = type;
            this.body = body;
        }

        String text() {
            return new String(body, 0, Math.max(0, body.length - 1), StandardCharsets.UTF_8);
        }

        /** A field of an ErrorResponse; empty if it is absent. */
        String errorField(char name) {
            int at = 0;
            while (at < body.length && body[at] != 0) {
                int end = at + 1;
                while (body[end] != 0) {
                    end++;
                }
                if (body[at] == name) {
                    return new String(body, at + 1, end - at - 1, StandardCharsets.UTF_8);
                }
                at = end + 1;
            }
            return "";
        }
    }

    /** Reads a message whole; throws EOFException at the end of the stream. */
    static Message read(DataInputStream in, boolean hasType) throws IOException {
        int type = hasType ? in.readUnsignedByte() : 0;
        int length = in.readInt();
        if (length < 4 || length > (1 << 20)) {
            throw new IOException("a message of " + length + " bytes");
        }
        byte[] body = new byte[length - 4];
        in.readFully(body);
        return new Message(type, body);
    }

    static byte[] message(int type, byte[] body) {
        ByteBuffer all = ByteBuffer.allocate(5 + body.length);
        return all.put((byte) type).putInt(4 + body.length).put(body).array();
    }

    static byte[] query(String text) {
        return message('Q', zeroEnded(text));
    }

    static byte[] startup() {
        byte[] names = "user\0svc\0database\0main\0\0".getBytes(StandardCharsets.US_ASCII);
        return ByteBuffer.allocate(8 + names.length)
                .putInt(8 + names.length)
                .putInt(196608)
                .put(names)
                .array();
    }

    static byte[] parameter(String name, String value) {
        return message('S', (name + "\0" + value + "\0").getBytes(StandardCharsets.UTF_8));
    }

    static byte[] error(String state, String text) {
        return message('E', ("SERROR\0VERROR\0C" + state + "\0M" + text + "\0\0").getBytes(StandardCharsets.UTF_8));
    }

    /** RowDescription, one DataRow of one column and CommandComplete. */
    static byte[] row(byte[] value, boolean isBinary, String tag) {
        byte[] columns = ByteBuffer.allocate(22)
                .putShort((short) 1)
                .put((byte) 'v')
                .put((byte) 0)
                .putInt(0)
                .putShort((short) 0)
                .putInt(isBinary ? 17 : 25)
                .putShort((short) -1)
                .putInt(-1)
                .putShort((short) (isBinary ? 1 : 0))
                .array();
        byte[] row = ByteBuffer.allocate(6 + value.length)
                .putShort((short) 1)
                .putInt(value.length)
                .put(value)
                .array();
        return join(message('T', columns), message('D', row), message('C', zeroEnded(tag)));
    }

    static byte[] ready() {
        return message('Z', new byte[] {'I'});
    }

    static byte[] join(byte[]... parts) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            all.writeBytes(part);
        }
        return all.toByteArray();
    }

    private static byte[] zeroEnded(String text) {
        return (text + "\0").getBytes(StandardCharsets.UTF_8);
    }
}
