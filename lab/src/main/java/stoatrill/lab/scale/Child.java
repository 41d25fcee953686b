package stoatrill.lab.scale;

import com.google.gson.Gson;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import stoatrill.standins.fleet.ControlLines;

/**
 * A process that takes commands as lines on its standard input and answers each with one line of JSON. It ends by
 * itself when its parent does, since its standard input ends then. Used by one thread.
 */
final class Child implements AutoCloseable {
    private static final long LONGEST_ANSWER_SECONDS = 180;
    private static final long LONGEST_END_SECONDS = 10;

    private final String name;
    private final Process process;
    private final OutputStream commands;
    private final LinkedBlockingQueue<String> answers = new LinkedBlockingQueue<>();
    private final Gson gson = new Gson();

    /** Takes over a process that was just started; its output is read by a thread of its own from now on. */
    Child(String name, Process process) {
        this.name = name;
        this.process = process;
        this.commands = process.getOutputStream();
        Thread reader = new Thread(this::read, name + "-answers");
        reader.setDaemon(true);
        reader.start();
    }

    private void read() {
        try (BufferedReader in =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            String line = in.readLine();
            while (line != null) {
                answers.add(line);
                line = in.readLine();
            }
        } catch (IOException e) {
            // the process is gone, which the empty answer says
        }
        answers.add("");
    }

    long pid() {
        return process.pid();
    }

    /** Sends a command; {@link #answer} is to follow. */
    void send(String command) throws IOException {
        commands.write((command + "\n").getBytes(StandardCharsets.UTF_8));
        commands.flush();
    }

    /**
     * Waits for the answer to the command sent first of those not answered yet.
     *
     * @throws IOException if the process has ended, or does not answer
     */
    <T> T answer(Class<T> type) throws IOException {
        try {
            String line = answers.poll(LONGEST_ANSWER_SECONDS, TimeUnit.SECONDS);
            if (line == null || line.isEmpty()) {
                throw new IOException(name + (line == null ? " does not answer" : " has ended: see its log"));
            }
            return gson.fromJson(line, type);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while waiting for " + name, e);
        }
    }

    /** Sends a command and waits for its answer. */
    <T> T ask(String command, Class<T> type) throws IOException {
        send(command);
        return answer(type);
    }

    /** Ends the process, by SIGKILL if it does not end when told. */
    @Override
    public void close() {
        try {
            send(ControlLines.QUIT);
            commands.close();
        } catch (IOException e) {
            // it has ended already
        }
        try {
            if (!process.waitFor(LONGEST_END_SECONDS, TimeUnit.SECONDS)) {
                process.destroyForcibly().waitFor();
            }
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}
