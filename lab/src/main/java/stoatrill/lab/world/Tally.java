package stoatrill.lab.world;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import stoatrill.contract.Contract;
import stoatrill.contract.Contracts;

/**
 * What a day came to, as the brief counts worth: answered within the class's aim over asked for, a client's
 * repeats counted with its first try, from the first second on.
 */
public final class Tally {

    /** How a try ended for its client. */
    public enum End {
        SERVED,
        REFUSED_AT_ONCE,
        REFUSED_LATER,
        FAILED,
        ROUTER_DOWN,
        ROUTER_LOST,
        INVALID
    }

    private static final long SECOND = 1_000_000_000L;
    private static final int WINDOW = 10;

    private final List<Plan.Kind> kinds;
    private final List<Plan.Team> teams;
    private final long start;
    public final double[] asked;
    public final double[] earned;
    private final Map<End, Long> ends = new EnumMap<>(End.class);
    public final double[] askedBy;
    public final double[] earnedBy;
    public final double[] askedOf;
    public final double[] earnedOf;
    private final long[] servedInJump;
    /** By class, the time from the first try to the answer of what was served, in microseconds. */
    public final Histogram[] latency;

    public long requests;
    public long tries;
    public long attempts;
    public long crossings;
    public long probes;
    public long lateFailures;
    public double askedWork;
    public double usedWork;
    public double doneWork;

    Tally(Plan plan, long start) {
        this.kinds = plan.kinds;
        this.teams = plan.teams;
        this.start = start;
        int seconds = (int) (plan.length / SECOND) + 1;
        asked = new double[seconds];
        earned = new double[seconds];
        askedBy = new double[kinds.size()];
        earnedBy = new double[kinds.size()];
        askedOf = new double[Math.max(1, teams.size())];
        earnedOf = new double[Math.max(1, teams.size())];
        servedInJump = new long[Math.max(1, teams.size())];
        latency = new Histogram[kinds.size()];
        for (int i = 0; i < latency.length; i++) {
            latency[i] = new Histogram(1, 3_600_000_000L, 3);
        }
    }

    private double worth(SimRequest r) {
        return kinds.get(r.kind).worth()
                * (teams.isEmpty() ? 1 : teams.get(r.team).worth());
    }

    void arrived(SimRequest r) {
        requests++;
        askedWork += r.work;
        int second = second(r);
        asked[second] += worth(r);
        if (second > 0) {
            askedBy[r.kind] += worth(r);
            askedOf[r.team] += worth(r);
        }
    }

    private int second(SimRequest r) {
        return (int) Math.min(asked.length - 1, (r.arrived - start) / SECOND);
    }

    void served(SimRequest r, long at, boolean stale) {
        Plan.Kind kind = kinds.get(r.kind);
        long took = at - r.arrived;
        latency[r.kind].recordValue(Math.max(1, Math.min(3_600_000_000L, took / 1000)));
        double part = stale ? 0 : took <= kind.aim() ? 1 : took <= kind.giveUp() ? kind.lateWorth() : 0;
        if (!teams.isEmpty() && teams.get(r.team).times(at - start) > 1) {
            servedInJump[r.team]++;
        }
        int second = second(r);
        earned[second] += part * worth(r);
        if (second > 0) {
            earnedBy[r.kind] += part * worth(r);
            earnedOf[r.team] += part * worth(r);
        }
    }

    void given(SimRequest r, long at) {
        if (at - r.arrived > kinds.get(r.kind).aim()) {
            lateFailures++;
        }
    }

    // ---- Figures ----

    /** The share of the worth asked for that was earned. */
    public double whole() {
        return share(1, asked.length);
    }

    private double share(int from, int to) {
        double a = 0;
        double e = 0;
        for (int i = from; i < to; i++) {
            a += asked[i];
            e += earned[i];
        }
        return a == 0 ? 1 : e / a;
    }

    /** The lowest share over any ten seconds in a row. */
    public double worstWindow() {
        double worst = share(1, Math.min(asked.length, 1 + WINDOW));
        for (int i = 2; i + WINDOW <= asked.length; i++) {
            worst = Math.min(worst, share(i, i + WINDOW));
        }
        return worst;
    }

    /** The share of the class that fares worst. */
    public double worstClass() {
        return worst(askedBy, earnedBy);
    }

    /** The share of the team that fares worst. */
    public double worstTeam() {
        return worst(askedOf, earnedOf);
    }

    private static double worst(double[] asked, double[] earned) {
        double worst = 1;
        for (int i = 0; i < asked.length; i++) {
            worst = asked[i] > 0 ? Math.min(worst, earned[i] / asked[i]) : worst;
        }
        return worst;
    }

    /** The lowest share over the teams that ask as they always do. */
    public double worstSteady() {
        double worst = 1;
        for (int i = 0; i < teams.size(); i++) {
            worst = teams.get(i).jump() > 1 || askedOf[i] == 0 ? worst : Math.min(worst, earnedOf[i] / askedOf[i]);
        }
        return worst;
    }

    /** What teams that jump were served while they did, over what they were promised for that time; the most. */
    public double mostOfPromise(Contracts contracts) {
        double most = 0;
        for (int i = 0; i < teams.size(); i++) {
            int place = contracts == null || teams.get(i).jump() == 1
                    ? -1
                    : contracts.indexOf(teams.get(i).name());
            if (place >= 0 && contracts.all().get(place).requestsPerDay() > 0) {
                Contract c = contracts.all().get(place);
                double promised = c.requestsPerDay() / 86_400.0 * teams.get(i).jumpFor() / 1e9;
                most = Math.max(most, servedInJump[i] / promised);
            }
        }
        return most;
    }

    /** Work that nobody had a use for, as a part of what was asked. */
    public double waste() {
        return askedWork == 0 ? 0 : Math.max(0, doneWork - usedWork) / askedWork;
    }

    public double crossing() {
        return requests == 0 ? 0 : (double) crossings / requests;
    }

    public double probing() {
        return requests == 0 ? 0 : (double) probes / requests;
    }

    /** The brief's goal, 50 % whole, 30 % worst ten seconds and 20 % worst class, less its prices. */
    public double score() {
        double late = requests == 0 ? 0 : (double) lateFailures / requests;
        return 0.5 * whole()
                + 0.3 * worstWindow()
                + 0.2 * worstClass()
                - 0.17 * waste()
                - 0.04 * crossing()
                - 0.023 * probing()
                - 0.05 * late;
    }

    /** Counts one more try that ended so. */
    void count(End how) {
        ends.merge(how, 1L, Long::sum);
    }

    /** How many tries ended so. */
    public long ends(End how) {
        return ends.getOrDefault(how, 0L);
    }

    /** The share of tries that ended so. */
    public double ended(End how) {
        return tries == 0 ? 0 : (double) ends(how) / tries;
    }

    /** A quantile of the time to an answer over all classes, in milliseconds. */
    public double latency(double quantile) {
        Histogram all = new Histogram(1, 3_600_000_000L, 3);
        for (Histogram h : latency) {
            all.add(h);
        }
        return all.getValueAtPercentile(quantile * 100) / 1e3;
    }
}
