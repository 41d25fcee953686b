package stoatrill.lab.scale.faketime;

import java.util.List;
import stoatrill.lab.world.FleetMeter;

/** Connections and handshakes at one database by routers, by statement rate and by a router's descriptors. */
final class ConnectionAxis {
    static final String ROUTERS = "routers";
    static final String RATE = "statements/s of a router";
    static final String DESCRIPTORS = "descriptors of a router";
    static final String MEAN = "connections at a database (mean)";
    static final String PRIMARY = "connections at a primary (mean)";
    static final String MOST = "connections at a database (most at once)";
    static final String HANDSHAKES = "handshakes/s at a database (mean)";
    static final String OF_ROUTER = "connections of a router";
    static final String SERVED = "served share";

    private static final int SAMPLE = DesignSize.ZONES;

    private final long seed;

    ConnectionAxis(long seed) {
        this.seed = seed;
    }

    /** Runs the three tables. */
    AxisReport run(List<Integer> fleets, List<Double> rates, int fleet, List<Integer> descriptors, int groups) {
        FigureTable byFleet = byFleet(fleets);
        FigureTable byRate = byRate(rates, fleet);
        FigureTable byDescriptors = byDescriptors(descriptors, groups);
        double bound = DesignSize.CONNECTIONS_PER_DATABASE;
        double rate = DesignSize.STATEMENTS_PER_ROUTER;
        double descriptorsAtDesign = descriptors.get(descriptors.size() - 1);
        return new AxisReport(
                "connections",
                "Connections on simulated time",
                List.of(
                        "Routers share nothing; each table of one group runs all its routers before that group, with "
                                + "no bound on descriptors. Each database is in one group.",
                        "The table connections-by-descriptors runs " + SAMPLE + " routers, one in each zone, with "
                                + groups + " groups each, and gives figures at a database for " + DesignSize.ROUTERS
                                + " by the sum; \"most\" there is the mean of the database that has most. A router "
                                + "gives 0.3 of its descriptors to databases, as it does with many clients ("
                                + DesignSize.CLIENTS_PER_ROUTER + " clients need at least 8,306 descriptors then).",
                        "With so few routers the databases of connections-by-descriptors are nearly idle, so that no "
                                + "read is turned from a primary for its load: primaries draw more there, and hold "
                                + "more connections, than before the whole fleet's traffic.",
                        "Keys are drawn by Zipf's law (0.9), so the traffic of several groups differs: the database "
                                + "that has most is the primary of the busiest group.",
                        "Connections rest for 21 s; counted from 25 s to 40 s after the start; sampled 10 times a "
                                + "second. A statement takes 25 to 64 ms of work, so under 0.1 connections of a "
                                + "router to a database are at work on the mean: nearly all counted are at rest."),
                List.of(byFleet, byRate, byDescriptors),
                List.of(
                        FittedFigure.of(byFleet, MEAN, DesignSize.ROUTERS, bound),
                        FittedFigure.of(byFleet, PRIMARY, DesignSize.ROUTERS, bound),
                        FittedFigure.of(byFleet, MOST, DesignSize.ROUTERS, bound),
                        FittedFigure.of(byFleet, HANDSHAKES, DesignSize.ROUTERS),
                        FittedFigure.of(byFleet, OF_ROUTER, DesignSize.ROUTERS),
                        FittedFigure.of(byRate, MEAN, rate, bound),
                        FittedFigure.of(byRate, MOST, rate, bound),
                        FittedFigure.of(byRate, HANDSHAKES, rate),
                        FittedFigure.of(byDescriptors, MEAN, descriptorsAtDesign, bound),
                        FittedFigure.of(byDescriptors, PRIMARY, descriptorsAtDesign, bound),
                        FittedFigure.of(byDescriptors, HANDSHAKES, descriptorsAtDesign)));
    }

    private FigureTable byFleet(List<Integer> fleets) {
        FigureTable table = FigureTable.of(
                "connections-by-routers",
                "One group, " + DesignSize.STATEMENTS_PER_ROUTER + " statements/s a router over " + DesignSize.GROUPS
                        + " groups.",
                ROUTERS,
                MEAN,
                PRIMARY,
                MOST,
                HANDSHAKES,
                OF_ROUTER,
                SERVED);
        for (int routers : fleets) {
            addOneGroup(table, routers, routers, DesignSize.STATEMENTS_PER_ROUTER);
        }
        return table;
    }

    private FigureTable byRate(List<Double> rates, int routers) {
        FigureTable table = FigureTable.of(
                "connections-by-rate",
                routers + " routers run before one group; figures at a database are doubled for " + DesignSize.ROUTERS
                        + ", the most at once too, which is a little too high for it.",
                RATE,
                MEAN,
                PRIMARY,
                MOST,
                HANDSHAKES,
                OF_ROUTER,
                SERVED);
        for (double rate : rates) {
            addOneGroup(table, rate, routers, rate, (double) DesignSize.ROUTERS / routers);
        }
        return table;
    }

    private void addOneGroup(FigureTable table, double size, int routers, double rate) {
        addOneGroup(table, size, routers, rate, 1);
    }

    private void addOneGroup(FigureTable table, double size, int routers, double rate, double times) {
        FleetMeter.Reading reading = FleetModel.settled(routers, 1, routers * rate / DesignSize.GROUPS)
                .play(seed);
        table.add(
                size,
                times * mean(reading),
                times * atPrimary(reading, 1),
                times * most(reading),
                times * handshakes(reading),
                mean(reading) * reading.databases().size() / routers * DesignSize.GROUPS,
                served(reading));
    }

    private FigureTable byDescriptors(List<Integer> descriptors, int groups) {
        FigureTable table = FigureTable.of(
                "connections-by-descriptors",
                SAMPLE + " routers with " + groups + " groups and " + DesignSize.STATEMENTS_PER_ROUTER
                        + " statements/s for " + DesignSize.GROUPS + " groups; at a database for "
                        + DesignSize.ROUTERS + " routers.",
                DESCRIPTORS,
                MEAN,
                PRIMARY,
                MOST,
                HANDSHAKES,
                OF_ROUTER,
                SERVED);
        double statements = SAMPLE * DesignSize.STATEMENTS_PER_ROUTER * groups / DesignSize.GROUPS;
        double times = (double) DesignSize.ROUTERS / SAMPLE;
        for (int each : descriptors) {
            FleetMeter.Reading reading = FleetModel.settled(SAMPLE, groups, statements)
                    .withDescriptors(each)
                    .play(seed);
            double mostOnMean = reading.databases().stream()
                    .mapToDouble(FleetMeter.Database::meanConnections)
                    .max()
                    .orElse(0);
            table.add(
                    each,
                    times * mean(reading),
                    times * atPrimary(reading, groups),
                    times * mostOnMean,
                    times * handshakes(reading),
                    mean(reading) * reading.databases().size() / SAMPLE,
                    served(reading));
        }
        return table;
    }

    private static double mean(FleetMeter.Reading reading) {
        return reading.databases().stream()
                .mapToDouble(FleetMeter.Database::meanConnections)
                .average()
                .orElse(0);
    }

    /** Members of a group lie a number of groups apart, and its first is its primary. */
    private static double atPrimary(FleetMeter.Reading reading, int groups) {
        return reading.databases().stream()
                .limit(groups)
                .mapToDouble(FleetMeter.Database::meanConnections)
                .average()
                .orElse(0);
    }

    private static int most(FleetMeter.Reading reading) {
        return reading.databases().stream()
                .mapToInt(FleetMeter.Database::mostConnections)
                .max()
                .orElse(0);
    }

    private static double handshakes(FleetMeter.Reading reading) {
        return reading.handshakes() / reading.seconds() / reading.databases().size();
    }

    private static double served(FleetMeter.Reading reading) {
        return reading.requests() == 0 ? 0 : (double) reading.served() / reading.requests();
    }
}
