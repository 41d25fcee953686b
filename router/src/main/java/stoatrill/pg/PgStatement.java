package stoatrill.pg;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.regex.Pattern;
import stoatrill.core.ClientRequest;
import stoatrill.core.Statement;

/** A statement with its trailing comment of name=value pairs; all but the value of {@code d} is forwarded unchanged. */
final class PgStatement implements Statement {
    private static final Pattern ID_FORM = Pattern.compile("[0-9A-Za-z_.:-]{1,64}");

    private final byte[] text;
    private final int waitStart;
    private final int waitEnd;

    private PgStatement(byte[] text, int waitStart, int waitEnd) {
        this.text = text;
        this.waitStart = waitStart;
        this.waitEnd = waitEnd;
    }

    @Override
    public byte[] encodeWithWait(long waitMillis) {
        return Messages.join(
                Arrays.copyOf(text, waitStart),
                Long.toString(waitMillis).getBytes(StandardCharsets.US_ASCII),
                Arrays.copyOfRange(text, waitEnd, text.length));
    }

    /**
     * Parses a client's statement, a {@code SELECT} or {@code INSERT} that ends with the comment.
     *
     * @throws PgException with the SQLSTATE to report if the statement or its comment is not accepted
     */
    static ClientRequest parse(byte[] statement) throws PgException {
        String text = new String(
                statement, StandardCharsets.ISO_8859_1); // one character per byte, so that offsets are the same
        int commentStart = text.lastIndexOf("/*");
        int commentEnd = text.lastIndexOf("*/");
        boolean isSelect = startsWith(text, "SELECT");
        boolean isInsert = startsWith(text, "INSERT");
        if (!isSelect && !isInsert) {
            throw new PgException("0A000", "only SELECT and INSERT are routed");
        }
        if (commentStart < 0
                || commentEnd < commentStart
                || !text.substring(commentEnd + 2).isBlank()) {
            throw new PgException("42601", "the statement does not end with its comment of id, c and d");
        }
        if (hasSecondStatement(text, commentStart)) {
            // A second statement could write under a class whose requests may be repeated.
            throw new PgException("42601", "only one statement is taken at a time");
        }
        CommentFields fields = CommentFields.parse(text, commentStart + 2, commentEnd);
        if (!ID_FORM.matcher(fields.id()).matches()) {
            throw new PgException("22023", "id is not of letters and digits");
        }
        return new ClientRequest(
                fields.id(),
                fields.requestClass(),
                firstLiteral(text, commentStart),
                fields.group(),
                fields.waitMillis(),
                fields.afterMillis(),
                fields.isRepeat(),
                isInsert,
                new PgStatement(statement, fields.waitStart(), fields.waitEnd()),
                fields.team());
    }

    /** Returns whether anything but white space follows the first semicolon outside a literal, up to {@code end}. */
    private static boolean hasSecondStatement(String text, int end) {
        boolean isQuoted = false;
        for (int i = 0; i < end; i++) {
            isQuoted ^= text.charAt(i) == '\'';
            if (text.charAt(i) == ';' && !isQuoted) {
                return !text.substring(i + 1, end).isBlank();
            }
        }
        return false;
    }

    private static boolean startsWith(String text, String keyword) {
        int offset = 0;
        while (offset < text.length() && Character.isWhitespace(text.charAt(offset))) {
            offset++;
        }
        return text.regionMatches(true, offset, keyword, 0, keyword.length());
    }

    /** Returns the first quoted literal before {@code end}; empty if there is none. */
    private static String firstLiteral(String text, int end) {
        int openQuote = text.indexOf('\'');
        int closeQuote = text.indexOf('\'', openQuote + 1);
        return openQuote < 0 || closeQuote < 0 || closeQuote >= end ? "" : text.substring(openQuote + 1, closeQuote);
    }
}
