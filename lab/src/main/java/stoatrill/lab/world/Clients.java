package stoatrill.lab.world;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateDiscreteSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import stoatrill.Gateway.Consistency;
import stoatrill.lab.load.Arrivals;
import stoatrill.lab.load.Trace;
import stoatrill.standins.model.Seeds;

/** The clients and the front that spreads them over the routers of their zone. */
final class Clients {
    private static final int NAMES = 1 << 16;
    /** After so long a front has found that a router is back. */
    private static final long ADMITS = 100_000_000L;

    private final World world;
    private final Plan plan;
    private final Arrivals arrivals;
    private final UniformRandomProvider what;
    private final UniformRandomProvider how;
    private final UniformRandomProvider where;
    private final ZigguratSampler.Exponential work;
    private final SharedStateDiscreteSampler keys;
    private final String[] names = new String[NAMES];
    private final int mostTries;
    private final double tryShare;
    private final double honour;
    private final double backoff;
    private final boolean doubles;
    private final long end;
    private final List<List<SimRouter>> seen = new ArrayList<>();
    private long ids;

    Clients(World world, Arrivals arrivals, long end) {
        this.world = world;
        this.plan = world.plan;
        this.arrivals = arrivals;
        this.end = end;
        this.what = Seeds.source(world.seed, "requests");
        this.how = Seeds.source(world.seed, "clients");
        this.where = Seeds.source(world.seed, "front");
        this.work = ZigguratSampler.Exponential.of(what);
        this.keys = RejectionInversionZipfSampler.of(what, plan.keys, plan.zipf);
        UniformRandomProvider day = Seeds.source(world.seed, "habits");
        this.mostTries = 1 + (int) plan.retries.draw(day);
        this.tryShare = plan.tryShare.draw(day);
        this.honour = plan.honour.draw(day);
        this.backoff = plan.backoff.draw(day);
        this.doubles = day.nextBoolean();
    }

    void begin() {
        look();
        if (plan.trace.isEmpty()) {
            arrive(arrivals.next(world.start));
        } else {
            recorded(0);
        }
    }

    private void arrive(long at) {
        if (at < end) {
            world.time.at(at, () -> {
                fresh(at);
                arrive(arrivals.next(at));
            });
        }
    }

    private void recorded(int line) {
        if (line < plan.trace.size() && world.start + plan.trace.get(line).at() < end) {
            Trace.Line l = plan.trace.get(line);
            world.time.at(world.start + l.at(), () -> {
                ask(new SimRequest(
                        ids++,
                        world.kindOf(l.kind()),
                        world.teamOf(l.team()),
                        what.nextInt(plan.zones.size()),
                        Math.floorMod(l.group(), plan.groups),
                        l.key(),
                        l.work(),
                        world.time.now()));
                recorded(line + 1);
            });
        }
    }

    /** Draws a request. Always the same count of numbers in the same order, whatever became of earlier ones. */
    private void fresh(long at) {
        int kind = pick(
                what.nextDouble(), plan.kinds.size(), i -> plan.kinds.get(i).share());
        int team = plan.teams.isEmpty() ? 0 : team(what.nextDouble(), at - world.start);
        int zone = what.nextInt(plan.zones.size());
        long key = keys.sample();
        double takes = work.sample() * world.meanWork[kind];
        ask(new SimRequest(ids++, kind, team, zone, world.groupOf(key), key, takes, at));
    }

    /** Draws a team by what each asks at the time. */
    private int team(double drawn, long at) {
        double all = 0;
        for (Plan.Team t : plan.teams) {
            all += t.share() * t.times(at);
        }
        return pick(
                drawn * all,
                plan.teams.size(),
                i -> plan.teams.get(i).share() * plan.teams.get(i).times(at));
    }

    private static int pick(double drawn, int size, java.util.function.IntToDoubleFunction share) {
        int i = 0;
        double rest = drawn;
        while (i < size - 1 && rest >= share.applyAsDouble(i)) {
            rest -= share.applyAsDouble(i++);
        }
        return i;
    }

    private void ask(SimRequest r) {
        world.tally.arrived(r);
        attempt(r);
    }

    private void attempt(SimRequest r) {
        long now = world.time.now();
        r.tries++;
        world.tally.tries++;
        long wait = (long) (tryShare * plan.kinds.get(r.kind).giveUp());
        SimTry t = new SimTry(world.nextTry(), r, now + wait);
        SimRouter router = choose(r.zone);
        long trip = (long) plan.client.draw(how);
        world.time.at(now + trip, () -> {
            if (router == null || !router.up) {
                ended(t, Tally.End.ROUTER_DOWN, 0, world.time.now());
            } else {
                router.request(t);
            }
        });
    }

    /** The front draws a router of the client's zone that it takes to be up, else one elsewhere. */
    private SimRouter choose(int zone) {
        double drawn = where.nextDouble();
        SimRouter chosen = drawn(seen.get(zone), drawn);
        return chosen != null ? chosen : drawn(seen.get(plan.zones.size()), drawn);
    }

    private static SimRouter drawn(List<SimRouter> routers, double drawn) {
        return routers.isEmpty() ? null : routers.get((int) (drawn * routers.size()));
    }

    private void see(SimRouter router, boolean sees) {
        if (router.seen != sees) {
            router.seen = sees;
            look();
        }
    }

    /** Lists anew, by zone and then over all, the routers that the front takes to be up. */
    private void look() {
        seen.clear();
        for (int z = 0; z <= plan.zones.size(); z++) {
            int zone = z;
            seen.add(world.routers.stream()
                    .filter(r -> r.seen && (zone == plan.zones.size() || r.zone == zone))
                    .toList());
        }
    }

    /** The front learns late that a router is gone, and soon that it is back. */
    void noticed(SimRouter router) {
        if (router.up) {
            world.time.at(world.time.now() + ADMITS, () -> see(router, router.seen || router.up));
        } else {
            world.time.at(
                    world.time.now() + (long) plan.frontNotice.draw(where),
                    () -> see(router, router.seen && router.up));
        }
    }

    /** A try has ended at a router; {@code comeBack} is its advice in nanoseconds, 0 for none. */
    void ended(SimTry t, Tally.End end, long comeBack, long now) {
        SimRequest r = t.request;
        world.tally.count(end);
        long heard = now + (long) plan.client.draw(how);
        if (end == Tally.End.SERVED) {
            world.tally.usedWork += t.work;
            world.tally.served(r, heard, t.stale);
            return;
        }
        // An upload with an unknown outcome is not repeated by its client either.
        boolean unsure = plan.kinds.get(r.kind).need() == Consistency.WRITE
                && (end == Tally.End.FAILED || end == Tally.End.ROUTER_LOST);
        if (r.tries >= mostTries || unsure || end == Tally.End.INVALID) {
            world.tally.given(r, heard);
            return;
        }
        double pause = backoff * (doubles ? 1 << (r.tries - 1) : 1) * (0.5 + how.nextDouble());
        boolean heeds = how.nextDouble() < honour;
        world.time.at(heard + (long) (comeBack > 0 && heeds ? comeBack : pause), () -> attempt(r));
    }

    /** A key as its text; the same text each time. */
    String key(long key) {
        int at = (int) (key & (NAMES - 1));
        if (key >= NAMES) {
            return Long.toString(key, 36);
        }
        if (names[at] == null) {
            names[at] = Long.toString(key, 36);
        }
        return names[at];
    }
}
