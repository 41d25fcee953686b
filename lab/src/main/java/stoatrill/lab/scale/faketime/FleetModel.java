package stoatrill.lab.scale.faketime;

import stoatrill.lab.load.Range;
import stoatrill.lab.policy.Policy;
import stoatrill.lab.world.FleetMeter;
import stoatrill.lab.world.Plan;
import stoatrill.lab.world.World;
import stoatrill.settings.BlockReader;
import stoatrill.settings.Problems;
import stoatrill.settings.SettingsException;
import stoatrill.settings.SettingsFile;

/**
 * Routers before groups of databases that have room for all of their statements, so that what is measured is the
 * routers' own doing. Members of a group stand in different zones; routers are spread evenly over all zones.
 *
 * @param routers how many routers
 * @param groups how many groups, of {@link DesignSize#DATABASES_PER_GROUP} databases each
 * @param statementsPerSecond statements a second of all routers together
 * @param zones how many zones the routers are spread over; members of a group stand in the first of them, one each
 * @param cores of each database
 * @param descriptors file descriptors of a router, which bound its connections to databases
 * @param warmUp nanoseconds that are not counted
 * @param counted nanoseconds that are counted after them
 */
record FleetModel(
        int routers,
        int groups,
        double statementsPerSecond,
        int zones,
        int cores,
        int descriptors,
        long warmUp,
        long counted) {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    /** Connections rest for 21 s at most, so after 25 s they are as many as they will be. */
    static final long SETTLED = 25 * SECOND;

    static final long COUNTED = 15 * SECOND;
    /** So many that they bound nothing. */
    static final int UNBOUNDED = 65_536;

    /** With these the designed traffic of a group keeps 37% of its databases' cores at work. */
    static final int USUAL_CORES = 128;

    /** Core seconds that a statement takes on the mean of all classes. */
    static final double WORK_OF_A_STATEMENT = 0.035;

    /** A fleet counted for {@link #COUNTED} once its connections have settled, with no bound on descriptors. */
    static FleetModel settled(int routers, int groups, double statementsPerSecond) {
        return new FleetModel(
                routers, groups, statementsPerSecond, DesignSize.ZONES, USUAL_CORES, UNBOUNDED, SETTLED, COUNTED);
    }

    /** The same fleet with another number of descriptors for each router. */
    FleetModel withDescriptors(int each) {
        return new FleetModel(routers, groups, statementsPerSecond, zones, cores, each, warmUp, counted);
    }

    /** The same fleet before databases with another number of cores. */
    FleetModel withCores(int each) {
        return new FleetModel(routers, groups, statementsPerSecond, zones, each, descriptors, warmUp, counted);
    }

    /** The same fleet in another number of zones. */
    FleetModel inZones(int many) {
        return new FleetModel(routers, groups, statementsPerSecond, many, cores, descriptors, warmUp, counted);
    }

    /** The same fleet counted at other times, in nanoseconds. */
    FleetModel counted(long after, long span) {
        return new FleetModel(routers, groups, statementsPerSecond, zones, cores, descriptors, after, span);
    }

    /** The part of all databases' cores that the statements themselves take. */
    double load() {
        return statementsPerSecond * WORK_OF_A_STATEMENT / (groups * DesignSize.DATABASES_PER_GROUP * cores);
    }

    /** Plays the fleet; the same seed gives the same reading. */
    FleetMeter.Reading play(long seed) {
        World world = new World(plan(), seed, Policy.DECIDE);
        FleetMeter meter = new FleetMeter(warmUp);
        world.measure(meter);
        world.run();
        return meter.reading();
    }

    private Plan plan() {
        Plan plan = usual();
        plan.length = warmUp + counted;
        plan.zones.clear();
        for (int zone = 0; zone < zones; zone++) {
            plan.zones.add("z" + zone);
        }
        plan.routers = routers;
        plan.groups = groups;
        plan.nodes = groups * DesignSize.DATABASES_PER_GROUP;
        plan.cores = cores;
        plan.rate = statementsPerSecond;
        plan.swing = Range.of(0);
        plan.sockets = descriptors;
        plan.near = Range.of(0.2 * MILLI);
        plan.far = Range.of(2.0 * MILLI);
        plan.handshake = Range.of(4.0 * MILLI);
        plan.speed = Range.of(1);
        plan.speedSpread = Range.of(0);
        plan.errors = 0;
        plan.ship = Range.of(7.0 * MILLI);
        plan.reportPeriod = Range.of(150.0 * MILLI);
        plan.reportDelay = Range.of(45.0 * MILLI);
        plan.listCall = MILLI / 10;
        return plan;
    }

    /** The lab's usual model: its classes of statements, and what a database is like. */
    private static Plan usual() {
        try {
            Problems problems = new Problems();
            Plan plan = Plan.read(new BlockReader(SettingsFile.parse("model", "model {\n}\n"), problems));
            problems.throwIfAny();
            return plan;
        } catch (SettingsException e) {
            throw new IllegalStateException(e);
        }
    }
}
