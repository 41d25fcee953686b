package stoatrill.core;

import java.util.ArrayList;
import java.util.List;
import stoatrill.Gateway;
import stoatrill.Gateway.RequestClass;
import stoatrill.contract.Accounts;
import stoatrill.core.Deadlines.Deadline;

/** A request that was taken, from its last byte until its final answer and the end of its last attempt. */
final class Request {
    final long id;
    final long client;
    final long slot;
    final ClientRequest asked;
    final RequestClass kind;
    final long deadline;
    final List<Attempt> attempts = new ArrayList<>(2);
    int out;
    boolean over;
    /** When it came to be over. */
    long overAt;

    Deadline backstop;
    /** The place of its team where contracts hold, negative where not; and how it was charged. */
    int team = -1;

    boolean groupShort;
    long charged;
    /** The accounts that it was charged to; after a reload they are no longer those that count. */
    Accounts accounts;

    /** Whether it must not run twice. */
    boolean once() {
        return kind.effect() != Gateway.Effect.SAFE;
    }

    Request(long id, long client, long slot, ClientRequest asked, RequestClass kind, long deadline) {
        this.id = id;
        this.client = client;
        this.slot = slot;
        this.asked = asked;
        this.kind = kind;
        this.deadline = deadline;
    }
}
