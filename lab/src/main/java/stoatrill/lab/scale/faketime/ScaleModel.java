package stoatrill.lab.scale.faketime;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** The axes at their full sizes, and where their reports go. */
public final class ScaleModel {
    private static final List<Double> BOUNDED_RATES = List.of(0.5, 1.0, 2.7, 5.0, 10.0, 27.0, 100.0);
    private static final List<Integer> FLEETS = List.of(25, 50, 100, 200, 400, 800, 1_400);
    /** The smallest has three routers in a zone and more, so that two homes are not all of them. */
    private static final List<Integer> FLEETS_WITH_HOMES = List.of(100, 200, 400, 800, 1_400);

    private static final List<Double> STATEMENT_RATES = List.of(100.0, 200.0, 400.0, 800.0, 1_571.0);
    private static final List<Integer> CORES = List.of(64, 80, 104, 128, 192, 256);
    private static final List<Integer> ZONES = List.of(2, 3, 6, 10, DesignSize.ZONES);
    private static final List<Integer> DESCRIPTORS = List.of(512, 1_024, 2_048, 4_096, 8_306);
    private static final long HOUR = 3_600 * ModelFleet.SECOND;
    private static final int CHANGES_AN_HOUR = 12;
    private static final List<Double> SERVED_CALLS = List.of(200.0, 400.0, 800.0, 1_600.0, 3_200.0);
    private static final List<Integer> RESTARTS = List.of(15, 30, 60, 120, 210);
    private static final int RACK = 40;
    private static final List<Integer> RACKS = List.of(5, 10, 20, RACK, 100, 280);
    private static final List<Integer> LISTS = List.of(100, 200, 400, 800, 1_700);

    /** What is varied. */
    public enum Axis {
        PROBES,
        CONNECTIONS,
        REGION,
        RESTARTS,
        HOMES
    }

    private ScaleModel() {}

    /**
     * Runs an axis at its full sizes.
     *
     * @param out where the report and its tables go; null for nowhere
     * @return the report as Markdown
     * @throws IOException if the files can't be written
     */
    public static String run(Axis axis, long seed, Path out) throws IOException {
        AxisReport report =
                switch (axis) {
                    case PROBES ->
                        new ProbeAxis(seed)
                                .run(
                                        BOUNDED_RATES,
                                        FLEETS,
                                        DesignSize.STATEMENTS_PER_GROUP,
                                        DesignSize.GROUPS,
                                        CORES,
                                        ZONES,
                                        DesignSize.ROUTERS);
                    case CONNECTIONS ->
                        new ConnectionAxis(seed)
                                .run(FLEETS, STATEMENT_RATES, DesignSize.ROUTERS / 2, DESCRIPTORS, DesignSize.GROUPS);
                    case REGION ->
                        new RegionAxis(seed, DesignSize.DATABASES, HOUR, CHANGES_AN_HOUR)
                                .run(FLEETS, DesignSize.DISCOVERY_CALLS_PER_SECOND, SERVED_CALLS, DesignSize.ROUTERS);
                    case RESTARTS ->
                        new RestartAxis(seed, DesignSize.DATABASES)
                                .run(RESTARTS, RACKS, DesignSize.ROUTERS, SERVED_CALLS, RACK, LISTS);
                    case HOMES -> new HomesAxis(seed).run(FLEETS_WITH_HOMES);
                };
        if (out != null) {
            ReportFiles.write(out, report, seed);
        }
        return ReportFiles.markdown(report, seed);
    }
}
