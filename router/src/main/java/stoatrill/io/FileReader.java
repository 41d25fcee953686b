package stoatrill.io;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.InvalidPathException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;

/** Reads the files that the configuration of a router names. Thread-safe. */
public final class FileReader {
    private final SystemCalls calls;

    public FileReader(SystemCalls calls) {
        this.calls = calls;
    }

    /**
     * Reads a text file in UTF-8. {@link Outcome#FATAL} if there is no such file or it isn't text,
     * {@link Outcome#NO_RESOURCE} for every other failure, which may be temporary.
     */
    public Opened<String> text(String file) {
        try {
            ByteBuffer bytes = ByteBuffer.wrap(calls.readFile(Path.of(file)));
            return Opened.success(
                    StandardCharsets.UTF_8.newDecoder().decode(bytes).toString());
        } catch (NoSuchFileException | CharacterCodingException | InvalidPathException e) {
            return Opened.failure(Outcome.FATAL, e.getClass().getSimpleName());
        } catch (IOException e) {
            return Opened.failure(Outcome.NO_RESOURCE, e.getClass().getSimpleName());
        }
    }

    /**
     * Reads the first bytes of a file that may have no end. {@link Outcome#NO_RESOURCE} if they can't be read
     * at the moment.
     */
    public Opened<byte[]> firstBytes(String file, int byteCount) {
        try {
            byte[] read = calls.readFirstBytes(Path.of(file), byteCount);
            return read.length == byteCount ? Opened.success(read) : Opened.failure(Outcome.FATAL, "file is too short");
        } catch (NoSuchFileException | InvalidPathException e) {
            return Opened.failure(Outcome.FATAL, e.getClass().getSimpleName());
        } catch (IOException e) {
            return Opened.failure(Outcome.NO_RESOURCE, e.getClass().getSimpleName());
        }
    }
}
