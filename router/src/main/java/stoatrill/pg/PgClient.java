package stoatrill.pg;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import stoatrill.core.Answer;
import stoatrill.net.ClientProtocol;

/** Protocol of a client connection: startup, then pipelined simple queries, answered in the order they arrived. */
public final class PgClient implements ClientProtocol {
    private static final int MAX_STARTUP_BYTES = 10_000;
    /** Room for a 64 KiB value in hexadecimal and for the statement around it. */
    private static final int MAX_QUERY_BYTES = 2 * 64 * 1024 + 4096;

    private static final int PENDING_REPLY_LIMIT = 64;
    /** The reply to each request that is refused unread; one array, as there may be thousands. */
    private static final byte[] REFUSAL = encode(new Answer.Refused(0));

    private static final byte[] ENCRYPTION_DECLINED = {'N'};

    /** Memory that a reply takes beside its bytes while it is held back. */
    private static final int REPLY_OVERHEAD_BYTES = 64;
    /** Replies to the commands read so far, oldest first. */
    private final ArrayDeque<PendingReply> pendingReplies = new ArrayDeque<>();

    private final MessageReader input = new MessageReader(false, MAX_STARTUP_BYTES);
    private final Environment environment;
    private boolean startupComplete;
    /** Whether the client has asked for each kind of encryption; as in PostgreSQL, it may do so once. */
    private boolean sslDeclined;

    private boolean gssDeclined;
    private long nextSlot;
    private long commands;
    private long unwrittenBytes;
    private boolean proceedScheduled;
    private boolean closed;
    private boolean skipUntilSync;
    private boolean refusesRequests;
    private String team = "";

    /** The place of one command's reply in the order of replies; its bytes are null until the reply is known. */
    private static final class PendingReply {
        final long slot;
        final boolean awaitsReady;
        byte[] bytes;

        PendingReply(long slot, boolean awaitsReady) {
            this.slot = slot;
            this.awaitsReady = awaitsReady;
        }
    }

    /** Creates the protocol of one connection, which acts on its surroundings through {@code environment}. */
    public PgClient(Environment environment) {
        this.environment = environment;
    }

    @Override
    public void receive(ByteBuffer bytes) {
        if (closed) {
            bytes.position(bytes.limit());
            return;
        }
        input.append(bytes);
    }

    @Override
    public void readCommands() {
        proceedScheduled = false;
        handleCommands();
        input.trim();
    }

    private void handleCommands() {
        try {
            while (!closed && !startupComplete && readNextInTurn()) {
                handleStartup();
            }
            while (!closed && startupComplete && !isAwaitingAnswers() && readNextInTurn()) {
                commands++;
                handleCommand();
            }
        } catch (PgException e) {
            failConnection(e.sqlState, e.getMessage());
        }
        if (!closed && !isAwaitingAnswers() && input.hasNext()) {
            proceedScheduled = true; // the credit of this turn is used up
            environment.scheduleCommands();
        }
    }

    /** Moves to the next message, if there is one and the turn has credit for it. */
    private boolean readNextInTurn() throws PgException {
        if (!environment.turn().hasCredit() || !input.readNext()) {
            return false;
        }
        environment.turn().chargeMessage(input.bodySize());
        return true;
    }

    private void handleStartup() throws PgException {
        int code = input.int32(0);
        if (code == Messages.SSL_REQUEST_CODE && !sslDeclined) {
            sslDeclined = true;
            environment.write(ENCRYPTION_DECLINED);
        } else if (code == Messages.GSS_ENCRYPTION_REQUEST_CODE && !gssDeclined) {
            gssDeclined = true;
            environment.write(ENCRYPTION_DECLINED);
        } else if (code == Messages.CANCEL_REQUEST_CODE) {
            if (input.bodySize() == 12) {
                environment.cancelByKey(((long) input.int32(4) << 32) | (input.int32(8) & 0xffffffffL));
            }
            close(); // the protocol defines no reply to a cancel request
        } else if (code >>> 16 != 3) {
            throw new PgException("0A000", "protocol version " + (code >>> 16) + " is not spoken");
        } else if (input.bodySize() < 5 || input.copyBytes(input.bodySize() - 1, 1)[0] != 0) {
            throw new PgException("08P01", "malformed startup message");
        } else {
            startupComplete = true;
            team = parseTeam();
            input.setFraming(true, MAX_QUERY_BYTES);
            environment.write(Messages.startupReply(environment.cancelKey()));
        }
    }

    /**
     * Returns the team of the connection: {@code NAME} if {@code application_name} is {@code team:NAME}, else the user.
     * The prefix is required because drivers put their own name into {@code application_name}.
     */
    private String parseTeam() throws PgException {
        String user = "";
        int offset = 4;
        while (offset < input.bodySize() - 1) {
            int nameEnd = input.stringEnd(offset);
            int valueEnd = input.stringEnd(nameEnd + 1);
            String name = new String(input.copyBytes(offset, nameEnd - offset), StandardCharsets.UTF_8);
            String value = new String(input.copyBytes(nameEnd + 1, valueEnd - nameEnd - 1), StandardCharsets.UTF_8);
            if (name.equals("application_name") && value.startsWith("team:")) {
                return value.substring("team:".length());
            }
            user = name.equals("user") ? value : user;
            offset = valueEnd + 1;
        }
        return user;
    }

    private void handleCommand() throws PgException {
        int type = input.type();
        if (skipUntilSync && type != 'S' && type != 'X') {
            return; // after an error, the extended query protocol discards messages until Sync
        }
        switch (type) {
            case 'Q' -> handleQuery();
            case 'X' -> close();
            case 'S' -> {
                skipUntilSync = false;
                queueReply(Messages.readyForQuery());
            }
            case 'P', 'B', 'E', 'D', 'C' -> {
                skipUntilSync = true;
                queueReply(encodeError("0A000", "only simple queries are spoken"));
            }
            case 'F' ->
                queueReply(
                        Messages.join(encodeError("0A000", "function calls are not spoken"), Messages.readyForQuery()));
            case 'H', 'd', 'c', 'f' -> {} // Flush, and copy messages though no copy was begun: no reply is due
            default -> throw new PgException("08P01", "message type " + type + " is unknown");
        }
    }

    private void handleQuery() throws PgException {
        int end = input.stringEnd(0);
        if (end != input.bodySize() - 1) {
            throw new PgException("08P01", "malformed query message");
        }
        byte[] statement = input.copyBytes(0, end);
        if (isBlank(statement)) {
            PendingReply emptyReply = new PendingReply(-1, true);
            pendingReplies.add(emptyReply);
            if (environment.isReady()) {
                complete(emptyReply, Messages.join(Messages.emptyQueryResponse(), Messages.readyForQuery()));
            }
            flushReplies();
            return;
        }
        PendingReply reply = new PendingReply(nextSlot++, false);
        pendingReplies.add(reply);
        if (refusesRequests) {
            complete(reply, REFUSAL);
            return;
        }
        try {
            environment.submit(reply.slot, PgStatement.parse(statement).withTeam(team));
        } catch (PgException e) {
            complete(reply, Messages.join(encodeError(e.sqlState, e.getMessage()), Messages.readyForQuery()));
            flushReplies();
        }
    }

    private byte[] encodeError(String sqlState, String text) {
        environment.recordError(sqlState);
        return Messages.errorResponse("ERROR", sqlState, text, null);
    }

    private static boolean isBlank(byte[] statement) {
        for (byte character : statement) {
            if (character > ' ' && character != ';') {
                return false;
            }
        }
        return true;
    }

    private void queueReply(byte[] bytes) {
        PendingReply reply = new PendingReply(-1, false);
        complete(reply, bytes);
        pendingReplies.add(reply);
        flushReplies();
    }

    @Override
    public void answer(long slot, Answer answer) {
        for (PendingReply reply : pendingReplies) {
            if (reply.slot == slot && reply.bytes == null) {
                complete(reply, encode(answer));
                break;
            }
        }
        flushAndContinue();
    }

    private void flushAndContinue() {
        boolean wasCongested = isCongested();
        flushReplies();
        if (wasCongested && !proceedScheduled) {
            proceedScheduled = true; // not read here: the answer may come while its request is being handed over
            environment.scheduleCommands();
        }
    }

    private static byte[] encode(Answer answer) {
        byte[] body;
        if (answer instanceof Answer.Served served) {
            body = served.value();
        } else if (answer instanceof Answer.Refused refused) {
            body = Messages.errorResponse(
                    "ERROR",
                    "53300",
                    "no server has room, try again",
                    refused.retryAfterMillis() > 0 ? Long.toString(refused.retryAfterMillis()) : null);
        } else if (answer instanceof Answer.Cancelled) {
            body = Messages.errorResponse("ERROR", "57014", "canceling statement due to user request", null);
        } else if (answer instanceof Answer.Failed failed) {
            body = Messages.errorResponse("ERROR", "58000", failed.reason(), null);
        } else {
            body = Messages.errorResponse("ERROR", "22023", ((Answer.Invalid) answer).reason(), null);
        }
        return Messages.join(body, Messages.readyForQuery());
    }

    @Override
    public void cancelOldest() {
        for (PendingReply reply : pendingReplies) {
            if (reply.bytes == null && reply.slot >= 0) {
                environment.cancelRequest(reply.slot);
                return;
            }
        }
    }

    @Override
    public void onReady() {
        for (PendingReply reply : pendingReplies) {
            if (reply.awaitsReady && reply.bytes == null) {
                complete(reply, Messages.join(Messages.emptyQueryResponse(), Messages.readyForQuery()));
            }
        }
        flushAndContinue();
    }

    private void complete(PendingReply reply, byte[] bytes) {
        reply.bytes = bytes;
        unwrittenBytes += bytes.length + REPLY_OVERHEAD_BYTES;
    }

    private void flushReplies() {
        while (!pendingReplies.isEmpty() && pendingReplies.peek().bytes != null) {
            byte[] bytes = pendingReplies.poll().bytes;
            unwrittenBytes -= bytes.length + REPLY_OVERHEAD_BYTES;
            environment.write(bytes);
        }
        if (closed && pendingReplies.isEmpty()) {
            environment.closeAfterWrites();
        }
    }

    @Override
    public long commandCount() {
        return commands;
    }

    @Override
    public int unansweredCount() {
        return pendingReplies.size();
    }

    @Override
    public int unparsedBytes() {
        return input.unreadSize();
    }

    @Override
    public int inputBufferBytes() {
        return input.capacity();
    }

    @Override
    public boolean isNext(long slot) {
        return !pendingReplies.isEmpty() && pendingReplies.peek().slot == slot;
    }

    @Override
    public long heldBackBytes() {
        return unwrittenBytes;
    }

    @Override
    public boolean isCongested() {
        return proceedScheduled || isAwaitingAnswers();
    }

    @Override
    public boolean isAwaitingAnswers() {
        return pendingReplies.size() >= PENDING_REPLY_LIMIT;
    }

    @Override
    public boolean hasCompleteCommand() {
        return input.hasNext();
    }

    @Override
    public void refuseCommands(long unparsedLimitBytes) {
        refusesRequests = true;
        try {
            while (!closed && input.unreadSize() >= unparsedLimitBytes && input.readNext()) {
                environment.turn().chargeMessage(input.bodySize());
                commands++;
                handleCommand();
            }
        } catch (PgException e) {
            failConnection(e.sqlState, e.getMessage());
        } finally {
            refusesRequests = false;
        }
        input.trim();
    }

    @Override
    public void reject(String reason) {
        failConnection("53300", reason);
    }

    @Override
    public void failAll() {
        byte[] failure = encode(new Answer.Failed("the router failed to handle the connection"));
        for (PendingReply reply : pendingReplies) {
            if (reply.bytes == null) {
                complete(reply, failure);
            }
        }
        failConnection("58000", "the router failed to handle the connection");
    }

    @Override
    public void expire() {
        failConnection("08P01", "the rest of the message has not come");
    }

    /** Ends the connection with an error, sent after the replies that are still pending. */
    private void failConnection(String sqlState, String text) {
        environment.recordError(sqlState);
        queueReply(Messages.errorResponse("FATAL", sqlState, text, null));
        close();
    }

    private void close() {
        closed = true;
        input.clear(); // nothing more is read, so the buffer is released
        flushReplies();
    }
}
