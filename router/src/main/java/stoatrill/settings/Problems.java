package stoatrill.settings;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Collects the errors of a file, so that all of them are reported at once. Not thread-safe. */
public final class Problems {
    private record Problem(Place place, String message) {}

    private final List<Problem> found = new ArrayList<>();

    /**
     * Adds an error.
     *
     * @param message what is wrong, and what to write instead
     */
    public void add(Place place, String message) {
        found.add(new Problem(place, message));
    }

    /** Returns whether there are no errors so far. */
    public boolean none() {
        return found.isEmpty();
    }

    /**
     * Throws if there are errors.
     *
     * @throws SettingsException with all errors, ordered by file, line and column
     */
    public void check() throws SettingsException {
        if (!found.isEmpty()) {
            List<Problem> sorted = new ArrayList<>(found);
            sorted.sort(Comparator.comparing((Problem p) -> p.place().file())
                    .thenComparingInt(p -> p.place().line())
                    .thenComparingInt(p -> p.place().column()));
            throw new SettingsException(
                    sorted.stream().map(p -> p.place() + ": " + p.message()).toList());
        }
    }
}
