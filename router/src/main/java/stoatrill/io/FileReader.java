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
     * Reads a text file in UTF-8. {@link Outcome#PERMANENT_FAILURE} if there is no such file or it isn't text,
     * {@link Outcome#TEMPORARY_FAILURE} for every other failure, which may be temporary.
     */
    public CallResult<String> readText(String file) {
        try {
            ByteBuffer bytes = ByteBuffer.wrap(calls.readFile(Path.of(file)));
            return CallResult.success(
                    StandardCharsets.UTF_8.newDecoder().decode(bytes).toString());
        } catch (NoSuchFileException | CharacterCodingException | InvalidPathException e) {
            return CallResult.failure(Outcome.PERMANENT_FAILURE, e.getClass().getSimpleName());
        } catch (IOException e) {
            return CallResult.failure(Outcome.TEMPORARY_FAILURE, e.getClass().getSimpleName());
        }
    }

    /**
     * Reads the first bytes of a file that may have no end. {@link Outcome#TEMPORARY_FAILURE} if they can't be read
     * at the moment.
     */
    public CallResult<byte[]> readFirstBytes(String file, int byteCount) {
        try {
            byte[] read = calls.readFirstBytes(Path.of(file), byteCount);
            return read.length == byteCount
                    ? CallResult.success(read)
                    : CallResult.failure(Outcome.PERMANENT_FAILURE, "file is too short");
        } catch (NoSuchFileException | InvalidPathException e) {
            return CallResult.failure(Outcome.PERMANENT_FAILURE, e.getClass().getSimpleName());
        } catch (IOException e) {
            return CallResult.failure(Outcome.TEMPORARY_FAILURE, e.getClass().getSimpleName());
        }
    }
}
