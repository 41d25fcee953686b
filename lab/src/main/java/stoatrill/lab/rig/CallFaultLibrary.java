package stoatrill.lab.rig;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;

/**
 * The library that makes system calls fail, compiled from the source that the lab carries.
 *
 * @param file the shared object, for {@code LD_PRELOAD}
 */
public record CallFaultLibrary(Path file) {
    private static final String SOURCE = "failing_calls.c";

    /** There is no C compiler on this machine. */
    public static final class NoCompilerException extends IOException {
        private static final long serialVersionUID = 1L;

        NoCompilerException(IOException cause) {
            super("no C compiler: system calls of real processes can't be made to fail here", cause);
        }
    }

    /**
     * Compiles the library into a directory.
     *
     * @throws NoCompilerException if {@code cc} can't be started
     * @throws IOException if the source doesn't compile, with what the compiler said
     */
    public static CallFaultLibrary build(Path dir) throws IOException {
        Path source = dir.resolve(SOURCE);
        try (InputStream in = CallFaultLibrary.class.getResourceAsStream(SOURCE)) {
            Files.copy(in, source, StandardCopyOption.REPLACE_EXISTING);
        }
        Path library = dir.resolve("failing_calls.so");
        Process compiler;
        try {
            compiler = new ProcessBuilder(List.of(
                            "cc",
                            "-O1",
                            "-shared",
                            "-fPIC",
                            "-o",
                            library.toString(),
                            source.toString(),
                            "-ldl",
                            "-lpthread"))
                    .redirectErrorStream(true)
                    .start();
        } catch (IOException e) {
            throw new NoCompilerException(e);
        }
        String said = new String(compiler.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        try {
            if (compiler.waitFor() != 0) {
                throw new IOException(SOURCE + " does not compile: " + said);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while " + SOURCE + " was compiled", e);
        }
        return new CallFaultLibrary(library);
    }
}
