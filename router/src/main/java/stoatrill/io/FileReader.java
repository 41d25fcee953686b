package stoatrill.io;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.InvalidPathException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;

/** Reads the files that a router is told of. Safe for any thread. */
public final class FileReader {
    private final SystemCalls calls;

    public FileReader(SystemCalls calls) {
        this.calls = calls;
    }

    /**
     * The text of a file in UTF-8. Fatal if there is no such file or it isn't text; no resource for every other
     * failure, which may pass.
     */
    public Opened<String> text(String file) {
        try {
            ByteBuffer bytes = ByteBuffer.wrap(calls.readFile(Path.of(file)));
            return Opened.of(StandardCharsets.UTF_8.newDecoder().decode(bytes).toString());
        } catch (NoSuchFileException | CharacterCodingException | InvalidPathException e) {
            return Opened.none(Outcome.FATAL, e.getClass().getSimpleName());
        } catch (IOException e) {
            return Opened.none(Outcome.NO_RESOURCE, e.getClass().getSimpleName());
        }
    }

    /** The first bytes of a file that may have no end; no resource if they can't be had now. */
    public Opened<byte[]> first(String file, int bytes) {
        try {
            byte[] read = calls.readFirst(Path.of(file), bytes);
            return read.length == bytes ? Opened.of(read) : Opened.none(Outcome.FATAL, "it is too short");
        } catch (NoSuchFileException | InvalidPathException e) {
            return Opened.none(Outcome.FATAL, e.getClass().getSimpleName());
        } catch (IOException e) {
            return Opened.none(Outcome.NO_RESOURCE, e.getClass().getSimpleName());
        }
    }
}
