package stoatrill.lab.scale.faketime;

import java.util.ArrayList;
import java.util.List;
import stoatrill.lab.world.FleetMeter;

/**
 * Probes by a router's own rate of bounded reads of a group, and by how many routers share the same group traffic.
 */
final class ProbeAxis {
    static final String BOUNDED_RATE = "bounded reads/s of a router and group";
    static final String ROUTERS = "routers";
    static final String PER_STATEMENT = "probes per statement";
    static final String PER_BOUNDED = "probes per bounded read";
    static final String ROUTER_PROBES = "probes/s of a router";
    static final String ROUTER_BYTES = "probe bytes/s of a router";
    static final String DATABASE_PROBES = "probes/s at a database (mean)";
    static final String DATABASE_MOST = "probes/s at a database (mean of the busiest)";
    static final String DATABASE_WORST = "probes in the worst second of a database";
    static final String PRIMARY_PART = "part of statements sent to primaries";
    static final String LOAD = "load of the databases, %";
    static final String ZONES = "zones";
    static final String SERVED = "served share";

    /** One router in each zone, so that all places a router can have are there. */
    private static final int SAMPLE = DesignSize.ZONES;

    /** Percent; what the lab's days at size are drawn around. */
    private static final double DESIGN_LOAD = 45;

    private static final List<String> FLEET_COLUMNS = List.of(
            PER_STATEMENT,
            PER_BOUNDED,
            ROUTER_PROBES,
            ROUTER_BYTES,
            DATABASE_PROBES,
            DATABASE_MOST,
            DATABASE_WORST,
            PRIMARY_PART,
            SERVED);

    private final long seed;
    private final int probeBytes = ProbeBytes.both();

    ProbeAxis(long seed) {
        this.seed = seed;
    }

    /** Runs both tables and the check of one group against all groups. */
    AxisReport run(
            List<Double> boundedRates,
            List<Integer> fleets,
            double groupTraffic,
            int checkedGroups,
            List<Integer> cores,
            List<Integer> zones,
            int fleet) {
        FigureTable byRate = byRate(boundedRates);
        FigureTable byFleet = byFleet(fleets, groupTraffic);
        FigureTable byLoad = byLoad(cores, fleet);
        FigureTable byZones = byZones(zones, fleet);
        FigureTable check = check(checkedGroups);
        return new AxisReport(
                "probes",
                "Probes on simulated time",
                assumptions(),
                List.of(byRate, byFleet, byLoad, byZones, check),
                List.of(
                        FittedFigure.of(byRate, PER_STATEMENT, 2.7),
                        FittedFigure.of(byRate, ROUTER_PROBES, 2.7),
                        FittedFigure.of(byRate, ROUTER_BYTES, 2.7, DesignSize.CONTROL_BYTES_PER_SECOND),
                        FittedFigure.of(byRate, DATABASE_PROBES, 2.7),
                        FittedFigure.of(byFleet, PER_STATEMENT, DesignSize.ROUTERS),
                        FittedFigure.of(byFleet, ROUTER_PROBES, DesignSize.ROUTERS),
                        FittedFigure.of(byFleet, ROUTER_BYTES, DesignSize.ROUTERS, DesignSize.CONTROL_BYTES_PER_SECOND),
                        FittedFigure.of(byFleet, DATABASE_PROBES, DesignSize.ROUTERS),
                        FittedFigure.of(byFleet, DATABASE_MOST, DesignSize.ROUTERS),
                        FittedFigure.of(byFleet, DATABASE_WORST, DesignSize.ROUTERS),
                        FittedFigure.of(byFleet, PRIMARY_PART, DesignSize.ROUTERS),
                        FittedFigure.of(byLoad, PER_BOUNDED, DESIGN_LOAD),
                        FittedFigure.of(byLoad, ROUTER_BYTES, DESIGN_LOAD, DesignSize.CONTROL_BYTES_PER_SECOND),
                        FittedFigure.of(byZones, PER_BOUNDED, DesignSize.ZONES),
                        FittedFigure.of(byZones, ROUTER_BYTES, DesignSize.ZONES, DesignSize.CONTROL_BYTES_PER_SECOND)));
    }

    private List<String> assumptions() {
        return List.of(
                "A probe is " + probeBytes + " bytes both ways: the query as the router words it and an answer with "
                        + "the report `" + ProbeBytes.TYPICAL_REPORT + "`, without headers of TCP and IP and without "
                        + "the ParameterStatus messages that a database may add.",
                "Routers share nothing and the groups of a router share no probes: figures of a router are those of "
                        + "one group times " + DesignSize.GROUPS + ". The table probes-check holds that against "
                        + "routers that have all groups, whose traffic differs as keys are drawn by Zipf's law (0.9).",
                "48% of the statements are bounded reads (300 ms old at most), 6.1% writes; a statement takes 25 to "
                        + "64 ms of work (35 on the mean); a database has " + FleetModel.USUAL_CORES
                        + " cores, so that the "
                        + "designed traffic takes 37% of all, and no bound on connections; six to a group, the "
                        + "primary and five replicas, in zones of their own among "
                        + DesignSize.ZONES + "; 0.2 ms within a zone, 2 ms between zones.",
                "With " + SAMPLE
                        + " routers alone the databases are nearly idle, so that no read is turned from a primary "
                        + "for its load. A router whose zone has no replica of the group sends its bounded reads to "
                        + "the primary unasked, as long as that is not busy: only routers with a replica in their "
                        + "zone (5 zones of " + DesignSize.ZONES + ") probe at low load.",
                "Figures of the first table at one database are those of " + SAMPLE + " routers, one in each zone, "
                        + "times " + DesignSize.ROUTERS / SAMPLE + "; the second table runs all its routers.");
    }

    private FigureTable byRate(List<Double> rates) {
        FigureTable table = FigureTable.of(
                "probes-by-rate",
                SAMPLE + " routers, one in each zone, before one group; " + DesignSize.ROUTERS
                        + " routers at a database by the sum.",
                BOUNDED_RATE,
                PER_STATEMENT,
                PER_BOUNDED,
                ROUTER_PROBES,
                ROUTER_BYTES,
                DATABASE_PROBES,
                SERVED);
        for (double rate : rates) {
            FleetMeter.Reading reading = FleetModel.settled(SAMPLE, 1, SAMPLE * rate / DesignSize.BOUNDED_SHARE)
                    .play(seed);
            double ofRouterAndGroup = reading.probes() / reading.seconds() / SAMPLE;
            table.add(
                    rate,
                    perStatement(reading),
                    perStatement(reading) / DesignSize.BOUNDED_SHARE,
                    ofRouterAndGroup * DesignSize.GROUPS,
                    ofRouterAndGroup * DesignSize.GROUPS * probeBytes,
                    ofRouterAndGroup * DesignSize.ROUTERS / DesignSize.DATABASES_PER_GROUP,
                    share(reading.served(), reading.requests()));
        }
        return table;
    }

    private FigureTable byFleet(List<Integer> fleets, double statementsPerSecond) {
        FigureTable table = fleetTable(
                "probes-by-routers",
                "All routers run, before one group with " + Math.round(statementsPerSecond)
                        + " statements/s in all; a router's figures are times " + DesignSize.GROUPS + " groups.",
                ROUTERS);
        for (int routers : fleets) {
            addFleet(table, routers, FleetModel.settled(routers, 1, statementsPerSecond));
        }
        return table;
    }

    private FigureTable byLoad(List<Integer> cores, int fleet) {
        FigureTable table = fleetTable(
                "probes-by-load",
                fleet + " routers run, before one group at the designed rate of each router, by how many cores its "
                        + "databases have: " + cores + ".",
                LOAD);
        for (int each : cores) {
            FleetModel model = designed(fleet).withCores(each);
            addFleet(table, 100 * model.load(), model);
        }
        return table;
    }

    private FigureTable byZones(List<Integer> zones, int fleet) {
        FigureTable table = fleetTable(
                "probes-by-zones",
                fleet + " routers run, before one group at the designed rate of each router, in fewer zones: in up "
                        + "to " + DesignSize.DATABASES_PER_GROUP + " each has a database of the group.",
                ZONES);
        for (int many : zones) {
            addFleet(table, many, designed(fleet).inZones(many));
        }
        return table;
    }

    private static FleetModel designed(int routers) {
        return FleetModel.settled(routers, 1, routers * DesignSize.STATEMENTS_PER_ROUTER_AND_GROUP);
    }

    private static FigureTable fleetTable(String name, String about, String size) {
        List<String> columns = new ArrayList<>(List.of(size));
        columns.addAll(FLEET_COLUMNS);
        return FigureTable.of(name, about, columns.toArray(new String[0]));
    }

    private void addFleet(FigureTable table, double size, FleetModel model) {
        FleetMeter.Reading reading = model.play(seed);
        double ofRouter = reading.probes() / reading.seconds() / model.routers() * DesignSize.GROUPS;
        table.add(
                size,
                perStatement(reading),
                perStatement(reading) / DesignSize.BOUNDED_SHARE,
                ofRouter,
                ofRouter * probeBytes,
                reading.probes() / reading.seconds() / DesignSize.DATABASES_PER_GROUP,
                mostAtOne(reading) / reading.seconds(),
                worstSecond(reading),
                share(reading.databases().get(0).attempts(), reading.attempts()),
                share(reading.served(), reading.requests()));
    }

    /** The same rate of statements for a router and group, by how many groups its routers have. */
    private FigureTable check(int mostGroups) {
        FigureTable table = FigureTable.of(
                "probes-check",
                SAMPLE + " routers with several groups at the designed rate of a router and group: the figures of "
                        + "one group hold if they are the same in all rows.",
                "groups",
                PER_STATEMENT,
                PER_BOUNDED,
                SERVED);
        for (int groups = 1; groups <= mostGroups; groups = groups == mostGroups ? groups + 1 : mostGroups) {
            FleetMeter.Reading reading = FleetModel.settled(
                            SAMPLE, groups, SAMPLE * groups * DesignSize.STATEMENTS_PER_ROUTER_AND_GROUP)
                    .play(seed);
            table.add(
                    groups,
                    perStatement(reading),
                    perStatement(reading) / DesignSize.BOUNDED_SHARE,
                    share(reading.served(), reading.requests()));
        }
        return table;
    }

    private static double perStatement(FleetMeter.Reading reading) {
        return share(reading.probes(), reading.requests());
    }

    private static double share(long part, long whole) {
        return whole == 0 ? 0 : (double) part / whole;
    }

    private static long mostAtOne(FleetMeter.Reading reading) {
        return reading.databases().stream()
                .mapToLong(FleetMeter.Database::probes)
                .max()
                .orElse(0);
    }

    private static int worstSecond(FleetMeter.Reading reading) {
        return reading.databases().stream()
                .mapToInt(FleetMeter.Database::mostProbes)
                .max()
                .orElse(0);
    }
}
