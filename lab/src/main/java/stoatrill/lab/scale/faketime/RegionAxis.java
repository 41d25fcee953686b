package stoatrill.lab.scale.faketime;

import java.util.List;

/** A region of routers cut off from discovery for an hour and healed, by routers and by what discovery serves. */
final class RegionAxis {
    static final String ROUTERS = "routers";
    static final String SERVES = "calls/s that discovery serves";
    static final String REST_CALLS = "calls/s at rest";
    static final String REST_BYTES = "bytes/s of a router at rest";
    static final String CUT_CALLS = "calls/s during the cut";
    static final String KNOWS_MISSED = "s after healing until the last knows what it missed";
    static final String KNOWS_NEXT = "s until the last of all knows the next change";
    static final String WORST = "calls in the worst second after healing";
    static final String WORST_BYTES = "bytes in the worst second after healing";
    static final String FAILED = "calls failed after healing";

    static final String CHANGE_WORST = "calls in the worst second after a change";
    static final String CHANGE_FAILED = "calls failed after a change";

    private static final long AFTER = 60 * ModelFleet.SECOND;
    private static final long REST_COUNTED = 60 * ModelFleet.SECOND;

    private final long seed;
    private final int servers;
    private final long cutFor;
    private final int changesWhileCut;

    /**
     * @param servers entries of the list
     * @param cutFor how long the cut lasts, in nanoseconds
     * @param changesWhileCut how many entries change meanwhile, evenly spread
     */
    RegionAxis(long seed, int servers, long cutFor, int changesWhileCut) {
        this.seed = seed;
        this.servers = servers;
        this.cutFor = cutFor;
        this.changesWhileCut = changesWhileCut;
    }

    /** Runs fleets before one discovery, and one fleet before several. */
    AxisReport run(List<Integer> fleets, double callsPerSecond, List<Double> served, int fleet) {
        FigureTable byFleet = table(
                "region-by-routers", "Discovery serves " + Math.round(callsPerSecond) + " calls a second.", ROUTERS);
        fleets.forEach(routers -> play(byFleet, routers, routers, callsPerSecond));
        FigureTable byService = table("region-by-service", fleet + " routers.", SERVES);
        served.forEach(calls -> play(byService, calls, fleet, calls));
        double design = DesignSize.ROUTERS;
        double calls = DesignSize.DISCOVERY_CALLS_PER_SECOND;
        return new AxisReport(
                "region",
                "A region cut off and healed, on simulated time",
                assumptions(),
                List.of(byFleet, byService),
                List.of(
                        FittedFigure.of(byFleet, REST_CALLS, design, calls),
                        FittedFigure.of(byFleet, REST_BYTES, design, DesignSize.CONTROL_BYTES_PER_SECOND),
                        FittedFigure.of(byFleet, CUT_CALLS, design, calls),
                        FittedFigure.of(byFleet, WORST, design, calls),
                        FittedFigure.of(byFleet, WORST_BYTES, design),
                        FittedFigure.of(byFleet, CHANGE_WORST, design, calls),
                        FittedFigure.of(byFleet, KNOWS_MISSED, design),
                        FittedFigure.of(byFleet, KNOWS_NEXT, design)));
    }

    private List<String> assumptions() {
        return List.of(
                "The real discovery client, reducer and module of every router, without statements. Discovery takes "
                        + "calls in turn, fails one that waits over 2 s, and writes answers at no cost; bytes take no "
                        + "time; a trip takes 1 ms. Bytes are those of HTTP, without TCP and IP.",
                "A fifth of the routers is cut off for " + cutFor / ModelFleet.SECOND + " s: nothing passes, and "
                        + "what was open across is reset at the end; a connection begun in the cut never comes up.",
                "The list has " + servers + " entries in the form of the protocol's example; " + changesWhileCut
                        + " change during the cut, evenly spread, none as it ends. The next change comes "
                        + AFTER / ModelFleet.SECOND + " s after the cut's end; all watches are answered at once then, "
                        + "and call again. A dash is over " + AFTER / ModelFleet.SECOND + " s.");
    }

    private static FigureTable table(String name, String about, String size) {
        return FigureTable.of(
                name,
                about,
                size,
                REST_CALLS,
                REST_BYTES,
                CUT_CALLS,
                KNOWS_MISSED,
                KNOWS_NEXT,
                WORST,
                WORST_BYTES,
                FAILED,
                CHANGE_WORST,
                CHANGE_FAILED);
    }

    private void play(FigureTable table, double size, int routers, double callsPerSecond) {
        ModelFleet fleet = new ModelFleet(routers, servers, callsPerSecond, seed);
        List<ModelRouter> region = fleet.routers.subList(0, routers / DesignSize.REGIONS);
        long restFrom = fleet.time.now();
        fleet.pass(REST_COUNTED);
        DiscoveryModel.Traffic rest = fleet.discovery.between(restFrom, restFrom + REST_COUNTED);
        long cutFrom = fleet.time.now();
        region.forEach(router -> router.cut(true));
        for (int change = 0; change < changesWhileCut; change++) {
            fleet.pass(cutFor / changesWhileCut / 2);
            fleet.discovery.change(change % servers);
            fleet.pass(cutFor / changesWhileCut / 2);
        }
        long healed = fleet.time.now();
        DiscoveryModel.Traffic cut = fleet.discovery.between(cutFrom, healed);
        region.forEach(router -> router.cut(false));
        double missed = fleet.untilKnown(region, fleet.list.version(), AFTER);
        fleet.pass(Math.max(0, healed + AFTER - fleet.time.now()));
        DiscoveryModel.Traffic worst = fleet.discovery.worstSecond(healed, healed + AFTER);
        DiscoveryModel.Traffic after = fleet.discovery.between(healed, healed + AFTER);
        long changed = fleet.time.now();
        fleet.discovery.change(0);
        double next = fleet.untilKnown(fleet.routers, fleet.list.version(), AFTER);
        fleet.pass(Math.max(0, changed + AFTER - fleet.time.now()));
        DiscoveryModel.Traffic worstAfterChange = fleet.discovery.worstSecond(changed, changed + AFTER);
        DiscoveryModel.Traffic afterChange = fleet.discovery.between(changed, changed + AFTER);
        double restSeconds = (double) REST_COUNTED / ModelFleet.SECOND;
        table.add(
                size,
                rest.calls() / restSeconds,
                rest.bytes() / restSeconds / routers,
                cut.calls() * (double) ModelFleet.SECOND / (healed - cutFrom),
                missed,
                next,
                (double) worst.calls(),
                (double) worst.bytes(),
                (double) after.failed(),
                (double) worstAfterChange.calls(),
                (double) afterChange.failed());
    }
}
