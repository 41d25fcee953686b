package stoatrill.settings;

/** A position in a file. Lines and columns are numbered from 1. */
public record SourcePosition(String file, int line, int column) {
    @Override
    public String toString() {
        return file + ":" + line + ":" + column;
    }
}
