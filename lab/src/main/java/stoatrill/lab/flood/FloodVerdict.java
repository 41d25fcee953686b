package stoatrill.lab.flood;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import stoatrill.lab.flood.Probes.Outcome;

/**
 * Compares the probes of a flooded router with those of one that nobody floods on the same machine. An answer is lost
 * if it comes more than half a second after its time, or never, with 50 ms for sockets. What the machine itself took
 * shows at the other router and is added.
 */
public final class FloodVerdict {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final long LOST_AFTER_NANOS = (Probes.WAIT_MILLIS + 500 + 50) * 1_000_000L;

    private FloodVerdict() {}

    /** The probes that were lost, one line each; empty if none was. */
    public static List<String> lost(List<Probes.Result> flooded, List<Probes.Result> quiet) {
        long limitNanos = LOST_AFTER_NANOS + slowestNanos(quiet);
        List<String> lost = new ArrayList<>();
        for (Probes.Result result : flooded) {
            if (result.outcome() == Outcome.UNANSWERED || result.tookNanos() > limitNanos) {
                lost.add(String.format(
                        Locale.ROOT, "%s after %.0f ms", result.outcome(), result.tookNanos() / NANOS_PER_MILLI));
            }
        }
        return lost;
    }

    /** How many probes were turned away: closed unread, each time they connected. */
    public static long turnedAway(List<Probes.Result> results) {
        return results.stream()
                .filter(result -> result.outcome() == Outcome.TURNED_AWAY)
                .count();
    }

    /** The time that the slowest answered probe took, in nanoseconds. */
    public static long slowestNanos(List<Probes.Result> results) {
        return results.stream().mapToLong(Probes.Result::tookNanos).max().orElse(0);
    }
}
