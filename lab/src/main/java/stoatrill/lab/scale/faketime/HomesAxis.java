package stoatrill.lab.scale.faketime;

import java.util.ArrayList;
import java.util.List;
import stoatrill.homes.HomeSettings;
import stoatrill.lab.world.FleetMeter;

/**
 * Connections and probes with every router before every group, and with two homes of each group in each zone: the
 * real reducer and module before one group, the real assignment for how many groups a router is home to.
 */
final class HomesAxis {
    static final String ROUTERS = "routers";
    static final String MEAN = "connections at a database (mean)";
    static final String MOST = "connections at a database (most at once)";
    static final String HANDSHAKES = "handshakes/s at a database (mean)";
    static final String DATABASE_PROBES = "probes/s at a database (mean)";
    static final String OF_ROUTER = "connections of a router (mean)";
    static final String ROUTER_PROBES = "probes/s of a router (mean)";
    static final String ROUTER_BYTES = "probe bytes/s of a router (mean)";
    static final String MOST_BYTES = "probe bytes/s of the router with most groups";
    static final String SERVED = "served share";

    static final String MEAN_GROUPS = "groups of a router (mean)";
    static final String MOST_GROUPS = "groups of a router (most)";
    static final String MOST_FIRST = "groups that a router is first home of (most)";
    static final String HANDED_ON = "part of statements handed to a home";
    static final String HOPS = "routers that a statement passes (mean)";
    static final String MOST_CARRIED = "statements/s through the busiest router";

    private final long seed;
    private final int probeBytes = ProbeBytes.both();
    private final HomeSettings settings = HomeSettings.DEFAULT;

    HomesAxis(long seed) {
        this.seed = seed;
    }

    /** Runs the tables; each fleet has routers enough for two homes and one to spare in each zone. */
    AxisReport run(List<Integer> fleets) {
        FigureTable before = table("homes-before", "Every router is before every group.");
        FigureTable after = table(
                "homes-after",
                settings.homesPerGroup() + " homes of the group in each zone carry the whole fleet's traffic.");
        FigureTable lost = table(
                "homes-lost",
                "One of the two homes is lost in every zone, and the other carries its zone's whole traffic, before "
                        + "another router takes the lost one's place; figures of a router as if all groups that it is "
                        + "home to had lost their other home.");
        FigureTable duties = duties();
        for (int routers : fleets) {
            HomeDuties zone = HomeDuties.of(routers / DesignSize.ZONES, settings);
            duties.add(
                    routers,
                    zone.mean(),
                    zone.most(),
                    zone.mostFirst(),
                    zone.handedOn(),
                    1 + zone.handedOn(),
                    zone.mostCarried());
            add(before, routers, routers, DesignSize.GROUPS, DesignSize.GROUPS);
            add(after, routers, settings.homesPerGroup() * DesignSize.ZONES, zone.mean(), zone.most());
            add(lost, routers, (settings.homesPerGroup() - 1) * DesignSize.ZONES, zone.mean(), zone.most());
        }
        List<FittedFigure> fits = new ArrayList<>();
        List.of(before, after, lost).forEach(table -> fits.addAll(fits(table)));
        return new AxisReport(
                "homes", "Group homes on simulated time", assumptions(), List.of(before, after, lost, duties), fits);
    }

    private List<String> assumptions() {
        return List.of(
                "The first slice: the assignment is the router's (`stoatrill.homes`), what carries statements from "
                        + "one router to another is not built. The time, connections and work of that hop are not in "
                        + "these figures, nor is what a home costs more for the statements handed to it.",
                "Each row runs its routers before one group: all of the fleet, or " + settings.homesPerGroup()
                        + " (lost: one less) in each of " + DesignSize.ZONES + " zones, with the traffic of the whole "
                        + "fleet for that group, " + DesignSize.STATEMENTS_PER_ROUTER + " statements/s a router over "
                        + DesignSize.GROUPS + " groups. Homes of a group in a zone share it evenly.",
                "Figures of a router are those of one group times the groups that it is before: all "
                        + DesignSize.GROUPS + ", or as many as the assignment gives the routers of a zone at a load "
                        + "factor of " + settings.loadFactor() + ".",
                "Databases, statements and what is counted are those of the axes probes and connections: "
                        + FleetModel.USUAL_CORES + " cores, 25 s at rest first and 15 s counted, a probe of "
                        + probeBytes + " bytes both ways.");
    }

    private static FigureTable duties() {
        return FigureTable.of(
                "homes-duties",
                "By the assignment for the routers of one zone (a fourteenth of the fleet, rounded down); statements "
                        + "come evenly to all routers for all groups.",
                ROUTERS,
                MEAN_GROUPS,
                MOST_GROUPS,
                MOST_FIRST,
                HANDED_ON,
                HOPS,
                MOST_CARRIED);
    }

    private static FigureTable table(String name, String about) {
        return FigureTable.of(
                name,
                about,
                ROUTERS,
                MEAN,
                MOST,
                HANDSHAKES,
                DATABASE_PROBES,
                OF_ROUTER,
                ROUTER_PROBES,
                ROUTER_BYTES,
                MOST_BYTES,
                SERVED);
    }

    private void add(FigureTable table, int fleet, int routers, double meanGroups, double mostGroups) {
        FleetMeter.Reading reading = FleetModel.settled(routers, 1, fleet * DesignSize.STATEMENTS_PER_ROUTER_AND_GROUP)
                .play(seed);
        int databases = reading.databases().size();
        double connections = reading.databases().stream()
                .mapToDouble(FleetMeter.Database::meanConnections)
                .average()
                .orElseThrow();
        int most = reading.databases().stream()
                .mapToInt(FleetMeter.Database::mostConnections)
                .max()
                .orElseThrow();
        double probes = reading.probes() / reading.seconds();
        double probesOfRouterAndGroup = probes / routers;
        table.add(
                fleet,
                connections,
                most,
                reading.handshakes() / reading.seconds() / databases,
                probes / databases,
                connections * databases / routers * meanGroups,
                probesOfRouterAndGroup * meanGroups,
                probesOfRouterAndGroup * meanGroups * probeBytes,
                probesOfRouterAndGroup * mostGroups * probeBytes,
                (double) reading.served() / reading.requests());
    }

    private static List<FittedFigure> fits(FigureTable table) {
        double design = DesignSize.ROUTERS;
        return List.of(
                FittedFigure.of(table, MEAN, design, DesignSize.CONNECTIONS_PER_DATABASE),
                FittedFigure.of(table, MOST, design, DesignSize.CONNECTIONS_PER_DATABASE),
                FittedFigure.of(table, HANDSHAKES, design),
                FittedFigure.of(table, DATABASE_PROBES, design),
                FittedFigure.of(table, ROUTER_BYTES, design, DesignSize.CONTROL_BYTES_PER_SECOND),
                FittedFigure.of(table, MOST_BYTES, design, DesignSize.CONTROL_BYTES_PER_SECOND));
    }
}
