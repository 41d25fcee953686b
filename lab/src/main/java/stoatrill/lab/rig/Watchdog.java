package stoatrill.lab.rig;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Ends the rig's routers if the rig's own JVM is killed, when no shutdown hook runs: a small shell process that
 * reads, on a pipe from the rig, the ids of the routers as they start ({@code +PID}) and end ({@code -PID}). When
 * the pipe ends without the word {@code end} (the rig died), it sends SIGKILL to those that have not ended. After
 * {@code end} it exits and kills nothing, so that it never signals an id that the system gave out again.
 * Methods are synchronized: routers start and end on several threads.
 */
public final class Watchdog implements AutoCloseable {
    private static final String SCRIPT = """
      live=" "
      while read -r word; do
        case "$word" in
          end) exit 0 ;;
          +*) live="$live${word#+} " ;;
          -*) live=$(printf '%s' "$live" | sed "s/ ${word#-} / /") ;;
        esac
      done
      for pid in $live; do kill -9 "$pid" 2>/dev/null; done
      exit 0
      """;

    private final Process process;
    private final OutputStream pipe;

    /** Starts the shell process. */
    public Watchdog() throws IOException {
        process = new ProcessBuilder(List.of("sh", "-c", SCRIPT))
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
        pipe = process.getOutputStream();
    }

    /** Tells of a process that has started. */
    public synchronized void started(long pid) throws IOException {
        say("+" + pid);
    }

    /** Tells of a process that has ended, whose id may be given out again. */
    public synchronized void ended(long pid) {
        try {
            say("-" + pid);
        } catch (IOException e) {
            // the watchdog is gone: nothing is left for it to end
        }
    }

    private void say(String word) throws IOException {
        pipe.write((word + "\n").getBytes(StandardCharsets.US_ASCII));
        pipe.flush();
    }

    /** Tells it that all routers were ended in order, and waits for it to exit. */
    @Override
    public synchronized void close() {
        try {
            say("end");
            pipe.close();
            process.waitFor();
        } catch (IOException e) {
            process.destroy();
        } catch (InterruptedException e) {
            process.destroy();
            Thread.currentThread().interrupt();
        }
    }
}
