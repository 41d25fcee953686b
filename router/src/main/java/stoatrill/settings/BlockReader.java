package stoatrill.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Reads the directives of one block by name and type. An invalid directive is added to {@link Problems} and its
 * fallback value is returned, so that reading goes on. {@link #reportUnknown} then reports every directive whose name
 * was never requested. Not thread-safe.
 */
public final class BlockReader {
    private final Block block;
    private final Problems problems;
    private final Map<String, List<Directive>> directivesByName = new HashMap<>();
    private final Set<String> requestedNames = new HashSet<>();

    /** Creates a reader of a block that adds errors to {@code problems}. */
    public BlockReader(Block block, Problems problems) {
        this.block = block;
        this.problems = problems;
        for (Directive directive : block.directives()) {
            directivesByName
                    .computeIfAbsent(directive.name().text(), unused -> new ArrayList<>())
                    .add(directive);
        }
    }

    /** Returns all directives of a name, in the order of the file. */
    public List<Directive> directives(String name) {
        requestedNames.add(name);
        return directivesByName.getOrDefault(name, List.of());
    }

    /** Returns the directive of a name, or null if there is none. A second one is an error. */
    public Directive directive(String name) {
        List<Directive> matches = directives(name);
        for (int i = 1; i < matches.size(); i++) {
            problems.add(
                    matches.get(i).position(),
                    "\"" + name + "\" is already given in line "
                            + matches.get(0).position().line() + "; keep one of them");
        }
        return matches.isEmpty() ? null : matches.get(0);
    }

    /** Passes a reader of a directive's block to a consumer, or one of an empty block if there is no such directive. */
    public void readBlock(String name, Consumer<BlockReader> consumer) {
        Directive directive = directive(name);
        Block directiveBlock = directive == null ? new Block(List.of(), block.position()) : directive.block();
        if (directiveBlock == null) {
            problems.add(directive.position(), "\"" + name + "\" opens a block; end the line with '{'");
            return;
        }
        BlockReader reader = new BlockReader(directiveBlock, problems);
        consumer.accept(reader);
        reader.reportUnknown();
    }

    /** Returns a reader of a nested block. The caller calls its {@link #reportUnknown}. */
    public BlockReader nestedReader(Block nested) {
        return new BlockReader(nested, problems);
    }

    /** Returns the directive's single word or string, or the fallback. */
    public String text(String name, String fallback) {
        Word word = singleWord(directive(name));
        return word == null ? fallback : word.text();
    }

    /**
     * Returns the directive's single word as one of an enum's constants, in lower case with dashes, or the fallback.
     */
    public <E extends Enum<E>> E enumValue(String name, Class<E> type, E fallback) {
        Word word = singleWord(directive(name));
        return word == null ? fallback : enumValue(word, type, fallback);
    }

    /** Returns a word as one of an enum's constants, in lower case with dashes, or the fallback. */
    public <E extends Enum<E>> E enumValue(Word word, Class<E> type, E fallback) {
        List<String> names = new ArrayList<>();
        for (E constant : type.getEnumConstants()) {
            names.add(constant.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-'));
        }
        int index = names.indexOf(word.text());
        if (index < 0) {
            problems.add(
                    word.position(),
                    "\"" + word.text() + "\" is not one of " + String.join(", ", names)
                            + suggestion(word.text(), names));
            return fallback;
        }
        return type.getEnumConstants()[index];
    }

    /** Returns the directive's single quantity, or the fallback. Both bounds are inclusive. */
    public long quantity(String name, Quantity kind, long min, long max, long fallback) {
        Word word = singleWord(directive(name));
        return word == null ? fallback : quantity(word, kind, min, max, fallback);
    }

    /** Returns a word as a quantity, or the fallback. Both bounds are inclusive. */
    public long quantity(Word word, Quantity kind, long min, long max, long fallback) {
        try {
            long value = kind.parse(word.text());
            if (value >= min && value <= max) {
                return value;
            }
            problems.add(
                    word.position(),
                    "\"" + word.text() + "\" is out of range; write " + kind.format(min) + " to " + kind.format(max));
        } catch (IllegalArgumentException e) {
            problems.add(word.position(), e.getMessage());
        }
        return fallback;
    }

    /**
     * Returns a word as a range of two quantities with {@code ..} between them, smaller one first. A single quantity
     * stands for both ends. Both bounds are inclusive.
     */
    public long[] range(Word word, Quantity kind, long min, long max, long[] fallback) {
        int dots = word.text().indexOf("..");
        if (dots < 0) {
            long value = quantity(word, kind, min, max, fallback[0]);
            return new long[] {value, value};
        }
        Word first = new Word(word.text().substring(0, dots), false, word.position());
        SourcePosition secondPosition = new SourcePosition(
                word.position().file(), word.position().line(), word.position().column() + dots + 2);
        Word second = new Word(word.text().substring(dots + 2), false, secondPosition);
        long[] range = {quantity(first, kind, min, max, fallback[0]), quantity(second, kind, min, max, fallback[1])};
        if (range[0] > range[1]) {
            problems.add(word.position(), "\"" + word.text() + "\" goes down; write the smaller value first");
        }
        return range;
    }

    /** Returns the directive's quantity, or its two with {@code ..} between them, as a range; or the fallback. */
    public long[] range(String name, Quantity kind, long min, long max, long... fallback) {
        Word word = singleWord(directive(name));
        return word == null ? fallback : range(word, kind, min, max, fallback);
    }

    /** Returns a time span in nanoseconds. */
    public long timeSpan(String name, long min, long max, long fallback) {
        return quantity(name, Quantity.SPAN, min, max, fallback);
    }

    /** Returns a whole number. */
    public int count(String name, int min, int max, int fallback) {
        return (int) quantity(name, Quantity.COUNT, min, max, fallback);
    }

    /** Returns a decimal number without a unit. */
    public double number(String name, double min, double max, double fallback) {
        return quantity(name, Quantity.NUMBER, (long) (min * 1e3), (long) (max * 1e3), Math.round(fallback * 1e3))
                / 1e3;
    }

    /** Returns a share, which is written in percent, as a fraction of 1. */
    public double share(String name, double min, double max, double fallback) {
        return quantity(name, Quantity.SHARE, (long) (min * 1e6), (long) (max * 1e6), Math.round(fallback * 1e6)) / 1e6;
    }

    /** Returns a rate in events a second. */
    public double rate(String name, double fallback) {
        return quantity(name, Quantity.RATE, 0, Long.MAX_VALUE / 2, Math.round(fallback * 86_400)) / 86_400.0;
    }

    /**
     * Returns the words of a directive if their number is within the bounds. Otherwise adds an error that shows the
     * expected form and returns null.
     */
    public List<Word> checkedWords(Directive directive, int min, int max, String form) {
        if (directive.words().size() >= min && directive.words().size() <= max) {
            return directive.words();
        }
        problems.add(
                directive.position(),
                "\"" + directive.name().text() + "\" has " + directive.words().size() + " values; write: " + form);
        return null;
    }

    /** Adds an error that the caller has found, such as a value that is invalid for its directive. */
    public void addProblem(SourcePosition position, String message) {
        problems.add(position, message);
    }

    /** Returns the only word of a directive; null if there is no directive, or an error if it has another form. */
    private Word singleWord(Directive directive) {
        if (directive == null) {
            return null;
        }
        if (directive.words().size() != 1 || directive.block() != null) {
            problems.add(
                    directive.position(),
                    "\"" + directive.name().text() + "\" takes one value, and has "
                            + (directive.block() != null
                                    ? "a block"
                                    : directive.words().size()));
            return null;
        }
        return directive.words().get(0);
    }

    /** Adds an error for each directive whose name was never requested. */
    public void reportUnknown() {
        for (Directive directive : block.directives()) {
            String name = directive.name().text();
            if (!requestedNames.contains(name)) {
                List<String> known = requestedNames.stream().sorted().toList();
                problems.add(
                        directive.position(),
                        "\"" + name + "\" is not known here"
                                + (known.isEmpty()
                                        ? ""
                                        : suggestion(name, known).isEmpty()
                                                ? "; known are: " + String.join(", ", known)
                                                : suggestion(name, known)));
            }
        }
    }

    /** Returns a hint at the known name with the smallest edit distance, or an empty text if none is close. */
    private static String suggestion(String name, List<String> known) {
        return known.stream()
                .filter(k -> distance(k, name) <= Math.max(1, (name.length() + 1) / 3))
                .min(java.util.Comparator.comparingInt(k -> distance(k, name)))
                .map(k -> "; did you mean \"" + k + "\"?")
                .orElse("");
    }

    /** Returns the Levenshtein distance of two texts. */
    private static int distance(String left, String right) {
        int[] row = new int[right.length() + 1];
        for (int j = 0; j <= right.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= left.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= right.length(); j++) {
                int cost = Math.min(
                        Math.min(row[j], row[j - 1]) + 1,
                        diagonal + (left.charAt(i - 1) == right.charAt(j - 1) ? 0 : 1));
                diagonal = row[j];
                row[j] = cost;
            }
        }
        return row[right.length()];
    }
}
