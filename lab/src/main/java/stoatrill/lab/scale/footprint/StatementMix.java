package stoatrill.lab.scale.footprint;

import java.util.Locale;

/**
 * Statements of the three classes in a fixed order, spread evenly over the groups: of each twenty one upload, ten
 * bounded reads and nine others. For one thread.
 */
final class StatementMix {
    private static final int ROUND = 20;
    private static final int BOUNDED_READS = 10;
    private static final int GROUP_STEP = 7919; // prime: a class does not always meet the same groups

    private final int groups;
    private long count;

    StatementMix(int groups) {
        this.groups = groups;
    }

    /** The next statement. */
    String next() {
        long place = count % ROUND;
        if (place == 0) {
            return upload(3_000);
        }
        return read(place <= BOUNDED_READS ? "recent-read" : "archive-read");
    }

    /** An upload whose client waits so long, in milliseconds. */
    String upload(int waitMillis) {
        return String.format(
                Locale.ROOT,
                "INSERT INTO records (k, v) VALUES ('station-%d', '21.5') RETURNING v /* %s */",
                count,
                comment("reading-upload", waitMillis));
    }

    private String read(String kind) {
        return String.format(
                Locale.ROOT, "SELECT v FROM records WHERE k = 'station-%d' /* %s */", count, comment(kind, 600));
    }

    private String comment(String kind, int waitMillis) {
        long group = count * GROUP_STEP % groups;
        String id = "q" + count++;
        return String.format(Locale.ROOT, "id=%s,c=%s,d=%d,cluster=%d", id, kind, waitMillis, group);
    }
}
