package stoatrill.lab.scale.faketime;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import stoatrill.core.DisconnectCause;
import stoatrill.core.ServerAnswer;
import stoatrill.net.ServerProtocol;
import stoatrill.pg.PgServer;

/**
 * Bytes of one probe on its connection: the query as {@link PgServer} words it, and a typical answer, which the same
 * class must accept whole. Headers of TCP and IP are not counted.
 */
final class ProbeBytes {
    /** A load report with the fields that the settings name: position in seconds, role, requests that wait. */
    static final String TYPICAL_REPORT = "x0=1767225600.123000,x1=0,q=3";

    private static final int TEXT_TYPE = 25;
    private static final int COLUMN_BYTES = 18;

    private ProbeBytes() {}

    /** Bytes of the query and of its answer, both directions together. */
    static int both() {
        Check check = new Check();
        PgServer protocol = new PgServer(check);
        protocol.receive(ByteBuffer.wrap(greeting()));
        byte[] query = protocol.encodeProbe();
        byte[] answer = answer();
        protocol.receive(ByteBuffer.wrap(answer));
        if (!check.accepted) {
            throw new IllegalStateException("the modelled answer to a probe was not accepted");
        }
        return query.length + answer.length;
    }

    private static final class Check implements ServerProtocol.Environment {
        private boolean accepted;

        @Override
        public void onStartupComplete() {}

        @Override
        public void onAnswer(ServerAnswer answer, boolean reusable) {
            accepted = reusable && answer.report() != null;
        }

        @Override
        public void onSynchronized() {}

        @Override
        public void onBroken(DisconnectCause how) {}
    }

    private static byte[] greeting() {
        return join(message('R', new byte[4]), ready());
    }

    private static byte[] answer() {
        byte[] value = TYPICAL_REPORT.getBytes(StandardCharsets.US_ASCII);
        byte[] row = ByteBuffer.allocate(6 + value.length)
                .putShort((short) 1)
                .putInt(value.length)
                .put(value)
                .array();
        return join(message('T', column()), message('D', row), message('C', text("SHOW")), ready());
    }

    private static byte[] column() {
        byte[] name = text("usage");
        return ByteBuffer.allocate(2 + name.length + COLUMN_BYTES)
                .putShort((short) 1)
                .put(name)
                .putInt(0) // table
                .putShort((short) 0) // attribute
                .putInt(TEXT_TYPE)
                .putShort((short) -1) // length varies
                .putInt(-1) // no modifier
                .putShort((short) 0) // as text
                .array();
    }

    private static byte[] ready() {
        return message('Z', new byte[] {'I'});
    }

    private static byte[] text(String text) {
        return (text + "\0").getBytes(StandardCharsets.US_ASCII);
    }

    private static byte[] message(char type, byte[] body) {
        return ByteBuffer.allocate(5 + body.length)
                .put((byte) type)
                .putInt(4 + body.length)
                .put(body)
                .array();
    }

    private static byte[] join(byte[]... parts) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            all.writeBytes(part);
        }
        return all.toByteArray();
    }
}
