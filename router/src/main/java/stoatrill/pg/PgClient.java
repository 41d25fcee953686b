package stoatrill.pg;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import stoatrill.core.Answer;
import stoatrill.net.ClientProtocol;

/** A client's connection: startup, simple queries one after another, and answers in their order. */
public final class PgClient implements ClientProtocol {
    private static final int LONGEST_STARTUP = 10_000;
    /** A value of 64 KiB in hexadecimal, and the statement round it. */
    private static final int LONGEST_QUERY = 2 * 64 * 1024 + 4096;

    private static final int MOST_WAITING = 64;
    /** Commands read in one go. Guards the other connections from one that sends hundreds at once. */
    private static final int MOST_AT_ONCE = 32;
    /** Answers to commands that were read, oldest first; one that is null inside still has to come. */
    private final ArrayDeque<Pending> pending = new ArrayDeque<>();

    private final MessageReader in = new MessageReader(false, LONGEST_STARTUP);
    private final Peer peer;
    private boolean started;
    private long slots;
    private long commands;
    private long unwritten;
    private boolean yielded;
    private boolean closed;
    private boolean skipping;
    private String team = "";

    private static final class Pending {
        final long slot;
        final boolean awaitsReady;
        byte[] answer;

        Pending(long slot, boolean awaitsReady) {
            this.slot = slot;
            this.awaitsReady = awaitsReady;
        }
    }

    public PgClient(Peer peer) {
        this.peer = peer;
    }

    @Override
    public void received(ByteBuffer bytes) {
        if (closed) {
            bytes.position(bytes.limit());
            return;
        }
        in.append(bytes);
    }

    @Override
    public void proceed() {
        yielded = false;
        parse();
    }

    private void parse() {
        long most = commands + MOST_AT_ONCE;
        try {
            while (!closed && !started && in.next()) {
                startup();
            }
            while (!closed && started && pending.size() < MOST_WAITING && in.next()) {
                commands++;
                command();
                if (commands == most && in.partial()) {
                    yielded = true;
                    peer.proceedLater();
                    return;
                }
            }
        } catch (PgException e) {
            fatal(e.sqlState, e.getMessage());
        }
    }

    private void startup() throws PgException {
        int code = in.int32(0);
        if (code == Messages.SSL_REQUEST || code == Messages.GSS_REQUEST) {
            peer.write(new byte[] {'N'});
        } else if (code == Messages.CANCEL_REQUEST) {
            if (in.size() == 12) {
                peer.cancel(((long) in.int32(4) << 32) | (in.int32(8) & 0xffffffffL));
            }
            close(); // the protocol gives it no answer
        } else if (code >>> 16 != 3) {
            throw new PgException("0A000", "protocol version " + (code >>> 16) + " is not spoken");
        } else if (in.size() < 5 || in.bytes(in.size() - 1, 1)[0] != 0) {
            throw new PgException("08P01", "malformed startup message");
        } else {
            started = true;
            team = team();
            in.expect(true, LONGEST_QUERY);
            peer.write(Messages.welcome(peer.cancelKey()));
        }
    }

    /**
     * For whom the connection asks: {@code application_name} if it is of the form {@code team:NAME}, since drivers put
     * their own name there, else the user.
     */
    private String team() throws PgException {
        String user = "";
        int at = 4;
        while (at < in.size() - 1) {
            int nameEnd = in.stringEnd(at);
            int valueEnd = in.stringEnd(nameEnd + 1);
            String name = new String(in.bytes(at, nameEnd - at), StandardCharsets.UTF_8);
            String value = new String(in.bytes(nameEnd + 1, valueEnd - nameEnd - 1), StandardCharsets.UTF_8);
            if (name.equals("application_name") && value.startsWith("team:")) {
                return value.substring("team:".length());
            }
            user = name.equals("user") ? value : user;
            at = valueEnd + 1;
        }
        return user;
    }

    private void command() throws PgException {
        int type = in.type();
        if (skipping && type != 'S' && type != 'X') {
            return; // after an error the extended protocol goes on at Sync
        }
        switch (type) {
            case 'Q' -> query();
            case 'X' -> close();
            case 'S' -> {
                skipping = false;
                reply(Messages.readyForQuery());
            }
            case 'P', 'B', 'E', 'D', 'C' -> {
                skipping = true;
                reply(Messages.error("ERROR", "0A000", "only simple queries are spoken", null));
            }
            case 'F' ->
                reply(Messages.join(
                        Messages.error("ERROR", "0A000", "function calls are not spoken", null),
                        Messages.readyForQuery()));
            case 'H', 'd', 'c', 'f' -> {} // Flush, and the end of a copy that was never begun: no answer is due
            default -> throw new PgException("08P01", "message type " + type + " is unknown");
        }
    }

    private void query() throws PgException {
        int end = in.stringEnd(0);
        if (end != in.size() - 1) {
            throw new PgException("08P01", "malformed query message");
        }
        byte[] statement = in.bytes(0, end);
        if (blank(statement)) {
            Pending empty = new Pending(-1, true);
            pending.add(empty);
            if (peer.ready()) {
                give(empty, Messages.join(Messages.emptyQuery(), Messages.readyForQuery()));
            }
            flush();
            return;
        }
        Pending waits = new Pending(slots++, false);
        pending.add(waits);
        try {
            peer.request(waits.slot, PgStatement.parse(statement).by(team));
        } catch (PgException e) {
            give(
                    waits,
                    Messages.join(Messages.error("ERROR", e.sqlState, e.getMessage(), null), Messages.readyForQuery()));
            flush();
        }
    }

    private static boolean blank(byte[] statement) {
        for (byte b : statement) {
            if (b > ' ' && b != ';') {
                return false;
            }
        }
        return true;
    }

    private void reply(byte[] answer) {
        Pending now = new Pending(-1, false);
        give(now, answer);
        pending.add(now);
        flush();
    }

    @Override
    public void answer(long slot, Answer answer) {
        for (Pending p : pending) {
            if (p.slot == slot && p.answer == null) {
                give(p, word(answer));
                break;
            }
        }
        flushAndGoOn();
    }

    private void flushAndGoOn() {
        boolean wasCongested = congested();
        flush();
        if (wasCongested && !yielded) {
            yielded = true; // not at once: the answer may come from within a request
            peer.proceedLater();
        }
    }

    private static byte[] word(Answer answer) {
        byte[] body;
        if (answer instanceof Answer.Served served) {
            body = served.value();
        } else if (answer instanceof Answer.Refused refused) {
            body = Messages.error(
                    "ERROR",
                    "53300",
                    "no server has room, try again",
                    refused.comeBackMillis() > 0 ? Long.toString(refused.comeBackMillis()) : null);
        } else if (answer instanceof Answer.Cancelled) {
            body = Messages.error("ERROR", "57014", "canceling statement due to user request", null);
        } else if (answer instanceof Answer.Failed failed) {
            body = Messages.error("ERROR", "58000", failed.why(), null);
        } else {
            body = Messages.error("ERROR", "22023", ((Answer.Invalid) answer).why(), null);
        }
        return Messages.join(body, Messages.readyForQuery());
    }

    @Override
    public void cancel() {
        for (Pending p : pending) {
            if (p.answer == null && p.slot >= 0) {
                peer.takeBack(p.slot);
                return;
            }
        }
    }

    @Override
    public void ready() {
        for (Pending p : pending) {
            if (p.awaitsReady && p.answer == null) {
                give(p, Messages.join(Messages.emptyQuery(), Messages.readyForQuery()));
            }
        }
        flushAndGoOn();
    }

    private void give(Pending command, byte[] answer) {
        command.answer = answer;
        unwritten += answer.length;
    }

    private void flush() {
        while (!pending.isEmpty() && pending.peek().answer != null) {
            byte[] answer = pending.poll().answer;
            unwritten -= answer.length;
            peer.write(answer);
        }
        if (closed && pending.isEmpty()) {
            peer.close();
        }
    }

    @Override
    public long commands() {
        return commands;
    }

    @Override
    public int waiting() {
        return pending.size();
    }

    @Override
    public int held() {
        return in.held();
    }

    @Override
    public boolean isNext(long slot) {
        return !pending.isEmpty() && pending.peek().slot == slot;
    }

    @Override
    public long unwritten() {
        return unwritten;
    }

    @Override
    public boolean congested() {
        return yielded || pending.size() >= MOST_WAITING;
    }

    @Override
    public void turnAway() {
        fatal("53300", "too many connections");
    }

    @Override
    public void abandon() {
        byte[] failed = word(new Answer.Failed("the router failed to handle the connection"));
        for (Pending p : pending) {
            if (p.answer == null) {
                give(p, failed);
            }
        }
        fatal("58000", "the router failed to handle the connection");
    }

    @Override
    public void expire() {
        fatal("08P01", "the rest of the message has not come");
    }

    /** Ends the conversation with an error, after the answers still owed. */
    private void fatal(String sqlState, String text) {
        reply(Messages.error("FATAL", sqlState, text, null));
        close();
    }

    private void close() {
        closed = true;
        in.clear(); // nothing more is read
        flush();
    }
}
