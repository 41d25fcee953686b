package stoatrill.lab.scale.faketime;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import stoatrill.standins.model.Seeds;

/** Routers that start without a list: many over a day, and some at once among a fleet at rest. */
final class RestartAxis {
    static final String RESTARTS = "restarts";
    static final String AT_ONCE = "routers restarted at once";
    static final String SERVERS = "servers in the list";
    static final String WHOLE_LISTS = "whole lists asked for";
    static final String ALL_BYTES = "bytes of these calls";
    static final String WORST_BYTES = "bytes in the worst second";
    static final String WORST_CALLS = "calls in the worst second";
    static final String FAILED = "calls failed";
    static final String LAST = "s until the last has its list";
    static final String LIST_BYTES = "bytes of the whole list";
    static final String LIST_SECONDS = "s of a router's 4 KB/s";

    private static final long DAY = 86_400 * ModelFleet.SECOND;
    private static final long LIFE = 10 * ModelFleet.SECOND;
    private static final long AFTER = 60 * ModelFleet.SECOND;

    private final long seed;
    private final int servers;

    RestartAxis(long seed, int servers) {
        this.seed = seed;
        this.servers = servers;
    }

    /** Runs days of restarts, racks that start at once among a fleet, and lists of several lengths. */
    AxisReport run(
            List<Integer> restarts,
            List<Integer> racks,
            int fleet,
            List<Double> served,
            int rack,
            List<Integer> lists) {
        FigureTable bySize = listsBySize(lists);
        FigureTable day = days(restarts);
        double calls = DesignSize.DISCOVERY_CALLS_PER_SECOND;
        FigureTable atOnce = rackTable(
                "restarts-at-once",
                fleet + " routers in all; discovery serves " + Math.round(calls) + " calls a second.",
                AT_ONCE);
        racks.forEach(size -> playRack(atOnce, size, size, fleet, calls));
        FigureTable byService =
                rackTable("restarts-by-service", rack + " of " + fleet + " routers.", RegionAxis.SERVES);
        served.forEach(service -> playRack(byService, service, rack, fleet, service));
        return new AxisReport(
                "restarts",
                "Restarts and whole lists, on simulated time",
                assumptions(),
                List.of(bySize, day, atOnce, byService),
                List.of(
                        FittedFigure.of(bySize, LIST_BYTES, DesignSize.DATABASES),
                        FittedFigure.of(bySize, LIST_SECONDS, DesignSize.DATABASES),
                        FittedFigure.of(day, WHOLE_LISTS, 210),
                        FittedFigure.of(day, ALL_BYTES, 210),
                        FittedFigure.of(day, WORST_BYTES, 210),
                        FittedFigure.of(atOnce, WORST_BYTES, rack),
                        FittedFigure.of(atOnce, WORST_CALLS, rack, calls),
                        FittedFigure.of(atOnce, LAST, rack)));
    }

    private List<String> assumptions() {
        return List.of(
                "A router starts without a list and asks for the whole of it; the list has " + servers
                        + " entries in the form of the protocol's example. Discovery takes calls in turn, each for "
                        + "the same time whatever it asks for, fails one that waits over 2 s, and writes answers at "
                        + "no cost; bytes take no time. Bytes are those of HTTP, without TCP and IP.",
                "Restarts over a day come at times drawn evenly; only the starting routers are run, for "
                        + LIFE / ModelFleet.SECOND + " s each (routers share nothing; the others' calls at rest are "
                        + "in the report of the region).",
                "Routers restarted at once start in the same instant, among others at rest.");
    }

    private FigureTable listsBySize(List<Integer> sizes) {
        FigureTable table =
                FigureTable.of("list-by-servers", "The body of the whole list.", SERVERS, LIST_BYTES, LIST_SECONDS);
        for (int size : sizes) {
            double bytes = new ModelList(size).whole().length;
            table.add(size, bytes, bytes / DesignSize.CONTROL_BYTES_PER_SECOND);
        }
        return table;
    }

    private FigureTable days(List<Integer> restarts) {
        FigureTable table = FigureTable.of(
                "restarts-over-a-day",
                "Routers that start, each by itself, over 24 h.",
                RESTARTS,
                WHOLE_LISTS,
                ALL_BYTES,
                WORST_BYTES,
                WORST_CALLS);
        for (int many : restarts) {
            ModelFleet fleet = new ModelFleet(0, servers, DesignSize.DISCOVERY_CALLS_PER_SECOND, seed);
            UniformRandomProvider random = Seeds.source(seed, "restarts");
            long begin = fleet.time.now();
            for (int i = 0; i < many; i++) {
                long at = begin + random.nextLong(DAY);
                fleet.time.at(at, () -> {
                    ModelRouter router = fleet.startWithoutList(() -> {});
                    fleet.time.at(at + LIFE, router::stop);
                });
            }
            fleet.pass(DAY + LIFE);
            DiscoveryModel.Traffic all = fleet.discovery.between(begin, fleet.time.now());
            DiscoveryModel.Traffic worst = fleet.discovery.worstSecond(begin, fleet.time.now());
            table.add(many, (double) all.wholeLists(), (double) all.bytes(), (double) worst.bytes(), (double)
                    worst.calls());
        }
        return table;
    }

    private static FigureTable rackTable(String name, String about, String size) {
        return FigureTable.of(name, about, size, WHOLE_LISTS, WORST_BYTES, WORST_CALLS, FAILED, LAST);
    }

    private void playRack(FigureTable table, double size, int rack, int routers, double callsPerSecond) {
        ModelFleet fleet = new ModelFleet(routers, servers, callsPerSecond, seed);
        long from = fleet.time.now();
        fleet.routers.subList(0, rack).forEach(ModelRouter::stop);
        List<Long> listed = new ArrayList<>();
        for (int i = 0; i < rack; i++) {
            fleet.startWithoutList(() -> listed.add(fleet.time.now()));
        }
        fleet.pass(AFTER);
        DiscoveryModel.Traffic all = fleet.discovery.between(from, from + AFTER);
        DiscoveryModel.Traffic worst = fleet.discovery.worstSecond(from, from + AFTER);
        double last = listed.size() < rack ? Double.NaN : (double) (listed.get(rack - 1) - from) / ModelFleet.SECOND;
        table.add(
                size,
                (double) all.wholeLists(),
                (double) worst.bytes(),
                (double) worst.calls(),
                (double) all.failed(),
                last);
    }
}
