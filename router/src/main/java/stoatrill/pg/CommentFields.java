package stoatrill.pg;

/**
 * The name=value pairs of a statement's trailing comment. Names that are not known are skipped without a copy, as a
 * comment may hold thousands of them.
 */
final class CommentFields {
    /** A name that has a meaning. */
    private enum Name {
        ID("id"),
        CLASS("c"),
        WAIT("d"),
        GROUP("cluster"),
        AFTER("after"),
        REPEAT("r"),
        TEAM("team");

        private static final Name[] ALL = values();

        private final String text;

        Name(String text) {
            this.text = text;
        }

        /** The name that stands there; null if it is not known. */
        static Name find(String source, int start, int end) {
            for (Name name : ALL) {
                if (name.text.length() == end - start && source.startsWith(name.text, start)) {
                    return name;
                }
            }
            return null;
        }
    }

    private static final long LONGEST_AFTER_MILLIS = Long.MAX_VALUE / 1_000_000;

    private String id;
    private String requestClass;
    private long waitMillis = -1;
    private int waitStart;
    private int waitEnd;
    private int group;
    private long afterMillis;
    private boolean isRepeat;
    private String team = "";

    private CommentFields() {}

    /**
     * Parses the text from {@code start} to {@code end}, between the comment's marks.
     *
     * @throws PgException with the SQLSTATE to report if a part has no value, a number is out of range, or id, class or
     *     wait are missing
     */
    static CommentFields parse(String text, int start, int end) throws PgException {
        CommentFields fields = new CommentFields();
        int offset = start;
        while (offset < end) {
            int comma = text.indexOf(',', offset);
            int partEnd = comma < 0 || comma > end ? end : comma;
            fields.parsePart(text, offset, partEnd);
            offset = partEnd + 1;
        }
        if (fields.id == null || fields.requestClass == null || fields.waitMillis < 0) {
            throw new PgException("42601", "the comment lacks id, c or d");
        }
        return fields;
    }

    private void parsePart(String text, int start, int end) throws PgException {
        int equals = text.indexOf('=', start);
        if (equals < 0 || equals >= end) {
            throw new PgException("42601", "the comment has a part without a value");
        }
        Name name = Name.find(text, skipBlanks(text, start, equals), trimBlanks(text, start, equals));
        if (name != null) {
            int valueStart = skipBlanks(text, equals + 1, end);
            set(name, text, valueStart, Math.max(valueStart, trimBlanks(text, equals + 1, end)));
        }
    }

    private void set(Name name, String text, int start, int end) throws PgException {
        String value = text.substring(start, end);
        switch (name) {
            case ID -> id = value;
            case CLASS -> requestClass = value;
            case WAIT -> {
                waitMillis = parseNumber(name, value, Long.MAX_VALUE);
                waitStart = start;
                waitEnd = end;
            }
            case GROUP -> group = (int) parseNumber(name, value, Integer.MAX_VALUE);
            case AFTER -> afterMillis = parseNumber(name, value, LONGEST_AFTER_MILLIS);
            case REPEAT -> isRepeat = value.equals("1");
            case TEAM -> team = value;
        }
    }

    private static int skipBlanks(String text, int start, int end) {
        int offset = start;
        while (offset < end && text.charAt(offset) <= ' ') {
            offset++;
        }
        return offset;
    }

    private static int trimBlanks(String text, int start, int end) {
        int offset = end;
        while (offset > start && text.charAt(offset - 1) <= ' ') {
            offset--;
        }
        return offset;
    }

    private static long parseNumber(Name name, String value, long max) throws PgException {
        try {
            long number = Long.parseLong(value);
            if (number >= 0 && number <= max) {
                return number;
            }
        } catch (NumberFormatException e) {
            // reported below
        }
        throw new PgException("22023", name.text + " is no number in range");
    }

    String id() {
        return id;
    }

    String requestClass() {
        return requestClass;
    }

    long waitMillis() {
        return waitMillis;
    }

    /** Where the digits of the wait begin in the text. */
    int waitStart() {
        return waitStart;
    }

    /** Where the digits of the wait end in the text. */
    int waitEnd() {
        return waitEnd;
    }

    int group() {
        return group;
    }

    long afterMillis() {
        return afterMillis;
    }

    boolean isRepeat() {
        return isRepeat;
    }

    String team() {
        return team;
    }
}
