package stoatrill.settings;

/**
 * A token of a settings file: a bare word, or a quoted string.
 *
 * @param text the text, without quotes and with escapes replaced
 * @param isQuoted whether it is a quoted string
 * @param position where it begins
 */
public record Word(String text, boolean isQuoted, SourcePosition position) {}
