package stoatrill.settings;

import java.util.List;

/**
 * The directives between two braces, or those of a whole file.
 *
 * @param directives the directives in the order of the file
 * @param position where the block opens
 */
public record Block(List<Directive> directives, SourcePosition position) {}
