package stoatrill.lab.rig;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What happened in a run of the rig, as lines of tab-separated words, in the order they were recorded:
 *
 * <pre>
 * op     ID  KIND  ROUTER  SENT  ENDED  OUTCOME  TRIES  BY   a client's request: KIND read or upload; times in ns
 *                                                  of the rig; ROUTER the last it was sent to; TRIES 1, or 2 where
 *                                                  a close crossed it and it was sent once more; BY the
 *                                                  router whose close that was, "-" for none
 * fault  AT  WHAT  TARGET                          a fault the rig applied: kill, pause, resume, term, reset, …
 * ran    ID  COUNT                                 how often an upload with this id ran at the stand-ins
 * sent   AT  NODE  ROUTER                          a request that a router sent to a node, as it passed the relay
 * leaves AT  NODE                                  discovery shows from then on that the node drains
 * silent AT  ROUTER  UNTIL                         the router's watch fell silent; its wait would have ended then
 * age    ID  MILLIS                                how old a node's data was when this bounded read came to it
 * ended  AT  ROUTER  STATUS                        a router's process ended though nothing had ended it
 * logged ROUTER  LINE                              a line of a router's log that tells of an error or an exception
 * </pre>
 *
 * OUTCOME is {@code ok}, {@code foreign} (served with a value that is not its own), {@code refused} (SQLSTATE 53300 or
 * 57P01: turned away), {@code error:STATE} (another answer of an error), or {@code none} (the connection broke or the
 * client gave up before any answer). Safe for any thread.
 */
public final class History {
    private final List<String> lines = new ArrayList<>();
    private final long start = System.nanoTime();
    private final Map<String, Long> kills = new HashMap<>();
    private long ops;

    /** Nanoseconds since the rig began. */
    public long now() {
        return System.nanoTime() - start;
    }

    public synchronized void op(
            String id, String kind, String router, long sent, long ended, String outcome, int tries, String closedBy) {
        ops++;
        lines.add(String.join(
                "\t",
                "op",
                id,
                kind,
                router,
                Long.toString(sent),
                Long.toString(ended),
                outcome,
                Integer.toString(tries),
                closedBy));
    }

    public synchronized void fault(String what, String target) {
        if (what.equals("kill")) {
            kills.put(target, Long.MAX_VALUE); // until it has taken effect
        } else if (what.equals("killed")) {
            kills.put(target, now());
        }
        lines.add(String.join("\t", "fault", Long.toString(now()), what, target));
    }

    /** A router's request has passed the relay of a node. */
    public synchronized void sent(String node, String router) {
        lines.add(String.join("\t", "sent", Long.toString(now()), node, router));
    }

    /** Discovery shows from now on that a node drains. */
    public synchronized void leaves(String node) {
        lines.add(String.join("\t", "leaves", Long.toString(now()), node));
    }

    /** A router's watch has fallen silent; its wait would have ended at {@code until}, ns of the rig. */
    public synchronized void silent(String router, long until) {
        lines.add(String.join("\t", "silent", Long.toString(now()), router, Long.toString(until)));
    }

    /** A time of {@link System#nanoTime} as one of the rig. */
    public long at(long nanoTime) {
        return nanoTime - start;
    }

    /** Adds what the stand-ins counted, sorted by id so that the same counts give the same lines. */
    public synchronized void ran(Map<String, Integer> counts) {
        new TreeMap<>(counts).forEach((id, n) -> lines.add(String.join("\t", "ran", id, Integer.toString(n))));
    }

    /** Adds how old the data was that the stand-ins answered bounded reads from, sorted by id. */
    public synchronized void ages(Map<String, Long> millis) {
        new TreeMap<>(millis).forEach((id, ms) -> lines.add(String.join("\t", "age", id, Long.toString(ms))));
    }

    public synchronized List<String> lines() {
        return List.copyOf(lines);
    }

    /** Whether a router was killed at that time (ns of the rig) or later; a kill takes effect a moment after it. */
    public synchronized boolean killedSince(String router, long since) {
        return kills.getOrDefault(router, Long.MIN_VALUE) >= since;
    }

    /** A router's process has ended though nothing had ended it. */
    public synchronized void endedByItself(String router, int status) {
        lines.add(String.join("\t", "ended", Long.toString(now()), router, Integer.toString(status)));
    }

    /** A router's log has a line that tells of an error or an exception. */
    public synchronized void logged(String router, String line) {
        lines.add(String.join("\t", "logged", router, line.replace('\t', ' ')));
    }

    /** How many requests have ended so far. */
    public synchronized long ops() {
        return ops;
    }
}
