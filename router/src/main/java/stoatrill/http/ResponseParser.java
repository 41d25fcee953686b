package stoatrill.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** An incremental parser of responses: bodies by length, in chunks, or until the connection closes. */
public final class ResponseParser {
    private static final int LINE_LIMIT_BYTES = 8192;
    private static final int HEADER_COUNT_LIMIT = 100;
    private static final int BODY_LIMIT_BYTES = 4 << 20;

    /** A complete response; {@code reusable} if the connection takes another request. */
    @SuppressWarnings("ArrayRecordComponent") // passes the body on without a copy; never compared
    public record Response(int status, byte[] body, boolean reusable) {}

    /** Thrown for a response that violates the protocol or exceeds a limit. */
    public static final class BadResponseException extends Exception {
        private static final long serialVersionUID = 1L;

        BadResponseException(String message) {
            super(message);
        }
    }

    private enum State {
        STATUS_LINE,
        HEADERS,
        FIXED_LENGTH_BODY,
        BODY_UNTIL_CLOSE,
        CHUNK_SIZE,
        CHUNK_DATA,
        CHUNK_END,
        TRAILERS
    }

    private State state = State.STATUS_LINE;
    private final ByteArrayOutputStream currentLine = new ByteArrayOutputStream();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private int headerCount;
    private long remainingBytes;
    private boolean isPersistent;
    private boolean isChunked;

    /** Consumes bytes up to the end of a response and returns the response; null if it is not complete yet. */
    public Response parse(ByteBuffer in) throws BadResponseException {
        while (in.hasRemaining()) {
            switch (state) {
                case FIXED_LENGTH_BODY, CHUNK_DATA -> {
                    int byteCount = (int) Math.min(remainingBytes, in.remaining());
                    appendToBody(in, byteCount);
                    remainingBytes -= byteCount;
                    if (remainingBytes == 0 && state == State.FIXED_LENGTH_BODY) {
                        return completeResponse();
                    }
                    state = remainingBytes == 0 ? State.CHUNK_END : state;
                }
                case BODY_UNTIL_CLOSE -> appendToBody(in, in.remaining());
                default -> {
                    String text = readLine(in);
                    Response response = text == null ? null : handleLine(text);
                    if (response != null) {
                        return response;
                    }
                }
            }
        }
        return null;
    }

    /** Called once the connection has closed: returns the response that this completes, or null. */
    public Response finishOnClose() {
        return state == State.BODY_UNTIL_CLOSE ? completeResponse() : null;
    }

    private Response handleLine(String text) throws BadResponseException {
        switch (state) {
            case STATUS_LINE -> parseStatusLine(text);
            case HEADERS -> {
                if (!text.isEmpty()) {
                    parseHeader(text);
                } else if (status / 100 == 1) {
                    reset(); // an interim response; the final one follows
                } else if (isChunked) {
                    state = State.CHUNK_SIZE;
                } else if (remainingBytes == 0 || status == 204 || status == 304) {
                    return completeResponse();
                } else {
                    state = remainingBytes > 0 ? State.FIXED_LENGTH_BODY : State.BODY_UNTIL_CLOSE;
                }
            }
            case CHUNK_SIZE -> {
                remainingBytes = parseNumber(text.split(";", 2)[0].trim(), 16);
                state = remainingBytes == 0 ? State.TRAILERS : State.CHUNK_DATA;
            }
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    throw new BadResponseException("chunk data exceeds the chunk size");
                }
                state = State.CHUNK_SIZE;
            }
            default -> { // TRAILERS
                if (text.isEmpty()) {
                    return completeResponse();
                }
            }
        }
        return null;
    }

    private void parseStatusLine(String text) throws BadResponseException {
        if (!text.startsWith("HTTP/1.") || text.length() < 12) {
            throw new BadResponseException("malformed status line");
        }
        status = (int) parseNumber(text.substring(9, 12), 10);
        isPersistent = text.startsWith("HTTP/1.1");
        remainingBytes = -1;
        state = State.HEADERS;
    }

    private void parseHeader(String text) throws BadResponseException {
        if (++headerCount > HEADER_COUNT_LIMIT) {
            throw new BadResponseException("too many headers");
        }
        int colon = text.indexOf(':');
        if (colon <= 0) {
            throw new BadResponseException("header line without a name");
        }
        String value = text.substring(colon + 1).trim();
        switch (text.substring(0, colon).toLowerCase(Locale.ROOT)) {
            case "content-length" -> remainingBytes = parseNumber(value, 10);
            case "transfer-encoding" ->
                isChunked = value.toLowerCase(Locale.ROOT).endsWith("chunked");
            case "connection" ->
                isPersistent = isPersistent ? !value.equalsIgnoreCase("close") : value.equalsIgnoreCase("keep-alive");
            default -> {}
        }
    }

    private static long parseNumber(String text, int radix) throws BadResponseException {
        try {
            long number = Long.parseLong(text, radix);
            if (number >= 0 && number <= BODY_LIMIT_BYTES) {
                return number;
            }
        } catch (NumberFormatException e) {
            // reported below
        }
        throw new BadResponseException("length \"" + text + "\" is not a number from 0 to " + BODY_LIMIT_BYTES);
    }

    private void appendToBody(ByteBuffer in, int byteCount) throws BadResponseException {
        if (body.size() + byteCount > BODY_LIMIT_BYTES) {
            throw new BadResponseException("body is too long");
        }
        byte[] bytes = new byte[byteCount];
        in.get(bytes);
        body.writeBytes(bytes);
    }

    /** Returns the next complete line without its line terminator, or null. */
    private String readLine(ByteBuffer in) throws BadResponseException {
        while (in.hasRemaining()) {
            byte b = in.get();
            if (b == '\n') {
                String text = currentLine.toString(StandardCharsets.ISO_8859_1);
                currentLine.reset();
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            if (currentLine.size() >= LINE_LIMIT_BYTES) {
                throw new BadResponseException("line is too long");
            }
            currentLine.write(b);
        }
        return null;
    }

    private Response completeResponse() {
        Response response = new Response(status, body.toByteArray(), isPersistent && state != State.BODY_UNTIL_CLOSE);
        reset();
        return response;
    }

    private void reset() {
        state = State.STATUS_LINE;
        currentLine.reset();
        body.reset();
        headerCount = 0;
        remainingBytes = -1;
        isChunked = false;
    }
}
