package stoatrill.pg;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import stoatrill.Gateway.Result;
import stoatrill.Gateway.Role;
import stoatrill.core.DisconnectCause;
import stoatrill.core.ServerAnswer;
import stoatrill.core.Statement;
import stoatrill.net.ServerProtocol;

/**
 * Protocol of a connection to a server: startup, then one query or probe at a time. After an answer the connection is
 * synchronized by an empty query, whose response has no other form than EmptyQueryResponse, so that no part of an
 * earlier answer passes for it.
 */
public final class PgServer implements ServerProtocol {
    /** A value holds at most 64 KiB; no other message comes near that size. */
    private static final int MAX_ROW_BYTES = (64 << 10) + 64;

    private static final int MAX_OTHER_MESSAGE_BYTES = 8 << 10;
    private static final int MAX_ANSWER_BYTES = MAX_ROW_BYTES + 4 * MAX_OTHER_MESSAGE_BYTES;
    /** The type and the length field, which a message without a body costs too. */
    private static final int MESSAGE_HEADER_BYTES = 5;
    /** The largest answer whose space is kept for the next one; there may be a thousand connections at rest. */
    private static final int MAX_KEPT_ANSWER_BYTES = 1024;

    private static final int MAX_NUMBER_CHARS = 24;
    private static final int COLUMN_DESCRIPTION_BYTES = 18; // the fixed-size fields after a column's name

    /** The state of the connection and of the answer that is being read. */
    private enum Phase {
        STARTUP,
        IDLE,
        QUERY_SENT,
        COLUMNS_READ,
        ROW_READ,
        COMPLETE,
        /** An empty query has been sent, and nothing has come since the answer before it. */
        SYNCHRONIZING,
        /** Its EmptyQueryResponse has come; ReadyForQuery is next. */
        EMPTY_RESPONSE_READ,
        CLOSED
    }

    private final MessageReader input = new MessageReader(true, MAX_ROW_BYTES);
    private final Environment environment;
    private Phase phase = Phase.STARTUP;
    private boolean isProbe;
    private int answerSize;
    private ByteArrayOutputStream answerMessages = new ByteArrayOutputStream();
    private String errorSqlState;
    private Role role = Role.UNKNOWN;
    private long positionMillis = -1;
    private Map<String, Double> report;

    /** Creates the protocol of one connection, which reports its events to {@code environment}. */
    public PgServer(Environment environment) {
        this.environment = environment;
    }

    @Override
    public byte[] startupMessage() {
        return Messages.startup("svc", "main");
    }

    @Override
    public byte[] encodeQuery(Statement statement, long waitMillis) {
        beginQuery(false);
        return Messages.query(statement.encodeWithWait(waitMillis));
    }

    @Override
    public byte[] encodeProbe() {
        beginQuery(true);
        return Messages.query("SHOW usage".getBytes(StandardCharsets.US_ASCII));
    }

    @Override
    public byte[] encodeSynchronization() {
        resetAnswer();
        phase = Phase.SYNCHRONIZING;
        return Messages.query(new byte[0]);
    }

    private void beginQuery(boolean probe) {
        resetAnswer();
        phase = Phase.QUERY_SENT;
        isProbe = probe;
    }

    @Override
    public void receive(ByteBuffer bytes) {
        if (phase == Phase.IDLE) {
            bytes.position(bytes.limit());
            reportBroken(DisconnectCause.SURPLUS); // the bytes would be read as the next answer
            return;
        }
        input.append(bytes);
        try {
            while (phase != Phase.CLOSED
                    && phase != Phase.IDLE
                    && beginsExpectedMessage(input.peekType())
                    && input.readNext()) {
                handleMessage();
            }
        } catch (PgException e) {
            reportBroken(isSynchronizing() ? DisconnectCause.SURPLUS : DisconnectCause.SPOILT);
        }
        input.trim();
    }

    /** The number of bytes of memory that this connection keeps for received messages. */
    int bufferBytes() {
        return input.capacity() + answerMessages.size();
    }

    /**
     * Checks that the next message's type is allowed in this phase, and limits its length by its type. Without the
     * limit, garbage read as a length field would make the router wait for, or buffer, gigabytes that never arrive.
     *
     * @return whether a message has begun
     * @throws PgException if its type is not allowed in this phase
     */
    private boolean beginsExpectedMessage(int type) throws PgException {
        boolean isAllowed =
                switch (type) {
                    case -1 -> true;
                    case 'S', 'N' -> phase != Phase.SYNCHRONIZING;
                    case 'E' -> !isSynchronizing();
                    case 'I' -> phase == Phase.SYNCHRONIZING;
                    case 'R', 'K' -> phase == Phase.STARTUP;
                    case 'T' -> phase == Phase.QUERY_SENT;
                    case 'D' -> phase == Phase.COLUMNS_READ;
                    case 'C' -> phase == Phase.ROW_READ;
                    case 'Z' -> phase == Phase.STARTUP || phase == Phase.COMPLETE || phase == Phase.EMPTY_RESPONSE_READ;
                    default -> false;
                };
        if (!isAllowed || (type == 'E' && (errorSqlState != null || phase == Phase.COMPLETE))) {
            throw new PgException("08P01", "message type " + type + " is not allowed in this phase");
        }
        input.setFraming(true, type == 'D' ? MAX_ROW_BYTES : MAX_OTHER_MESSAGE_BYTES);
        return type >= 0;
    }

    private boolean isSynchronizing() {
        return phase == Phase.SYNCHRONIZING || phase == Phase.EMPTY_RESPONSE_READ;
    }

    private void handleMessage() throws PgException {
        answerSize += input.bodySize() + MESSAGE_HEADER_BYTES;
        require(answerSize <= MAX_ANSWER_BYTES);
        switch (input.type()) {
            case 'R' -> require(input.bodySize() == 4 && input.int32(0) == 0); // only AuthenticationOk, no password
            case 'S' -> handleParameter();
            case 'T' -> {
                require(input.int16(0) == 1 && input.bodySize() == input.stringEnd(2) + 1 + COLUMN_DESCRIPTION_BYTES);
                keepMessage(Phase.COLUMNS_READ);
            }
            case 'D' -> {
                require(input.int16(0) == 1 && input.int32(2) >= 0 && input.int32(2) == input.bodySize() - 6);
                keepMessage(Phase.ROW_READ);
                if (isProbe) {
                    report = parseReport(new String(input.copyBytes(6, input.bodySize() - 6), StandardCharsets.UTF_8));
                }
            }
            case 'C' -> {
                require(input.stringEnd(0) == input.bodySize() - 1);
                keepMessage(Phase.COMPLETE);
            }
            case 'I' -> {
                require(input.bodySize() == 0);
                phase = Phase.EMPTY_RESPONSE_READ;
            }
            case 'E' -> {
                String state = parseSqlState();
                // After the answer has begun, no SQLSTATE proves that the statement did not run: an upload that may
                // have run must not be repeated.
                errorSqlState = phase == Phase.STARTUP || phase == Phase.QUERY_SENT ? state : "XX000";
                phase = phase == Phase.STARTUP ? phase : Phase.COMPLETE;
            }
            case 'Z' -> {
                require(input.bodySize() == 1 && input.copyBytes(0, 1)[0] == 'I');
                handleReady();
            }
            default -> {} // notices, and the key for cancel requests
        }
    }

    private static void require(boolean condition) throws PgException {
        if (!condition) {
            throw new PgException("08P01", "malformed message");
        }
    }

    private void keepMessage(Phase nextPhase) {
        answerMessages.writeBytes(input.copyMessage());
        phase = nextPhase;
    }

    private void handleParameter() throws PgException {
        int nameEnd = input.stringEnd(0);
        String name = new String(input.copyBytes(0, nameEnd), StandardCharsets.UTF_8);
        int valueEnd = input.stringEnd(nameEnd + 1);
        require(valueEnd == input.bodySize() - 1);
        String text = new String(input.copyBytes(nameEnd + 1, valueEnd - nameEnd - 1), StandardCharsets.UTF_8);
        switch (name) {
            case "server_role" ->
                role = text.equals("writer") ? Role.PRIMARY : text.equals("reader") ? Role.REPLICA : Role.UNKNOWN;
            case "commit_clock" -> positionMillis = isPlainNumber(text, false) ? Long.parseLong(text) : -1;
            case "usage" -> report = parseReport(text);
            default -> {}
        }
    }

    /** Parses a load report, {@code name=value} pairs joined by commas; null, as for no report, if it is malformed. */
    private static Map<String, Double> parseReport(String text) {
        Map<String, Double> fields = new HashMap<>();
        for (String field : text.split(",", -1)) {
            int equals = field.indexOf('=');
            String value = field.substring(equals + 1);
            if (equals <= 0 || !isPlainNumber(value, true)) {
                return null;
            }
            fields.put(field.substring(0, equals), Double.parseDouble(value));
        }
        return fields;
    }

    /** Returns whether the text is digits with an optional point; rejects other forms that Java parses, such as NaN. */
    private static boolean isPlainNumber(String text, boolean allowsFraction) {
        int decimalPoints = 0;
        for (int i = 0; i < text.length(); i++) {
            char character = text.charAt(i);
            decimalPoints += character == '.' ? 1 : 0;
            if (character != '.' && (character < '0' || character > '9')) {
                return false;
            }
        }
        int maxLength = allowsFraction ? MAX_NUMBER_CHARS : 18;
        return decimalPoints <= (allowsFraction ? 1 : 0) && text.length() > decimalPoints && text.length() <= maxLength;
    }

    private String parseSqlState() throws PgException {
        String state = null;
        int offset = 0;
        while (input.copyBytes(offset, 1)[0] != 0) {
            int end = input.stringEnd(offset + 1);
            if (input.copyBytes(offset, 1)[0] == 'C') {
                state = new String(input.copyBytes(offset + 1, end - offset - 1), StandardCharsets.US_ASCII);
            }
            offset = end + 1;
        }
        require(offset == input.bodySize() - 1 && state != null && state.matches("[0-9A-Z]{5}"));
        return state;
    }

    private void handleReady() throws PgException {
        if (phase == Phase.STARTUP) {
            require(errorSqlState == null && !input.hasUnreadBytes());
            phase = Phase.IDLE;
            environment.onStartupComplete();
            return;
        }
        if (phase == Phase.EMPTY_RESPONSE_READ) {
            require(!input.hasUnreadBytes());
            phase = Phase.IDLE;
            environment.onSynchronized();
            return;
        }
        // Bytes after a complete answer: the answer counts, but the connection is not used for another query.
        boolean reusable = !input.hasUnreadBytes();
        phase = reusable ? Phase.IDLE : Phase.CLOSED;
        deliverAnswer(reusable);
    }

    private void deliverAnswer(boolean reusable) {
        ServerAnswer answer = new ServerAnswer(result(), role, positionMillis, report, answerMessages.toByteArray());
        resetAnswer();
        environment.onAnswer(answer, reusable);
    }

    private Result result() {
        if (errorSqlState == null) {
            return Result.OK;
        }
        return switch (errorSqlState) {
            case "25006", "72000" -> Result.MISS;
            case "53300" -> Result.FULL;
            case "57P03" -> isProbe ? Result.FULL : Result.ERROR;
            default -> Result.ERROR;
        };
    }

    private void resetAnswer() {
        if (answerMessages.size() > MAX_KEPT_ANSWER_BYTES) {
            answerMessages = new ByteArrayOutputStream(); // a reset would keep its space for as long as the connection
        }
        answerMessages.reset();
        answerSize = 0;
        errorSqlState = null;
        role = Role.UNKNOWN;
        positionMillis = -1;
        report = null;
    }

    /** The connection has ended; an answer that was already complete still counts. */
    @Override
    public void onClosed() {
        if (phase == Phase.COMPLETE && !input.hasUnreadBytes()) {
            phase = Phase.CLOSED;
            deliverAnswer(false);
        } else if (phase != Phase.CLOSED) {
            reportBroken(
                    phase == Phase.STARTUP && "53300".equals(errorSqlState)
                            ? DisconnectCause.FULL
                            : DisconnectCause.ENDED);
        }
    }

    private void reportBroken(DisconnectCause cause) {
        phase = Phase.CLOSED;
        environment.onBroken(cause);
    }
}
