package stoatrill.lab.flood;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;
import stoatrill.lab.flood.FloodFault.CrowdOf;
import stoatrill.lab.flood.FloodFault.FloodOf;
import stoatrill.lab.flood.FloodFault.HangUps;
import stoatrill.lab.flood.FloodFault.HangingNode;
import stoatrill.lab.flood.FloodFault.Pause;
import stoatrill.lab.flood.LeavingWriter.Leave;

/**
 * Plays a {@link FloodPlan} on a real router and ends the router by SIGTERM while clients still flood it and others
 * keep using their connections. Judged by other clients' answers, writes that ran twice, and the router's memory, log
 * and end. For one thread.
 */
public final class FloodSoak {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int SIGNALS_IN_SERIES_COUNT = 3;
    private static final int PROBES_BEFORE_COUNT = 20;
    private static final int PROBES_AT_REST_COUNT = 30;
    private static final int FLOODING_CLIENTS_AT_END_COUNT = 3;
    private static final int WRITES_COUNT = 300;
    private static final int REPEATS_COUNT = 100;
    private static final int RAN_BEFORE_LEAVING_COUNT = 10;
    private static final long WRITE_WAIT_MILLIS = 3_000;
    private static final long LONGEST_STAY_NANOS = 1_000 * NANOS_PER_MILLI;
    private static final long PATIENCE_NANOS = 20_000 * NANOS_PER_MILLI;
    /** The longest deadline of the clients and 0.7 s, after which SIGKILL follows SIGTERM. */
    private static final long KILL_AFTER_TERM_MILLIS = 3_700;

    private static final long MOST_RESIDENT_KIB = 192 * 1024L;

    /**
     * What came of a soak.
     *
     * @param probeCount reads of other clients, {@code lost} those answered too late or never
     * @param turnedAwayCount reads whose connections the router closed unread before it was told to end
     * @param ranTwice ids of writes that ran more than once
     * @param troubles lines of the router's log that tell of an error
     * @param endedInTime whether the router ended by itself before SIGKILL
     * @param lostAfterRestart reads answered too late or never by the router that started again under the flood
     */
    public record Result(
            long seed,
            int faultCount,
            int probeCount,
            long turnedAwayCount,
            List<String> lost,
            List<String> ranTwice,
            long residentKib,
            List<String> troubles,
            boolean endedInTime,
            List<String> lostAfterRestart) {
        /** Whether every invariant held. */
        public boolean clean() {
            return lost.isEmpty()
                    && ranTwice.isEmpty()
                    && troubles.isEmpty()
                    && endedInTime
                    && lostAfterRestart.isEmpty()
                    && residentKib <= MOST_RESIDENT_KIB;
        }
    }

    private record Step(long at, FloodFault fault, boolean begins) {}

    private interface Condition {
        boolean holds() throws IOException;
    }

    private final FloodRig rig;
    private final Map<FloodFault, AutoCloseable> running = new HashMap<>();

    private FloodSoak(FloodRig rig) {
        this.rig = rig;
    }

    /** Plays the soak of a seed with faults for so many nanoseconds; settings and logs go to {@code dir}. */
    public static Result play(long seed, long lengthNanos, Path dir) throws Exception {
        List<FloodFault> faults = FloodPlan.draw(seed, FloodRig.NODES_COUNT, lengthNanos);
        try (FloodRig rig = new FloodRig(dir)) {
            FloodSoak soak = new FloodSoak(rig);
            Probes flooded = new Probes(rig.flooded().port());
            Probes quiet = new Probes(rig.quiet().port());
            long turnedAwayCount;
            long residentKib;
            boolean endedInTime;
            List<String> troubles;
            List<String> lostAfterRestart;
            try (flooded;
                    quiet) {
                await(() -> flooded.count() >= PROBES_BEFORE_COUNT && quiet.count() >= PROBES_BEFORE_COUNT);
                soak.play(faults);
                soak.leaveUnderWrites(seed % 2 == 0 ? Leave.CLOSE : Leave.RESET);
                int atRest = flooded.count() + PROBES_AT_REST_COUNT;
                await(() -> flooded.count() >= atRest);
                turnedAwayCount = FloodVerdict.turnedAway(flooded.results());
                residentKib = rig.residentKib();
                try (Flood flood = soak.floodForEnd(seed)) {
                    await(() -> flood.sentBytes() > 0);
                    endedInTime = soak.endRouter();
                    troubles = rig.troubles();
                    flooded.close();
                    lostAfterRestart = soak.restartRouter(quiet);
                }
            } finally {
                soak.endAll();
            }
            return new Result(
                    seed,
                    faults.size(),
                    flooded.count(),
                    turnedAwayCount,
                    FloodVerdict.lost(flooded.results(), quiet.results()),
                    soak.ranTwice(),
                    residentKib,
                    troubles,
                    endedInTime,
                    lostAfterRestart);
        }
    }

    private static void await(Condition condition) throws IOException {
        await(condition, PATIENCE_NANOS);
    }

    private static void await(Condition condition, long mostNanos) throws IOException {
        long until = System.nanoTime() + mostNanos;
        while (!condition.holds() && System.nanoTime() < until) {
            LockSupport.parkNanos(NANOS_PER_MILLI);
        }
    }

    private void play(List<FloodFault> faults) throws Exception {
        List<Step> steps = new ArrayList<>();
        for (FloodFault fault : faults) {
            steps.add(new Step(fault.beginsAt(), fault, true));
            steps.add(new Step(fault.beginsAt() + fault.spanNanos(), fault, false));
        }
        steps.sort(Comparator.comparingLong(Step::at));
        long startedAt = System.nanoTime();
        for (Step step : steps) {
            for (long wait; (wait = startedAt + step.at() - System.nanoTime()) > 0; ) {
                LockSupport.parkNanos(wait);
            }
            if (step.begins()) {
                begin(step.fault());
            } else {
                end(step.fault());
            }
        }
    }

    private void begin(FloodFault fault) throws IOException {
        int port = rig.flooded().port();
        if (fault.disturbance() instanceof FloodOf flood) {
            running.put(fault, new Flood(flood.kind(), fault.clientCount(), port));
        } else if (fault.disturbance() instanceof CrowdOf crowd) {
            running.put(fault, new Crowd(crowd.kind(), fault.clientCount(), port));
        } else if (fault.disturbance() instanceof Pause) {
            rig.flooded().signal("STOP");
            running.put(fault, () -> rig.flooded().signal("CONT"));
        } else if (fault.disturbance() instanceof HangingNode hanging) {
            rig.deployment().hang(hanging.node(), true);
            running.put(fault, () -> rig.deployment().hang(hanging.node(), false));
        } else if (fault.disturbance() instanceof HangUps) {
            for (int i = 0; i < SIGNALS_IN_SERIES_COUNT; i++) {
                rig.flooded().signal("HUP");
            }
        }
    }

    private void end(FloodFault fault) throws Exception {
        AutoCloseable effect = running.remove(fault);
        if (effect != null) {
            effect.close();
        }
    }

    private void endAll() throws Exception {
        for (FloodFault fault : List.copyOf(running.keySet())) {
            end(fault);
        }
    }

    /** A client leaves under its writes, and another one sends some of them again. */
    private void leaveUnderWrites(Leave how) throws IOException {
        List<String> ids = LeavingWriter.ids("left", WRITES_COUNT);
        try (LeavingWriter first = new LeavingWriter(rig.flooded().port())) {
            first.send(ids, WRITE_WAIT_MILLIS);
            // Fewer may run, as a router that has just been flooded may refuse them.
            await(() -> rig.deployment().ran().size() >= RAN_BEFORE_LEAVING_COUNT, LONGEST_STAY_NANOS);
            first.leave(how);
        }
        try (LeavingWriter second = new LeavingWriter(rig.flooded().port())) {
            second.send(ids.subList(0, REPEATS_COUNT), WRITE_WAIT_MILLIS);
            second.readAnswers(REPEATS_COUNT);
        }
    }

    private Flood floodForEnd(long seed) {
        List<FloodKind> kinds = List.of(FloodKind.values());
        FloodKind kind = kinds.get((int) (seed % kinds.size()));
        return new Flood(kind, FLOODING_CLIENTS_AT_END_COUNT, rig.flooded().port());
    }

    /** Sends a series of SIGTERM; returns whether the router ended before SIGKILL was due. */
    private boolean endRouter() throws Exception {
        for (int i = 0; i < SIGNALS_IN_SERIES_COUNT; i++) {
            rig.flooded().signal("TERM");
        }
        long killAt = System.nanoTime() + KILL_AFTER_TERM_MILLIS * NANOS_PER_MILLI;
        while (rig.flooded().alive() && System.nanoTime() < killAt) {
            LockSupport.parkNanos(NANOS_PER_MILLI);
        }
        boolean hasEnded = !rig.flooded().alive();
        if (!hasEnded) {
            rig.flooded().signal("KILL");
            await(() -> !rig.flooded().alive());
        }
        return hasEnded;
    }

    /** Starts the router again where the flood still comes in; returns the probes that it lost once it was ready. */
    private List<String> restartRouter(Probes quiet) throws IOException {
        rig.restartFlooded();
        try (ProbeConnection first = new ProbeConnection(rig.flooded().port())) {
            first.ask(WireMessages.query("")); // answered once the router is ready
        }
        Probes probes = new Probes(rig.flooded().port());
        try (probes) {
            await(() -> probes.count() >= PROBES_AT_REST_COUNT);
        }
        return FloodVerdict.lost(probes.results(), quiet.results());
    }

    private List<String> ranTwice() throws IOException {
        Map<String, Integer> ran = rig.deployment().ran();
        return ran.keySet().stream().filter(id -> ran.get(id) > 1).sorted().toList();
    }
}
