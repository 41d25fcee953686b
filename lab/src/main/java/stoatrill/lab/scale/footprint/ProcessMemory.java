package stoatrill.lab.scale.footprint;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A process's memory as {@code /proc/PID/status} has it. What the kernel keeps for it (socket buffers) is not in it.
 *
 * @param residentKib resident memory (VmRSS) in KiB
 * @param anonymousKib the anonymous part of it (RssAnon) in KiB: heap, metaspace, stacks and the like, no mapped files
 */
public record ProcessMemory(long residentKib, long anonymousKib) {

    /**
     * Reads a process's memory.
     *
     * @throws IOException if the process has ended
     */
    public static ProcessMemory of(long pid) throws IOException {
        return parse(Files.readString(Path.of("/proc", Long.toString(pid), "status")));
    }

    /**
     * Parses the text of {@code /proc/PID/status}.
     *
     * @throws IllegalArgumentException if VmRSS or RssAnon is missing, as of a process that has ended
     */
    public static ProcessMemory parse(String status) {
        return new ProcessMemory(field(status, "VmRSS"), field(status, "RssAnon"));
    }

    private static long field(String status, String name) {
        Matcher line = Pattern.compile("^" + name + ":\\s+(\\d+) kB$", Pattern.MULTILINE)
                .matcher(status);
        if (!line.find()) {
            throw new IllegalArgumentException("no " + name + " in the process's status");
        }
        return Long.parseLong(line.group(1));
    }
}
