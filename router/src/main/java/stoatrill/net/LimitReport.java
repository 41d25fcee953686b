package stoatrill.net;

import java.util.Set;
import stoatrill.core.EventCounts;

/**
 * Counts how often clients met a limit, and which client cost most, for one log line an interval. The subjects and
 * causes come from the router's own code, never from a client, so that neither the counts nor the log grow with what
 * clients send. Not thread-safe.
 */
final class LimitReport {
    /**
     * What is reported: closed connections, refused or repeated requests, errors, turns that were too short, servers'
     * data that belongs to no query.
     */
    private static final Set<String> SUBJECTS = Set.of(
            "closed", "refused", "repeated", "error", "turn", "not sent", "event", "accept", "open", "log", "surplus");

    /** Ends of connections that say nothing of a limit. */
    private static final Set<String> USUAL_CAUSES = Set.of("peer ended");

    /**
     * What one client cost in an interval.
     *
     * @param address the client's address and port
     * @param messageCount messages handled
     * @param chargedBytes what they were charged, in bytes of parsing
     * @param exhaustedTurnCount turns whose credit ended before the input did
     */
    record ClientCost(String address, long messageCount, long chargedBytes, long exhaustedTurnCount) {}

    private final EventCounts counts = new EventCounts();
    private boolean hasCounts;
    private ClientCost costliest;

    /** Counts an event, if its subject is one of those reported. */
    void count(String subject, String cause) {
        if (SUBJECTS.contains(subject) && !USUAL_CAUSES.contains(cause)) {
            counts.increment(subject, cause);
            hasCounts = true;
        }
    }

    /** Reports what a client has cost since the last line; the one that cost most is named. */
    void offer(ClientCost cost) {
        if (costliest == null || cost.chargedBytes() > costliest.chargedBytes()) {
            costliest = cost;
        }
    }

    /** Returns the line for the interval and begins the next one; null if no limit was met. */
    String takeLine() {
        ClientCost busiest = costliest;
        costliest = null;
        if (!hasCounts) {
            return null;
        }
        hasCounts = false;
        String summary = counts.takeSummary();
        return busiest == null
                ? summary
                : summary + "; costliest client " + busiest.address() + ": " + busiest.messageCount() + " messages, "
                        + busiest.chargedBytes() / 1024 + " KiB of work, " + busiest.exhaustedTurnCount()
                        + " turns used up";
    }
}
