package stoatrill.standins.fleet;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Commands that a parent process writes, one a line. They are read by a thread of its own and taken by the thread that
 * serves. The end of the stream, as when the parent is gone, reads as {@link #QUIT}: no child outlives its parent.
 */
public final class ControlLines {
    /** The command that ends the process. */
    public static final String QUIT = "quit";

    private final ConcurrentLinkedQueue<String> lines = new ConcurrentLinkedQueue<>();

    /** Starts reading; {@code wakeUp} is called by the reading thread after each line. */
    public ControlLines(InputStream from, Runnable wakeUp) {
        Thread reader = new Thread(() -> read(from, wakeUp), "control");
        reader.setDaemon(true);
        reader.start();
    }

    /** The next command, or null if none has come. */
    public String poll() {
        return lines.poll();
    }

    private void read(InputStream from, Runnable wakeUp) {
        try (BufferedReader in = new BufferedReader(new InputStreamReader(from, StandardCharsets.UTF_8))) {
            String line = in.readLine();
            while (line != null) {
                lines.add(line);
                wakeUp.run();
                line = in.readLine();
            }
        } catch (IOException e) {
            // the parent is gone: the same as the end of its lines
        }
        lines.add(QUIT);
        wakeUp.run();
    }
}
