package stoatrill.settings;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Parses a text into directives. Words are separated by spaces or tabs, and a byte order mark counts as one. Strings
 * are in double quotes, with the escapes {@code \"}, {@code \\}, {@code \n} and {@code \t}. {@code #} begins a comment.
 * A line that ends with an opening brace opens a block, and a closing brace alone on its line closes it.
 */
public final class SettingsFile {
    private static final int BLOCK_DEPTH_LIMIT = 32;
    private final String file;
    private final Problems problems = new Problems();

    /** A block that is not closed yet. */
    private record OpenBlock(Word name, List<Word> words, List<Directive> directives, SourcePosition position) {}

    private SettingsFile(String file) {
        this.file = file;
    }

    /**
     * Parses a whole text.
     *
     * @param file the file's name, used in error messages only
     * @throws SettingsException with all syntax errors
     */
    public static Block parse(String file, String text) throws SettingsException {
        return new SettingsFile(file).read(text);
    }

    private Block read(String text) throws SettingsException {
        ArrayDeque<OpenBlock> openBlocks = new ArrayDeque<>();
        openBlocks.push(new OpenBlock(null, List.of(), new ArrayList<>(), new SourcePosition(file, 1, 1)));
        int lineNumber = 0;
        for (String line : text.split("\r?\n", -1)) {
            lineNumber++;
            List<Word> words = splitWords(line, lineNumber);
            if (words.isEmpty()) {
                continue;
            }
            Word first = words.get(0);
            Word last = words.get(words.size() - 1);
            boolean closesBlock = isBrace(first, "}");
            if (closesBlock && words.size() > 1) {
                problems.add(words.get(1).position(), "nothing may follow '}'; put it on the next line");
            }
            if (closesBlock) {
                if (openBlocks.size() == 1) {
                    problems.add(first.position(), "this '}' closes nothing; remove it or look for a missing '{'");
                } else {
                    OpenBlock closed = openBlocks.pop();
                    openBlocks
                            .peek()
                            .directives()
                            .add(new Directive(
                                    closed.name(),
                                    closed.words(),
                                    new Block(List.copyOf(closed.directives()), closed.position())));
                }
                continue;
            }
            boolean opensBlock = isBrace(last, "{");
            List<Word> arguments =
                    List.copyOf(words.subList(1, words.size() - (opensBlock && words.size() > 1 ? 1 : 0)));
            arguments.stream()
                    .filter(w -> isBrace(w, "{") || isBrace(w, "}"))
                    .forEach(w -> problems.add(
                            w.position(),
                            "a brace stands at the end of its line; write it in quotes if it is part of a value"));
            if (isBrace(first, "{")) {
                problems.add(first.position(), "a block needs a name before its '{'");
            }
            if (!opensBlock) {
                openBlocks.peek().directives().add(new Directive(first, arguments, null));
            } else if (openBlocks.size() > BLOCK_DEPTH_LIMIT) {
                problems.add(
                        first.position(),
                        "blocks are more than " + BLOCK_DEPTH_LIMIT + " deep; a '}' is probably missing");
                problems.throwIfAny();
            } else {
                openBlocks.push(new OpenBlock(first, arguments, new ArrayList<>(), last.position()));
            }
        }
        while (openBlocks.size() > 1) {
            OpenBlock unclosed = openBlocks.pop();
            problems.add(
                    unclosed.position(),
                    "the block \"" + unclosed.name().text() + "\" is not closed; add a line with '}'");
        }
        problems.throwIfAny();
        return new Block(
                List.copyOf(openBlocks.peek().directives()), openBlocks.peek().position());
    }

    private static boolean isBrace(Word word, String brace) {
        return !word.isQuoted() && word.text().equals(brace);
    }

    private List<Word> splitWords(String line, int lineNumber) {
        List<Word> words = new ArrayList<>();
        int index = 0;
        while (index < line.length()) {
            char character = line.charAt(index);
            if (character == ' ' || character == '\t' || character == '\uFEFF') {
                index++;
            } else if (character == '#') {
                break;
            } else if (character == '"') {
                index = readString(line, lineNumber, index, words);
            } else {
                int start = index;
                while (index < line.length() && " \t\"#".indexOf(line.charAt(index)) < 0) {
                    if (line.charAt(index) < ' ') {
                        problems.add(new SourcePosition(file, lineNumber, index + 1), "a control character; remove it");
                    }
                    index++;
                }
                words.add(
                        new Word(line.substring(start, index), false, new SourcePosition(file, lineNumber, start + 1)));
            }
        }
        return words;
    }

    /**
     * Reads a quoted string and adds it to the words.
     *
     * @param start the index of the opening quote
     * @return the index after the closing quote
     */
    private int readString(String line, int lineNumber, int start, List<Word> words) {
        StringBuilder value = new StringBuilder();
        SourcePosition position = new SourcePosition(file, lineNumber, start + 1);
        int index = start + 1;
        while (index < line.length() && line.charAt(index) != '"') {
            char character = line.charAt(index++);
            if (character != '\\') {
                value.append(character);
            } else if (index < line.length() && "\"\\nt".indexOf(line.charAt(index)) >= 0) {
                char escape = line.charAt(index++);
                value.append(escape == 'n' ? '\n' : escape == 't' ? '\t' : escape);
            } else {
                problems.add(new SourcePosition(file, lineNumber, index), "after '\\' comes one of \" \\ n t");
            }
        }
        if (index >= line.length()) {
            problems.add(position, "the string is not closed; add '\"' before the end of the line");
        }
        words.add(new Word(value.toString(), true, position));
        return index + 1;
    }
}
