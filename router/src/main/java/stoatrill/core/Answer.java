package stoatrill.core;

/** The final answer to a client's request. */
public sealed interface Answer {

    /**
     * Served, with the bytes that a server returned for this request. The array is handed over without a copy and must
     * not be modified.
     */
    @SuppressWarnings("ArrayRecordComponent") // passes bytes to a socket without a copy; never compared
    record Served(byte[] value) implements Answer {}

    /** Refused: a repeat is harmless, and advised after {@code retryAfterMillis} if that is positive. */
    record Refused(long retryAfterMillis) implements Answer {}

    /** Failed; the request may or may not have had an effect. */
    record Failed(String reason) implements Answer {}

    /** Cancelled by the client; the request may or may not have had an effect. */
    record Cancelled() implements Answer {}

    /** Not a request that this router can handle. */
    record Invalid(String reason) implements Answer {}
}
