package stoatrill.core;

import java.util.EnumMap;
import java.util.Map;
import stoatrill.Gateway;
import stoatrill.Gateway.Consistency;
import stoatrill.Gateway.Idempotency;
import stoatrill.Gateway.RequestClass;
import stoatrill.Gateway.Role;
import stoatrill.Gateway.Settings;
import stoatrill.Gateway.StalenessCheck;

/**
 * Decides whether an action on a request is permitted: to begin, send, repeat or answer it, or to close its client's
 * connection. No other class makes these decisions. The caller asks at the moment of the action and passes that
 * moment's time of the monotonic clock. The decision depends on the state of the request, its client, its deadline and
 * the server. The gate holds no socket and reads no clock.
 *
 * <p>A denial alone is not an error. It is a violation if the action is taken anyway, or if the denial shows a fault of
 * the router. A violation is counted by rule, and also throws an error if assertions are enabled. Not thread-safe.
 */
final class RequestGate {
    /** If the module asked for an attempt longer ago than this, its server's state is checked again before writing. */
    private static final long DECISION_VALIDITY_NANOS = 2_000_000L;
    /** The rules' limit on how long after a request's end an attempt for it may still be sent. */
    private static final long SEND_AFTER_END_LIMIT_NANOS = 100_000_000L;
    /** The rules' limit on how much the wait announced to a server may exceed the time until the deadline. */
    private static final long EXCESS_WAIT_LIMIT_NANOS = 150_000_000L;
    /** The share of that limit which an attempt may use up before its write begins. */
    private static final long EXCESS_WAIT_AT_WRITE_LIMIT_NANOS = EXCESS_WAIT_LIMIT_NANOS * 2 / 3;

    /** The longest pause of the process between reading its clock and writing that the rules require it to tolerate. */
    private static final long PROCESS_PAUSE_LIMIT_NANOS = 150_000_000L;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** A decision of the gate, and the rule behind it. */
    enum Ruling {
        ALLOWED,
        /** The request has its final answer, or its client has left. */
        REQUEST_OVER,
        DEADLINE_PASSED,
        ATTEMPTS_SPENT,
        /** By what is known of the server, its data is too old for the read. */
        DATA_TOO_OLD,
        /** The server is draining or gone, and at least half of its grace is over. */
        SERVER_LEAVING,
        /** Servers may no longer recognise a repeat as one. */
        REPEAT_WINDOW_OVER,
        /** The wait announced to the server exceeds the time until the deadline by more than is allowed. */
        WAIT_TOLD_TOO_LONG,
        /** The request already has its final answer. */
        ANSWERED_TWICE,
        /** A refusal promises that a repeat is harmless, but the request may have run. */
        REFUSED_THOUGH_IT_MAY_HAVE_RUN,
        /** The client still waits for an answer. */
        ANSWER_OWED;

        boolean isAllowed() {
            return this == ALLOWED;
        }
    }

    private final Settings settings;
    private final Map<Ruling, Long> violations = new EnumMap<>(Ruling.class);

    RequestGate(Settings settings) {
        this.settings = settings;
    }

    // Attempts

    /** Whether an attempt may begin, which means that a connection to its server is sought. */
    Ruling checkBegin(Attempt attempt, long now) {
        Request request = attempt.request;
        if (request.isOver) {
            return Ruling.REQUEST_OVER;
        }
        if (attempt.number >= settings.limits().maxAttempts()) {
            return Ruling.ATTEMPTS_SPENT;
        }
        return now >= request.deadline ? Ruling.DEADLINE_PASSED : Ruling.ALLOWED;
    }

    /** Whether an attempt that has a connection may be written to it. */
    Ruling checkSend(Attempt attempt, long now) {
        Request request = attempt.request;
        if (request.isOver) {
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
        return isRepeatWindowOver(attempt, now) ? Ruling.REPEAT_WINDOW_OVER : Ruling.ALLOWED;
    }

    /**
     * Whether an attempt may still be written. {@link #checkSend} allowed it earlier, and the wait to announce to its
     * server was set then. This method checks that wait only before the first byte.
     *
     * @param isPartlyWritten whether a part of it is written and the server is reading the rest
     */
    Ruling checkLateSend(Attempt attempt, long now, boolean isPartlyWritten) {
        if (attempt.request == null) {
            return Ruling.ALLOWED; // a probe
        }
        Ruling ruling = checkSend(attempt, now);
        if (!ruling.isAllowed() || isPartlyWritten) {
            return ruling;
        }
        attempt.permittedAt = now;
        return excessWaitNanos(attempt, now) > EXCESS_WAIT_AT_WRITE_LIMIT_NANOS ? Ruling.WAIT_TOLD_TOO_LONG : ruling;
    }

    /**
     * Records that the last byte of an attempt is written. Counts a violation if the request ended too long ago or the
     * announced wait is too long, even if the gate allowed the write. A longer time since the
     * gate's permission for the first byte than {@link #PROCESS_PAUSE_LIMIT_NANOS} is taken for a pause of the process.
     * The announced wait is then no violation, because the process could not have prevented it.
     */
    void recordSent(Attempt attempt, long now) {
        Request request = attempt.request;
        if (request == null) {
            return;
        }
        if (request.isOver && now - request.overAt > SEND_AFTER_END_LIMIT_NANOS) {
            recordViolation(Ruling.REQUEST_OVER);
        }
        boolean wasPaused = now - attempt.permittedAt > PROCESS_PAUSE_LIMIT_NANOS;
        if (!wasPaused && excessWaitNanos(attempt, now) > EXCESS_WAIT_LIMIT_NANOS) {
            recordViolation(Ruling.WAIT_TOLD_TOO_LONG);
        }
    }

    /** How much the wait announced to the server exceeds the time until the deadline, in nanoseconds. */
    private static long excessWaitNanos(Attempt attempt, long now) {
        return attempt.announcedWaitMillis * NANOS_PER_MILLI - (attempt.request.deadline - now);
    }

    /**
     * Whether the server's known position is too old for a bounded read that waited for its connection. The rule on the
     * age of data measures the age when the last byte is sent. The check when the module chose the server is therefore
     * not enough.
     */
    private boolean isStale(Attempt attempt, long now) {
        RequestClass requestClass = attempt.request.requestClass;
        return requestClass.consistency() == Consistency.BOUNDED
                && now - attempt.createdAt > DECISION_VALIDITY_NANOS
                && settings.replication().stalenessCheck() == StalenessCheck.NONE
                && attempt.server.role != Role.PRIMARY
                && attempt.server.position < now - requestClass.maxStaleness();
    }

    /**
     * Whether the server of an attempt that waited for its connection has been leaving for at least half of the grace.
     * The grace may have started before this router received the notification. In that case {@code leavingSince} is
     * already set back by the whole grace. The rule on drains takes the time of the first byte as the time of a send.
     */
    private boolean isLeaving(Attempt attempt, long now) {
        return now - attempt.createdAt > DECISION_VALIDITY_NANOS
                && attempt.server.leavingSince != Server.NOT_LEAVING
                && now - attempt.server.leavingSince >= settings.rules().drainGrace() / 2;
    }

    /**
     * Whether a further attempt of a keyed request comes too late for the class's repeat window. The window is counted
     * from when the module asked for the earliest other attempt that may have run. It is shortened by the answer slack.
     * After the window, servers no longer recognise a repeat as one and would run it again. An attempt can be too late
     * if its connection is established late or the window is short.
     */
    private boolean isRepeatWindowOver(Attempt attempt, long now) {
        if (attempt.number == 0 || attempt.request.requestClass.idempotency() != Gateway.Idempotency.KEYED) {
            return false;
        }
        long window =
                attempt.request.requestClass.repeatWindow() - settings.rules().answerSlack();
        return attempt.request.attempts.stream()
                .anyMatch(other -> other != attempt && other.mayHaveRunByNow() && now >= other.createdAt + window);
    }

    // Answers and client connections

    /** Whether a request may be given this answer. The answer is null if the client has left. */
    Ruling checkAnswer(Request request, Answer answer) {
        if (request.isOver) {
            return Ruling.ANSWERED_TWICE;
        }
        boolean mayHaveRun = request.requestClass.idempotency() == Idempotency.UNSAFE
                && request.attempts.stream().anyMatch(Attempt::mayHaveRunByNow);
        return answer instanceof Answer.Refused && mayHaveRun ? Ruling.REFUSED_THOUGH_IT_MAY_HAVE_RUN : Ruling.ALLOWED;
    }

    /** Whether the router may close a client's connection that has this many unanswered requests. */
    Ruling checkClose(int unansweredCount) {
        return unansweredCount > 0 ? Ruling.ANSWER_OWED : Ruling.ALLOWED;
    }

    /** Records that an action was taken, or was about to be taken, that the gate does not allow. */
    void recordViolation(Ruling ruling) {
        violations.merge(ruling, 1L, Long::sum);
        assert false : ruling;
    }

    /** How often each rule was violated; empty if none was. */
    Map<Ruling, Long> violations() {
        return new EnumMap<>(violations);
    }
}
