package stoatrill.lab.rig;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import stoatrill.lab.rig.HistoryEvent.Fault;
import stoatrill.lab.rig.HistoryEvent.NodeLeaves;
import stoatrill.lab.rig.HistoryEvent.SentToNode;
import stoatrill.lab.rig.HistoryEvent.WatchSilent;

/**
 * Judges what routers sent to nodes that discovery shows as draining: when a router counts as told, and how long after
 * that it may still send. Times are nanoseconds of the rig.
 */
final class LeavingNodes {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long DRAIN_GRACE_NANOS = 2 * NANOS_PER_SECOND;

    /** After this time, a watch that has fallen silent counts as told. */
    private static final long SILENCE_LIMIT_NANOS = 6 * NANOS_PER_SECOND;

    /** After its wait and this time, too. */
    private static final long AFTER_WAIT_NANOS = 2 * NANOS_PER_SECOND;

    /** How long after discovery's return a router may still be without a call that was answered. */
    private static final long NEXT_CALL_NANOS = 6 * NANOS_PER_SECOND;

    private static final long NEVER_NANOS = Long.MAX_VALUE;

    private final Map<String, Long> leftAt = new HashMap<>();
    private final Map<String, WatchSilent> silences = new HashMap<>();
    private long awayAt = NEVER_NANOS;
    private long backAt = NEVER_NANOS;

    private LeavingNodes() {}

    /** What was sent too late, as {@code ROUTER NODE MILLIS-AFTER-THE-GRACE}. */
    static List<String> sentLate(Events events, long slackMillis) {
        LeavingNodes nodes = new LeavingNodes();
        events.of(NodeLeaves.class).forEach(leaves -> nodes.leftAt.putIfAbsent(leaves.node(), leaves.at()));
        events.of(WatchSilent.class).forEach(silent -> nodes.silences.put(silent.router(), silent));
        events.of(Fault.class).filter(Fault::isOnDiscovery).forEach(nodes::addDiscoveryFault);
        return events.of(SentToNode.class)
                .filter(sent -> nodes.leftAt.containsKey(sent.node()))
                .filter(sent -> nodes.millisAfterGrace(sent) > slackMillis)
                .map(sent -> sent.router() + " " + sent.node() + " " + nodes.millisAfterGrace(sent))
                .toList();
    }

    private void addDiscoveryFault(Fault fault) {
        if (fault.kind().equals("away")) {
            awayAt = fault.at();
            backAt = NEVER_NANOS;
        } else if (!fault.kind().equals("silence")) {
            backAt = fault.at();
        }
    }

    private long millisAfterGrace(SentToNode sent) {
        return (sent.at() - toldAt(sent) - DRAIN_GRACE_NANOS) / NANOS_PER_MILLI;
    }

    private long toldAt(SentToNode sent) {
        long shownAt = leftAt.get(sent.node());
        boolean isAway = awayAt <= shownAt;
        if (isAway && backAt == NEVER_NANOS) {
            return NEVER_NANOS - DRAIN_GRACE_NANOS;
        }
        if (isAway && shownAt <= backAt + NEXT_CALL_NANOS) {
            return Math.max(shownAt, backAt) + NEXT_CALL_NANOS;
        }
        WatchSilent silence = sent.router().isEmpty() ? latestSilence() : silences.get(sent.router());
        return silence == null || silence.at() > shownAt ? shownAt : toldAfter(silence);
    }

    /**
     * The last of the silences: a send whose router is not known, since its connection had ended before it could be
     * looked up, is judged by the router that may have known latest.
     */
    private WatchSilent latestSilence() {
        return silences.values().stream()
                .max(Comparator.comparingLong(LeavingNodes::toldAfter))
                .orElse(null);
    }

    private static long toldAfter(WatchSilent silence) {
        return Math.max(silence.at() + SILENCE_LIMIT_NANOS, silence.until() + AFTER_WAIT_NANOS);
    }
}
