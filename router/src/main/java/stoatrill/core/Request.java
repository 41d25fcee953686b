package stoatrill.core;

import java.util.ArrayList;
import java.util.List;
import stoatrill.Gateway;
import stoatrill.Gateway.RequestClass;
import stoatrill.contract.Accounts;
import stoatrill.core.DeadlineQueue.Deadline;

/** An accepted request, from the arrival of its last byte until its final answer and the end of its last attempt. */
final class Request {
    final long id;
    final long client;
    final long slot;
    final ClientRequest clientRequest;
    final RequestClass requestClass;
    final long deadline;
    final List<Attempt> attempts = new ArrayList<>(2);
    /** The number of attempts that have not ended. */
    int openAttemptCount;

    /** Whether it has its final answer, or its client has left. */
    boolean isOver;
    /** When it ended. */
    long overAt;

    Deadline backstopDeadline;
    /** Timers that the module has started under the number of this request. */
    final List<Deadline> moduleTimers = new ArrayList<>(2);

    /** The index of its team; negative if no contracts apply. */
    int teamIndex = -1;

    /** Whether its group was short of capacity when it was charged. */
    boolean isGroupShort;

    long chargedAt;
    /** The accounts that charged it; a reload of the contracts replaces the current accounts, but not these. */
    Accounts accounts;

    /** Whether it must not run twice. */
    boolean mustRunOnce() {
        return mustRunOnce(requestClass);
    }

    /** Whether the requests of a class must not run twice. */
    static boolean mustRunOnce(RequestClass requestClass) {
        return requestClass.idempotency() != Gateway.Idempotency.SAFE;
    }

    Request(long id, long client, long slot, ClientRequest clientRequest, RequestClass requestClass, long deadline) {
        this.id = id;
        this.client = client;
        this.slot = slot;
        this.clientRequest = clientRequest;
        this.requestClass = requestClass;
        this.deadline = deadline;
    }
}
