package stoatrill.lab.scale.footprint;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What is alive in a JVM's heap after a full collection, from the class histogram that it prints to its log at SIGQUIT
 * when it runs with {@link #JVM_OPTION}. Needs no attach socket.
 *
 * @param bytes of all live objects
 * @param largest the classes with the most bytes, the first the largest
 */
public record LiveHeap(long bytes, List<ClassShare> largest) {
    /** The JVM option that makes SIGQUIT collect and print the histogram. */
    public static final String JVM_OPTION = "-XX:+PrintClassHistogram";

    private static final int LARGEST = 12;
    private static final Pattern CLASS_LINE =
            Pattern.compile("^\\s+\\d+:\\s+(\\d+)\\s+(\\d+)\\s+(\\S+)", Pattern.MULTILINE);
    private static final Pattern TOTAL_LINE = Pattern.compile("^Total\\s+\\d+\\s+(\\d+)\\s*$", Pattern.MULTILINE);

    /**
     * One class's part of the heap.
     *
     * @param name as the JVM prints it, {@code [B} for byte arrays
     * @param instances how many are alive
     * @param bytes of all of them together
     */
    public record ClassShare(String name, long instances, long bytes) {}

    /** Parses the last whole histogram in the text of a log; empty if there is none. */
    public static Optional<LiveHeap> parseLast(String log) {
        Matcher total = TOTAL_LINE.matcher(log);
        long bytes = -1;
        int from = 0;
        int begin = 0;
        int end = 0;
        while (total.find()) {
            bytes = Long.parseLong(total.group(1));
            begin = from;
            end = total.start();
            from = total.end();
        }
        return bytes < 0 ? Optional.empty() : Optional.of(new LiveHeap(bytes, classes(log.substring(begin, end))));
    }

    private static List<ClassShare> classes(String histogram) {
        List<ClassShare> largest = new ArrayList<>();
        Matcher line = CLASS_LINE.matcher(histogram);
        while (largest.size() < LARGEST && line.find()) {
            largest.add(new ClassShare(line.group(3), Long.parseLong(line.group(1)), Long.parseLong(line.group(2))));
        }
        return List.copyOf(largest);
    }
}
