package stoatrill.standins.model;

import java.util.ArrayList;
import java.util.List;

/**
 * One primary and its replicas: a log that is shipped with a delay and applied by one thread a replica,
 * failover after a primary is lost, and hand-over when it drains. A position is a time up to which all commits
 * are applied; it never goes back. Positions are worked out when asked for, so that a write costs no event a
 * replica. Not to be shared between threads.
 */
public final class ReplicaGroup {

    /**
     * How the group behaves; spans in nanoseconds.
     *
     * @param ship how long the log takes to a replica
     * @param apply how long a replica's thread takes for one write
     * @param detect until a lost primary is given up
     * @param elect from then until a replica takes over
     * @param handOver how long a draining primary takes to hand over
     * @param copyAge how old the copy is that a new node starts from
     * @param sync whether a write is answered only when a replica has it too
     */
    public record Spec(long ship, long apply, long detect, long elect, long handOver, long copyAge, boolean sync) {}

    /** What the group keeps of a member; the member holds it, so that no look-up is needed. */
    static final class Follower {
        long next;
        long free;
        long position;
        long cutAt = Long.MAX_VALUE;
        double slow = 1;
        boolean down;
    }

    private static final long RETRY = 500_000_000L;
    private static final int TRIM = 4096;

    public final int id;
    private final Spec spec;
    private final Scheduler time;
    private final List<Node> members = new ArrayList<>();
    private long[] log = new long[TRIM];
    private long base;
    private int size;
    private Node primary;
    /** Up to when a primary has been there; positions stand still from then on. */
    private long ledUntil = Long.MAX_VALUE;

    private long elections;
    private long failovers;

    public ReplicaGroup(int id, Spec spec, Scheduler time) {
        this.id = id;
        this.spec = spec;
        this.time = time;
    }

    /** Adds a member; the first is the primary. One added later starts from a copy that is some time old. */
    public void add(Node node, boolean copied) {
        Follower f = new Follower();
        long now = time.now();
        f.position = copied ? now - spec.copyAge() : now;
        f.next = firstAfter(f.position);
        f.free = now;
        members.add(node);
        node.follower = f;
        if (primary == null && elections == 0) {
            primary = node;
            elections = 1;
        }
        node.joins(this);
    }

    public void remove(Node node) {
        lost(node);
        members.remove(node);
        node.follower = null;
    }

    public List<Node> members() {
        return members;
    }

    /** The present primary; null while there is none. */
    public Node primary() {
        return primary;
    }

    /** How often a primary has changed. */
    public long failovers() {
        return failovers;
    }

    private long firstAfter(long position) {
        long at = base;
        while (at < base + size && log[(int) (at - base)] <= position) {
            at++;
        }
        return at;
    }

    // ---- The log ----

    /** A write commits at the primary now; {@code durable} runs when it may be answered. */
    void commit(Node node, Runnable durable) {
        long now = time.now();
        if (size == log.length) {
            trim(now);
        }
        log[size++] = now;
        time.at(spec.sync() && members.size() > 1 ? now + spec.ship() : now, durable);
    }

    private void trim(long now) {
        long keep = base + size;
        for (Node n : members) {
            if (n != primary) {
                advance(n.follower, now);
                keep = Math.min(keep, n.follower.next);
            }
        }
        keep = Math.min(keep, firstAfter(now - 2 * spec.copyAge()));
        int drop = (int) (keep - base);
        if (drop < size / 2) {
            log = java.util.Arrays.copyOf(log, log.length * 2);
        }
        System.arraycopy(log, drop, log, 0, size - drop);
        base += drop;
        size -= drop;
    }

    /** Lets a replica apply what it has received by now. */
    private void advance(Follower f, long now) {
        if (f.down) {
            return;
        }
        long limit = Math.min(now, f.cutAt);
        f.next = Math.max(f.next, base);
        while (f.next < base + size) {
            long received = log[(int) (f.next - base)] + spec.ship();
            long done = Math.max(f.free, received) + (long) (spec.apply() * f.slow);
            if (received > limit || done > now) {
                break;
            }
            f.free = done;
            f.next++;
        }
        f.position = Math.max(
                f.position,
                f.next < base + size ? Math.min(horizon(f, now), log[(int) (f.next - base)] - 1) : horizon(f, now));
    }

    /** Up to when a replica has received all that there is. */
    private long horizon(Follower f, long now) {
        return Math.min(Math.min(now, f.cutAt), ledUntil) - spec.ship();
    }

    /** A member's true position. */
    long position(Node node) {
        long now = time.now();
        Follower f = node.follower;
        if (f == null) {
            return Long.MIN_VALUE;
        }
        if (node == primary) {
            f.position = Math.max(f.position, Math.min(now, ledUntil));
            f.next = base + size;
        } else {
            advance(f, now);
        }
        return f.position;
    }

    /** Whether a member's apply thread is at work. */
    boolean applying(Node node) {
        if (node == primary) {
            return false;
        }
        Follower f = node.follower;
        advance(f, time.now());
        return f.next < base + size && log[(int) (f.next - base)] + spec.ship() <= Math.min(time.now(), f.cutAt);
    }

    /** A replica applies so many times more slowly from now on. */
    public void slowApply(Node node, double times) {
        position(node);
        node.follower.slow = times;
    }

    /** A replica gets no log from now on, or gets it again. */
    public void cut(Node node, boolean cut) {
        position(node);
        node.follower.cutAt = cut ? time.now() : Long.MAX_VALUE;
    }

    // ---- Who leads ----

    void lost(Node node) {
        long now = time.now();
        position(node);
        if (node == primary) {
            primary = null;
            ledUntil = now;
            long election = ++elections;
            time.at(now + spec.detect() + spec.elect(), () -> elect(election));
        }
        node.follower.down = node.state() != Node.State.UP && node.state() != Node.State.DRAINING;
    }

    void handOver(Node node) {
        if (node == primary) {
            long election = ++elections;
            time.at(time.now() + spec.handOver(), () -> {
                if (election == elections && primary == node) {
                    ledUntil = time.now();
                    position(node);
                    primary = null;
                    elect(election);
                }
            });
        }
    }

    void returned(Node node) {
        Follower f = node.follower;
        f.down = false;
        f.free = time.now();
        if (primary == null && members.size() == 1) {
            long election = ++elections;
            time.at(time.now() + spec.elect(), () -> elect(election));
        }
    }

    /** The member that has most of the log takes over; what it has not received is lost. */
    private void elect(long election) {
        if (election != elections) {
            return;
        }
        long now = time.now();
        Node best = null;
        long most = Long.MIN_VALUE;
        for (Node n : members) {
            if (n.state() == Node.State.UP) {
                long has = Math.max(position(n), horizon(n.follower, now));
                if (has > most) {
                    best = n;
                    most = has;
                }
            }
        }
        if (best == null) {
            time.at(now + RETRY, () -> elect(election));
            return;
        }
        Follower f = best.follower;
        long received = Math.max(f.next, firstAfter(most));
        size = (int) (received - base);
        long backlog = (long) ((received - f.next) * spec.apply() * f.slow);
        Node winner = best;
        time.at(now + backlog, () -> {
            if (election == elections && winner.state() == Node.State.UP) {
                primary = winner;
                ledUntil = Long.MAX_VALUE;
                failovers++;
                members.forEach(n -> n.follower.next = Math.min(n.follower.next, base + size));
            } else {
                elect(election);
            }
        });
    }
}
