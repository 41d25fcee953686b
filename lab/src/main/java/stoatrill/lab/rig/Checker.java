package stoatrill.lab.rig;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import stoatrill.lab.rig.HistoryEvent.Fault;
import stoatrill.lab.rig.HistoryEvent.LoggedError;
import stoatrill.lab.rig.HistoryEvent.ReadAge;
import stoatrill.lab.rig.HistoryEvent.Request;
import stoatrill.lab.rig.HistoryEvent.RouterEnded;
import stoatrill.lab.rig.HistoryEvent.UploadRuns;

/**
 * Judges a {@link History}: a pure function of its lines, so that the same history gives the same verdict.
 *
 * <ul>
 *   <li><b>no final answer</b>: a request that ended with outcome {@code none} at a router that was not killed
 *       while it was under way (it dies somewhere between the signal and the end of its process), unless the client
 *       gave up on a router that had stood paused for so long that its time to answer was not over;
 *   <li><b>foreign</b>: a request that was served with a value that is not its own: another upload's, another key's;
 *   <li><b>ran twice</b>: an upload that ran more than once at the stand-ins;
 *   <li><b>stale</b>: a bounded read answered from data older than {@value #STALE_MILLIS} ms when it came to the
 *       node, at a router that was not paused while it was under way (what is paused between deciding and writing
 *       writes late, and no router can help that);
 *   <li><b>to leaving</b>: a request that a router sent to a node later than the grace of 2 s and
 *       {@value #LATE_MILLIS} ms after it counts as told that the node drains: at once on an open watch; for a watch
 *       that had fallen silent 6 s after that, or 2 s after its wait, whichever is later; where discovery had
 *       been away until then or shortly before, 6 s after it had the change and could be reached;
 *   <li><b>closed under a request</b>: a router that was neither killed nor told to end closed a connection with a
 *       request on it, and the client sent it once more: its clients leave no connection at rest for long;
 *   <li><b>ended by itself</b>: a router's process that ended though nothing had ended it;
 *   <li><b>logged</b>: a line of a router's log that tells of an error or an exception nobody caught.
 * </ul>
 *
 * It counts besides the requests that a close crossed and that the client sent once more.
 */
public final class Checker {
    /** The bound of 300 ms that clients' reads have, and 500 ms for a relay and a node that a busy machine holds up. */
    static final long STALE_MILLIS = 800;

    /** What a busy machine may hold up discovery's answer, the router's write and the relay. */
    static final long LATE_MILLIS = 750;

    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    /** How long after a request's deadline its answer may come. */
    private static final long ANSWER_SLACK_NANOS = NANOS_PER_SECOND / 2;

    /** How long a router that was told to end goes on serving. */
    private static final long ENDING_NANOS = 5 * NANOS_PER_SECOND;

    private Checker() {}

    /** The verdict: counts, and the ids of the requests that break each rule. */
    public record Verdict(
            long requests,
            long ok,
            long refused,
            long errors,
            long excused,
            long repeated,
            List<String> noFinalAnswer,
            List<String> foreign,
            List<String> ranTwice,
            List<String> stale,
            List<String> toLeaving,
            List<String> closedUnder,
            List<String> endedByItself,
            List<String> logged) {
        public boolean clean() {
            return noFinalAnswer.isEmpty()
                    && foreign.isEmpty()
                    && ranTwice.isEmpty()
                    && stale.isEmpty()
                    && toLeaving.isEmpty()
                    && closedUnder.isEmpty()
                    && endedByItself.isEmpty()
                    && logged.isEmpty();
        }
    }

    /** Judges the lines of a history. */
    public static Verdict check(List<String> lines) {
        Events events = Events.parse(lines);
        FaultSpans faults = FaultSpans.of(events);
        List<Request> unanswered =
                events.of(Request.class).filter(Checker::isUnanswered).toList();
        List<String> noFinalAnswer = unanswered.stream()
                .filter(request -> !isExcused(request, faults))
                .map(Request::id)
                .toList();
        return new Verdict(
                count(events, request -> true),
                count(events, Request::isServed),
                count(events, Request::isRefused),
                count(events, Request::isError),
                unanswered.size() - noFinalAnswer.size(),
                count(events, request -> request.tryCount() > 1),
                noFinalAnswer,
                events.of(Request.class)
                        .filter(Request::isForeign)
                        .map(Request::id)
                        .toList(),
                ranTwice(events),
                stale(events, faults),
                LeavingNodes.sentLate(events, LATE_MILLIS),
                closedUnder(events),
                events.of(RouterEnded.class)
                        .map(ended -> ended.router() + " status " + ended.status())
                        .toList(),
                events.of(LoggedError.class)
                        .map(logged -> logged.router() + " " + logged.line())
                        .toList());
    }

    private static long count(Events events, Predicate<Request> counts) {
        return events.of(Request.class).filter(counts).count();
    }

    private static boolean isUnanswered(Request request) {
        return !request.isServed() && !request.isForeign() && !request.isRefused() && !request.isError();
    }

    private static List<String> ranTwice(Events events) {
        return events.of(UploadRuns.class)
                .filter(runs -> runs.count() > 1)
                .map(UploadRuns::id)
                .toList();
    }

    private static List<String> stale(Events events, FaultSpans faults) {
        Map<String, Request> served = new HashMap<>();
        events.of(Request.class).filter(Request::isServed).forEach(request -> served.put(request.id(), request));
        return events.of(ReadAge.class)
                .filter(age -> age.millis() > STALE_MILLIS)
                .filter(age -> served.containsKey(age.id()))
                .filter(age -> !isPausedUnder(served.get(age.id()), faults))
                .map(ReadAge::id)
                .toList();
    }

    private static boolean isPausedUnder(Request request, FaultSpans faults) {
        return faults.pausedWithin(request.router(), request.sentAt(), request.endedAt());
    }

    /** The requests that a router closed under though nothing made it end. */
    private static List<String> closedUnder(Events events) {
        Map<String, List<Long>> ends = new HashMap<>();
        events.of(Fault.class)
                .filter(Fault::endsRouter)
                .forEach(fault -> ends.computeIfAbsent(fault.target(), router -> new ArrayList<>())
                        .add(fault.at()));
        return events.of(Request.class)
                .filter(request -> request.closedBy() != null)
                .filter(request -> !isEnding(ends.getOrDefault(request.closedBy(), List.of()), request))
                .map(request -> request.id() + " by " + request.closedBy())
                .toList();
    }

    private static boolean isEnding(List<Long> ends, Request request) {
        return ends.stream().anyMatch(at -> at >= request.sentAt() - ENDING_NANOS && at <= request.endedAt());
    }

    /** Whether the router of a request with no answer could not answer it. */
    private static boolean isExcused(Request request, FaultSpans faults) {
        return faults.killedWithin(request.router(), request.sentAt(), request.endedAt())
                || isTooLongPaused(request, faults);
    }

    /**
     * Whether the client gave up while its router had not run for as long as it has to answer. Its last try began that
     * long before.
     */
    private static boolean isTooLongPaused(Request request, FaultSpans faults) {
        long triedAt = request.endedAt() - Clients.PATIENCE_NANOS;
        if (triedAt < request.sentAt()) {
            return false;
        }
        long ranNanos = Clients.PATIENCE_NANOS - faults.pausedNanos(request.router(), triedAt, request.endedAt());
        long deadlineNanos = request.isUpload() ? Clients.UPLOAD_DEADLINE_NANOS : Clients.READ_DEADLINE_NANOS;
        return ranNanos < deadlineNanos + ANSWER_SLACK_NANOS;
    }
}
