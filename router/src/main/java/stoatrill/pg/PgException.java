package stoatrill.pg;

/** Thrown for input that is malformed or not supported; carries the SQLSTATE to report to the client. */
final class PgException extends Exception {
    private static final long serialVersionUID = 1L;
    final String sqlState;

    PgException(String sqlState, String message) {
        super(message, null, false, false);
        this.sqlState = sqlState;
    }
}
