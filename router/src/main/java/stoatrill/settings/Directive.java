package stoatrill.settings;

import java.util.List;

/**
 * One line of a settings file.
 *
 * @param name the first word
 * @param words the words after the name
 * @param block the block that the line opens, null if it opens none
 */
public record Directive(Word name, List<Word> words, Block block) {

    /** Returns the position of the name. */
    public SourcePosition position() {
        return name.position();
    }
}
