package stoatrill.standins.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * One record node: cores, a waiting room, a cold start that can be pushed over, and what it tells of itself.
 * Not to be shared between threads.
 */
public final class Node {
    /** What its process does. A hung one keeps its connections and answers nothing. */
    public enum State {
        UP,
        DRAINING,
        HUNG,
        DOWN,
        FALLEN
    }

    /** How a request ends here. */
    public enum Outcome {
        OK,
        MISS,
        ERROR,
        FULL
    }

    /** What a node tells with an answer: its position in the log, whether it is the primary, its last report. */
    public record Note(long position, boolean primary, Report report) {}

    /** A report on itself, as it was at a time. */
    public record Report(long position, boolean primary, int waiting, int held) {}

    /** Takes the one reply to a request; none comes from a node that hangs or goes down first. */
    public interface Reply {
        void reply(Outcome outcome, Note note);
    }

    /** Learns that a cold node was pushed over. */
    public interface Watcher {
        void fellOver(Node node);
    }

    private record Job(double work, long expires, boolean write, Reply reply, long life) {}

    private static final int PARTS = 20;

    public final int id;
    public final NodeSpec spec;
    private final Scheduler time;
    private final UniformRandomProvider random;
    private final Watcher watcher;
    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    private final double[] pressure = new double[PARTS];
    private long pressureAt;
    private double mostPressed;
    private int mostConnections;
    private ReplicaGroup group;
    /** Where it stands in its group's log; the group's own. */
    ReplicaGroup.Follower follower;

    private State state = State.UP;
    private int working;
    private long startedAt = Long.MIN_VALUE / 4;
    private long life;
    private double slow = 1;
    private double failing;
    private int connections;
    private double side;
    private long sideAt;
    private Report shown;
    private Report next;
    private long nextAt;
    private long served;
    private long turnedAway;
    private double workDone;

    public Node(int id, NodeSpec spec, Scheduler time, long seed, Watcher watcher) {
        this.id = id;
        this.spec = spec;
        this.time = time;
        this.random = Seeds.source(seed, "node" + id);
        this.watcher = watcher;
    }

    void joins(ReplicaGroup group) {
        this.group = group;
        shown = report();
        next = shown;
        nextAt = time.now() + (long) (random.nextDouble() * spec.reportPeriod());
    }

    // ---- Requests ----

    /** A request has arrived; {@code work} in nanoseconds of one core, and {@code expires} when none waits. */
    public void submit(boolean write, double work, long expires, Reply reply) {
        long now = time.now();
        if (state == State.DOWN || state == State.FALLEN) {
            return;
        }
        press(now, work);
        Job job = new Job(work, expires, write, reply, life);
        if (state == State.HUNG) {
            waiting.add(job);
        } else if (state == State.DRAINING) {
            turnedAway++;
            answer(job, Outcome.FULL);
        } else if ((failing > 0 && random.nextDouble() < failing) || random.nextDouble() < spec.errorRate()) {
            answer(job, Outcome.ERROR);
        } else if (write && group.primary() != this) {
            answer(job, Outcome.MISS);
        } else if (working < spec.cores()) {
            begin(job);
        } else if (waiting.size() < spec.queue()) {
            waiting.add(job);
        } else {
            turnedAway++;
            answer(job, Outcome.FULL);
        }
    }

    private void begin(Job job) {
        working++;
        time.at(time.now() + (long) (job.work() / rate()), () -> finish(job));
    }

    private void finish(Job job) {
        if (job.life() != life) {
            return; // it ran in a process that is gone
        }
        working--;
        served++;
        workDone += job.work();
        if (state == State.HUNG) {
            waiting.addFirst(job);
            return;
        }
        if (!job.write()) {
            answer(job, Outcome.OK);
        } else if (group.primary() != this) {
            answer(job, Outcome.ERROR);
        } else {
            group.commit(this, () -> {
                if (job.life() == life) {
                    answer(job, state == State.HUNG || group.primary() != this ? Outcome.ERROR : Outcome.OK);
                }
            });
        }
        pull();
    }

    private void pull() {
        while (working < spec.cores() && !waiting.isEmpty() && state != State.HUNG) {
            Job job = waiting.poll();
            if (job.write() && group.primary() != this) {
                answer(job, Outcome.MISS);
            } else if (job.expires() >= time.now()) {
                begin(job);
            } // else nobody waits for it: it is dropped unseen
        }
    }

    private void answer(Job job, Outcome outcome) {
        job.reply().reply(outcome, new Note(position(), group.primary() == this, told()));
    }

    /** How much of a unit of work a core does in a unit of time just now. */
    private double rate() {
        long now = time.now();
        double held = (double) (working + waiting.size()) / spec.cores();
        double efficiency = 1 / (1 + spec.thrash() * Math.max(0, held - spec.thrashAt()));
        double others = side * Math.exp((sideAt - now) / 1e9) + (group.applying(this) ? 1 : 0);
        double rest = Math.max(0.1, 1 - others / spec.cores());
        return spec.speed() * warm(now) * efficiency * rest / slow;
    }

    /** The part of its capacity that it has warmed up to. */
    public double warm(long now) {
        double part = Math.min(1, (double) (now - startedAt) / spec.warmAfter());
        return spec.coldFrom() + (1 - spec.coldFrom()) * part;
    }

    /**
     * Counts what arrives, also what is turned away: a cold node that is sent too much over the span falls over
     * and stays down.
     */
    private void press(long now, double work) {
        if (now - startedAt >= spec.warmAfter()) {
            return;
        }
        long part = spec.tipAfter() / PARTS;
        long at = now / part;
        for (long i = Math.max(pressureAt + 1, at - PARTS + 1); i <= at; i++) {
            pressure[(int) (i % PARTS)] = 0;
        }
        pressureAt = at;
        pressure[(int) (at % PARTS)] += work;
        double sum = 0;
        for (double p : pressure) {
            sum += p;
        }
        double bears = spec.tipMultiple() * spec.cores() * spec.speed() * warm(now) * spec.tipAfter();
        mostPressed = Math.max(mostPressed, sum / bears);
        if (sum > bears) {
            stop(State.FALLEN);
            watcher.fellOver(this);
        }
    }

    /** Work beside the queue, by connections and probes: it takes from all cores for a while. */
    private void beside(long work) {
        long now = time.now();
        side = side * Math.exp((sideAt - now) / 1e9) + work / 1e9;
        sideAt = now;
    }

    // ---- Connections and probes ----

    /** Whether it accepts one more connection; one that it accepts costs it work. */
    public boolean connect() {
        if (!reachable() || connections >= spec.connections()) {
            return false;
        }
        connections++;
        mostConnections = Math.max(mostConnections, connections);
        beside(spec.handshakeWork());
        return true;
    }

    public void disconnected() {
        connections = Math.max(0, connections - 1);
    }

    /** Whether connections to it come up. */
    public boolean reachable() {
        return state == State.UP || state == State.DRAINING;
    }

    /** Asks for its report, which costs it work; never answered by one that hangs. */
    public void probe(Reply reply) {
        if (reachable()) {
            beside(spec.probeWork());
            reply.reply(Outcome.OK, new Note(position(), group.primary() == this, told()));
        }
    }

    private Report report() {
        return new Report(position(), group.primary() == this, waiting.size(), working + waiting.size());
    }

    private Report told() {
        long now = time.now();
        if (now >= nextAt + spec.reportDelay()) {
            shown = next;
            if (now >= nextAt + spec.reportPeriod()) {
                next = report();
                nextAt = now;
            }
        }
        return shown;
    }

    // ---- What befalls it ----

    /** Its process ends, or hangs: whatever it held is gone without a reply. */
    public void stop(State to) {
        if (state == State.FALLEN) {
            return;
        }
        if (to == State.HUNG) {
            state = to;
            group.lost(this);
            return;
        }
        life++;
        working = 0;
        waiting.clear();
        connections = 0;
        state = to;
        group.lost(this);
    }

    /** It completes what it holds and takes nothing new. */
    public void drain() {
        if (state == State.UP) {
            state = State.DRAINING;
            group.handOver(this);
        }
    }

    /** Its process starts, cold, from the log position where it stood. */
    public void start() {
        if (state == State.DOWN || state == State.DRAINING) {
            life++;
            working = 0;
            waiting.clear();
            state = State.UP;
            startedAt = time.now();
            group.returned(this);
        }
    }

    /** One that hung goes on as if nothing had been. */
    public void wake() {
        if (state == State.HUNG) {
            state = State.UP;
            group.returned(this);
            List<Job> late = new ArrayList<>(waiting);
            waiting.clear();
            late.stream().filter(j -> j.expires() >= time.now()).forEach(waiting::add);
            pull();
        }
    }

    /** A new machine: up from now on, and cold. */
    public void justStarted() {
        startedAt = time.now();
    }

    /** Everything takes so many times as long. */
    public void slow(double times) {
        slow = times;
    }

    /** The share of requests that it fails at once. */
    public void failing(double share) {
        failing = share;
    }

    // ---- What is true of it ----

    public State state() {
        return state;
    }

    /** Its true position in the log. */
    public long position() {
        return group.position(this);
    }

    public boolean primary() {
        return group.primary() == this;
    }

    public ReplicaGroup group() {
        return group;
    }

    /** When its process started last. */
    public long startedAt() {
        return startedAt;
    }

    /** Requests at work and waiting. */
    public int held() {
        return working + waiting.size();
    }

    public int connections() {
        return connections;
    }

    /** The most connections that it held at once. */
    public int mostConnections() {
        return mostConnections;
    }

    /** The most that it was sent while cold, as a part of what tips it over; above 1 it fell over. */
    public double mostPressed() {
        return mostPressed;
    }

    public long served() {
        return served;
    }

    public long turnedAway() {
        return turnedAway;
    }

    /** Work done so far, in nanoseconds of a core at speed 1. */
    public double workDone() {
        return workDone;
    }

    /** How long a request of that work would take if it came now: the truth, for who may see it. */
    public double expected(double work) {
        double ahead = Math.max(0, working + waiting.size() + 1 - spec.cores()) * work / spec.cores();
        return (work + ahead) / rate();
    }
}
