package stoatrill.lab.scale.footprint;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The processor time that a process has used since its start, as {@code /proc/PID/stat} has it.
 *
 * @param userTicks in user mode, in clock ticks of 10 ms
 * @param systemTicks in the kernel, in clock ticks of 10 ms
 */
public record ProcessorTime(long userTicks, long systemTicks) {
    /** The kernel shows times in USER_HZ, which is 100 on all of Linux's common architectures. */
    private static final long MILLIS_A_TICK = 10;

    /** Places of utime and stime among the fields behind the command's closing parenthesis, from 0. */
    private static final int USER_FIELD = 11;

    private static final int SYSTEM_FIELD = 12;

    /**
     * Reads a process's processor time.
     *
     * @throws IOException if the process has ended
     */
    public static ProcessorTime of(long pid) throws IOException {
        return parse(Files.readString(Path.of("/proc", Long.toString(pid), "stat")));
    }

    /**
     * Parses the line of {@code /proc/PID/stat}; the command in it may hold blanks and parentheses.
     *
     * @throws IllegalArgumentException if the line is cut short
     */
    public static ProcessorTime parse(String stat) {
        int command = stat.lastIndexOf(')');
        List<String> fields = List.of(stat.substring(command + 1).trim().split("\\s+", -1));
        if (command < 0 || fields.size() <= SYSTEM_FIELD) {
            throw new IllegalArgumentException("not a line of /proc/PID/stat: " + stat);
        }
        return new ProcessorTime(Long.parseLong(fields.get(USER_FIELD)), Long.parseLong(fields.get(SYSTEM_FIELD)));
    }

    /** User and kernel time together, in milliseconds. */
    public long millis() {
        return (userTicks + systemTicks) * MILLIS_A_TICK;
    }
}
