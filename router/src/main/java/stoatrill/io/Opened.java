package stoatrill.io;

/**
 * The result of a call that opens or reads something.
 *
 * @param value what was opened or read; null unless the outcome is {@link Outcome#PROGRESS}
 * @param why the system's message on a failure; empty without one
 */
public record Opened<T>(Outcome outcome, T value, String why) {

    static <T> Opened<T> success(T value) {
        return new Opened<>(Outcome.PROGRESS, value, "");
    }

    static <T> Opened<T> failure(Outcome outcome, String why) {
        return new Opened<>(outcome, null, why);
    }
}
