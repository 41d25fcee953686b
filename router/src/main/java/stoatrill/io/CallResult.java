package stoatrill.io;

/**
 * The result of a call that opens or reads something.
 *
 * @param value what was opened or read; null unless the outcome is {@link Outcome#PROGRESS}
 * @param reason the system's message on a failure; empty without one
 */
public record CallResult<T>(Outcome outcome, T value, String reason) {

    static <T> CallResult<T> success(T value) {
        return new CallResult<>(Outcome.PROGRESS, value, "");
    }

    static <T> CallResult<T> failure(Outcome outcome, String why) {
        return new CallResult<>(outcome, null, why);
    }
}
