package stoatrill.settings;

import java.util.List;

/** Thrown for an invalid file, with all its errors, each in the form {@code file:line:column: message}. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;
    private final transient List<String> problems;

    SettingsException(List<String> problems) {
        super(String.join(System.lineSeparator(), problems));
        this.problems = List.copyOf(problems);
    }

    /** Creates an exception for an error that has no position, such as a missing file. The line names the file. */
    public static SettingsException of(String problem) {
        return new SettingsException(List.of(problem));
    }

    /** Returns the errors, one line each, ordered by position; never empty. */
    public List<String> problems() {
        return problems;
    }
}
