import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, line by line with the time since the start; may be called by any thread. */
final class Record implements AutoCloseable {
    private final long startedAt = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    synchronized void line(String form, Object... values) {
        out.printf("%9.3f  %s%n", (System.nanoTime() - startedAt) / 1e9, String.format(form, values));
    }

    /** Writes a line to the record and to standard output. */
    synchronized void say(String form, Object... values) {
        line(form, values);
        System.out.println(String.format(form, values));
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
