package stoatrill.standins.fleet;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;

/** One caller's connection: its call so far, and what is still to be written to it. Used by one thread. */
final class DiscoveryConnection {
    private static final int LONGEST_CALL = 8192;
    private static final String HOST = "\r\nHost: ";

    /** A call: {@code from} is negative for the whole list; {@code until} is when its wait ends. */
    record Call(DiscoveryConnection by, long from, long until) {}

    private final SocketChannel channel;
    private final SelectionKey key;
    private final ByteArrayOutputStream in = new ByteArrayOutputStream();
    private final ArrayDeque<ByteBuffer> out = new ArrayDeque<>();
    private String name = "";
    private long telling;

    DiscoveryConnection(SocketChannel channel, SelectionKey key) {
        this.channel = channel;
        this.key = key;
    }

    /** The caller's name, from the Host header of its last call. */
    String name() {
        return name;
    }

    boolean open() {
        return channel.isOpen();
    }

    /** Takes what was read. Returns the bytes of the call that is whole with it, or null. */
    byte[] take(ByteBuffer bytes) throws IOException {
        byte[] read = new byte[bytes.remaining()];
        bytes.get(read);
        in.writeBytes(read);
        if (in.size() > LONGEST_CALL) {
            throw new IOException("call too long");
        }
        byte[] all = in.toByteArray();
        int end = all.length;
        boolean whole = end >= 4 && all[end - 4] == '\r' && all[end - 3] == '\n' && all[end - 1] == '\n';
        if (!whole) {
            return null;
        }
        in.reset();
        return all;
    }

    /** Reads a whole call, whose wait begins now. */
    Call parse(byte[] bytes, long now, long longestHold) {
        String text = new String(bytes, StandardCharsets.US_ASCII);
        int host = text.indexOf(HOST) + HOST.length();
        name = text.substring(host, text.indexOf("\r\n", host));
        String target = text.substring(0, text.indexOf("\r\n"));
        long hold = Math.min(longestHold, number(target, "hold_ms=", 0));
        return new Call(this, number(target, "from=", -1), now + hold * 1_000_000L);
    }

    private static long number(String target, String key, long otherwise) {
        int at = target.indexOf(key);
        if (at < 0) {
            return otherwise;
        }
        int begin = at + key.length();
        int end = begin;
        while (end < target.length() && (Character.isDigit(target.charAt(end)) || target.charAt(end) == '-')) {
            end++;
        }
        return Long.parseLong(target.substring(begin, end));
    }

    /** Queues an answer that tells of {@code version}. */
    void answer(byte[] head, byte[] body, long version) {
        out.add(ByteBuffer.wrap(head));
        out.add(ByteBuffer.wrap(body));
        telling = version;
    }

    /** Writes what the socket takes. Returns the version that has now been told whole, or -1. */
    long flush() throws IOException {
        while (!out.isEmpty()) {
            channel.write(out.toArray(new ByteBuffer[0]));
            while (!out.isEmpty() && !out.peek().hasRemaining()) {
                out.poll();
            }
            if (!out.isEmpty()) {
                key.interestOps(SelectionKey.OP_WRITE);
                return -1;
            }
        }
        key.interestOps(SelectionKey.OP_READ);
        long told = telling;
        telling = -1;
        return told;
    }

    void close() {
        key.cancel();
        try {
            channel.close();
        } catch (IOException e) {
            // closed all the same
        }
    }
}
