package stoatrill.io;

/**
 * What a call that makes something came to.
 *
 * @param value what was made; null unless the outcome is {@link Outcome#PROGRESS}
 * @param why what the system said of a failure; empty without one
 */
public record Opened<T>(Outcome outcome, T value, String why) {

    static <T> Opened<T> of(T value) {
        return new Opened<>(Outcome.PROGRESS, value, "");
    }

    static <T> Opened<T> none(Outcome outcome, String why) {
        return new Opened<>(outcome, null, why);
    }
}
