package stoatrill.settings;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Collects the errors of a file, so that all of them are reported at once. Not thread-safe. */
public final class Problems {
    private record Problem(SourcePosition position, String message) {}

    private final List<Problem> found = new ArrayList<>();

    /**
     * Adds an error.
     *
     * @param message what is wrong, and what to write instead
     */
    public void add(SourcePosition position, String message) {
        found.add(new Problem(position, message));
    }

    /** Returns whether there are no errors so far. */
    public boolean isEmpty() {
        return found.isEmpty();
    }

    /**
     * Throws if there are errors.
     *
     * @throws SettingsException with all errors, ordered by file, line and column
     */
    public void throwIfAny() throws SettingsException {
        if (!found.isEmpty()) {
            List<Problem> sorted = new ArrayList<>(found);
            sorted.sort(Comparator.comparing((Problem p) -> p.position().file())
                    .thenComparingInt(p -> p.position().line())
                    .thenComparingInt(p -> p.position().column()));
            throw new SettingsException(
                    sorted.stream().map(p -> p.position() + ": " + p.message()).toList());
        }
    }
}
