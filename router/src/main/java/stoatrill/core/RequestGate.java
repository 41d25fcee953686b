package stoatrill.core;

import java.util.EnumMap;
import java.util.Map;
import stoatrill.Gateway;
import stoatrill.Gateway.Check;
import stoatrill.Gateway.Effect;
import stoatrill.Gateway.Need;
import stoatrill.Gateway.RequestClass;
import stoatrill.Gateway.Role;
import stoatrill.Gateway.Settings;

/**
 * The one place that says whether something may be begun, sent, repeated, answered or closed now. It is asked at the
 * moment at which it is done, with that moment's time of the monotonic clock, and decides by the state of the request,
 * of its client, of the deadline and of the server; it holds no socket and reads no clock.
 *
 * <p>What it does not allow and is not done is no fault. What has been done against it is a violation: counted by rule,
 * and thrown where assertions are on. For one thread.
 */
final class RequestGate {
    /** A read decided on longer ago than this is looked at again before it is written, in nanoseconds. */
    private static final long DECISION_KEEPS = 2_000_000L;
    /** How long after a request's end an attempt for it may still go out, by the rules, in nanoseconds. */
    private static final long LEFT_SLACK = 100_000_000L;
    /** How much longer than what is left a server may be told that its answer is waited for, in nanoseconds. */
    private static final long WAIT_SLACK = 150_000_000L;
    /** The part of that slack which an attempt may use up before it is written. */
    private static final long LATE_WRITE = WAIT_SLACK * 2 / 3;

    /** How long a process may be held up between reading its clock and writing, by the rules, in nanoseconds. */
    private static final long MOST_HELD_UP = 150_000_000L;

    private static final long MILLI = 1_000_000L;

    /** What the gate says, and by which rule. */
    enum Ruling {
        ALLOWED,
        /** The request has its final answer, or its client has left. */
        REQUEST_OVER,
        DEADLINE_PASSED,
        ATTEMPTS_SPENT,
        /** What is known of the server no longer satisfies the read. */
        DATA_TOO_OLD,
        /** The server drains or is gone, and the grace is nearly over. */
        SERVER_LEAVING,
        /** A repeat would no longer be recognised as one. */
        REPEAT_WINDOW_OVER,
        /** The server would be told a longer wait than is left. */
        WAIT_TOLD_TOO_LONG,
        /** The request has its final answer already. */
        ANSWERED_TWICE,
        /** A refusal says that a repeat is harmless, and the request may have run. */
        REFUSED_THOUGH_IT_MAY_HAVE_RUN,
        /** The client still waits for an answer. */
        ANSWER_OWED;

        boolean allowed() {
            return this == ALLOWED;
        }
    }

    private final Settings settings;
    private final Map<Ruling, Long> violations = new EnumMap<>(Ruling.class);

    RequestGate(Settings settings) {
        this.settings = settings;
    }

    // ---- Attempts ----

    /** Whether an attempt may be begun: given a server, and a connection looked for. */
    Ruling begin(Attempt attempt, long now) {
        Request request = attempt.request;
        if (request.over) {
            return Ruling.REQUEST_OVER;
        }
        if (attempt.number >= settings.limits().attempts()) {
            return Ruling.ATTEMPTS_SPENT;
        }
        return now >= request.deadline ? Ruling.DEADLINE_PASSED : Ruling.ALLOWED;
    }

    /** Whether an attempt that has a connection may be written to it. */
    Ruling send(Attempt attempt, long now) {
        Request request = attempt.request;
        if (request.over) {
            return Ruling.REQUEST_OVER;
        }
        if (now >= request.deadline) {
            return Ruling.DEADLINE_PASSED;
        }
        if (isStale(attempt, now)) {
            return Ruling.DATA_TOO_OLD;
        }
        if (isLeaving(attempt, now)) {
            return Ruling.SERVER_LEAVING;
        }
        return repeatWindowOver(attempt, now) ? Ruling.REPEAT_WINDOW_OVER : Ruling.ALLOWED;
    }

    /**
     * Whether an attempt may still go out that was worded for its server earlier, as {@link #send} allowed.
     *
     * @param goesOut whether a part of it is out and the server is taking the rest
     */
    Ruling sendLate(Attempt attempt, long now, boolean goesOut) {
        if (attempt.request == null) {
            return Ruling.ALLOWED; // a probe
        }
        Ruling ruling = send(attempt, now);
        if (!ruling.allowed() || goesOut) {
            return ruling;
        }
        attempt.permittedAt = now;
        return toldBeyond(attempt, now) > LATE_WRITE ? Ruling.WAIT_TOLD_TOO_LONG : ruling;
    }

    /**
     * The last byte of an attempt is out: counts what that breaks, whoever allowed it. A process that was held up for
     * longer than the rules ask it to bear, between the gate's word on its first byte and now, could do nothing about
     * the wait it told.
     */
    void sent(Attempt attempt, long now) {
        Request request = attempt.request;
        if (request == null) {
            return;
        }
        if (request.over && now - request.overAt > LEFT_SLACK) {
            violated(Ruling.REQUEST_OVER);
        }
        boolean heldUp = now - attempt.permittedAt > MOST_HELD_UP;
        if (!heldUp && toldBeyond(attempt, now) > WAIT_SLACK) {
            violated(Ruling.WAIT_TOLD_TOO_LONG);
        }
    }

    /** How much longer the server was told to wait than is left, in nanoseconds. */
    private static long toldBeyond(Attempt attempt, long now) {
        return attempt.toldMillis * MILLI - (attempt.request.deadline - now);
    }

    /**
     * Whether what is known of the server no longer satisfies a bounded read that waited for its connection.
     * Guards the rule on the age of data, whose bound is counted from the last byte of the send.
     */
    private boolean isStale(Attempt attempt, long now) {
        RequestClass kind = attempt.request.kind;
        return kind.need() == Need.BOUNDED
                && now - attempt.sentAt > DECISION_KEEPS
                && settings.replication().check() == Check.NONE
                && attempt.server.role != Role.PRIMARY
                && attempt.server.position < now - kind.bound();
    }

    /**
     * Whether the server of an attempt that waited for its connection has come to be leaving meanwhile, for half of
     * the grace or, where that may have been told before it was heard here, at all. Guards the rule on drains, which
     * counts a send by its first byte.
     */
    private boolean isLeaving(Attempt attempt, long now) {
        return now - attempt.sentAt > DECISION_KEEPS
                && attempt.server.leavingSince != ServerPool.Server.STAYS
                && now - attempt.server.leavingSince >= settings.rules().drainGrace() / 2;
    }

    /**
     * Whether a further attempt that waited for its connection comes after the class's window for repeats, counted
     * from when the first that may have run was sent. Guards keyed requests against a repeat that is no longer
     * recognised as one, where connections come up late or windows are short.
     */
    private boolean repeatWindowOver(Attempt attempt, long now) {
        if (attempt.number == 0 || attempt.request.kind.effect() != Gateway.Effect.KEYED) {
            return false;
        }
        long window = attempt.request.kind.repeatWindow() - settings.rules().answerSlack();
        return attempt.request.attempts.stream()
                .anyMatch(other -> other != attempt && other.mayHaveRunByNow() && now >= other.sentAt + window);
    }

    // ---- Answers and ends ----

    /** Whether a request may be given this answer; null where nobody is there to take one. */
    Ruling answer(Request request, Answer answer) {
        if (request.over) {
            return Ruling.ANSWERED_TWICE;
        }
        boolean mayHaveRun = request.kind.effect() == Effect.UNSAFE
                && request.attempts.stream().anyMatch(Attempt::mayHaveRunByNow);
        return answer instanceof Answer.Refused && mayHaveRun ? Ruling.REFUSED_THOUGH_IT_MAY_HAVE_RUN : Ruling.ALLOWED;
    }

    /** Whether the router may end a client's connection by itself, with so many of its requests unanswered. */
    Ruling close(int unanswered) {
        return unanswered > 0 ? Ruling.ANSWER_OWED : Ruling.ALLOWED;
    }

    /** Something was done, or was about to be, that the gate does not allow. */
    void violated(Ruling rule) {
        violations.merge(rule, 1L, Long::sum);
        assert false : rule;
    }

    /** How often each rule was violated; empty is the good case. */
    Map<Ruling, Long> violations() {
        return new EnumMap<>(violations);
    }
}
