package stoatrill.lab.rig;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.locks.LockSupport;
import stoatrill.lab.rig.SoakFault.Kind;

/**
 * Plays a {@link SoakPlan} on real routers under load and judges what came of it: the rules of the {@link Checker}, and
 * what the routers hold once all faults are over. For one thread.
 */
public final class Soak {
    private static final long SECOND = 1_000_000_000L;
    /** Clients for each router, and the share of their requests that are uploads. */
    private static final double UPLOADS = 0.3;
    /** Requests of each client before the first fault, and after the last. */
    private static final int QUIET_OPS = 5;

    private static final long PATIENCE = 60 * SECOND;
    private static final int HANGUPS = 3;
    /** Descriptors that a router may hold at rest above those of its start: connections to servers that rest. */
    private static final int MOST_DESCRIPTORS_MORE = 64;

    /** In soaks with copies, every so many answers come twice. */
    private static final int COPY_INTERVAL = 20;

    private static final long MOST_RESIDENT_KIB = 192 * 1024L;

    /**
     * What came of a soak.
     *
     * @param faults how many faults were played
     * @param failedCalls how many system calls were made to fail
     * @param leaks routers that hold more than a router at rest may
     */
    public record Result(long seed, int faults, long failedCalls, Checker.Verdict verdict, List<String> leaks) {
        /** Whether every invariant held. */
        public boolean clean() {
            return verdict.clean() && leaks.isEmpty();
        }
    }

    private record Step(long at, SoakFault fault, boolean begins) {}

    private final Rig rig;
    private final int routers;
    private final Set<Integer> down = new HashSet<>();
    private final List<Thread> restarts = new ArrayList<>();

    private Soak(Rig rig, int routers) {
        this.rig = rig;
        this.routers = routers;
    }

    /** Plays the soak of a seed for {@code length} nanoseconds; histories and logs go to {@code dir}. */
    public static Result play(RunLine run, long seed, int routers, int nodes, long length, Path dir)
            throws IOException, InterruptedException {
        CallFaultLibrary library = CallFaultLibrary.build(dir);
        List<SoakFault> faults = SoakPlan.draw(seed, routers, nodes, length);
        try (Rig rig = new Rig(run, routers, nodes, dir, library)) {
            Soak soak = new Soak(rig, routers);
            int[] descriptors = soak.descriptors();
            rig.copyAnswers(hasCopies(seed) ? COPY_INTERVAL : 0);
            rig.clients(routers, UPLOADS);
            soak.quiet();
            soak.play(faults);
            soak.quiet();
            List<String> lines = rig.finish();
            List<String> leaks = soak.leaks(descriptors);
            long failed = 0;
            for (int i = 0; i < routers; i++) {
                for (SystemCall call : SystemCall.values()) {
                    failed += rig.calls(i).failed(call);
                }
            }
            java.nio.file.Files.write(dir.resolve("history.tsv"), lines);
            return new Result(seed, faults.size(), failed, Checker.check(lines), leaks);
        }
    }

    /** Whether nodes send copies of answers all the time: in the soaks of odd seeds. */
    static boolean hasCopies(long seed) {
        return seed % 2 != 0;
    }

    private void play(List<SoakFault> faults) throws IOException, InterruptedException {
        List<Step> steps = new ArrayList<>();
        for (SoakFault fault : faults) {
            steps.add(new Step(fault.at(), fault, true));
            steps.add(new Step(fault.at() + fault.span(), fault, false));
        }
        steps.sort(Comparator.comparingLong(Step::at).thenComparing(step -> step.begins() ? 1 : 0));
        long start = System.nanoTime();
        for (Step step : steps) {
            for (long wait; (wait = start + step.at() - System.nanoTime()) > 0; ) {
                LockSupport.parkNanos(wait);
                if (Thread.interrupted()) {
                    throw new InterruptedException("the soak was stopped");
                }
            }
            apply(step.fault(), step.begins());
        }
        for (Thread restart : restarts) {
            restart.join();
        }
        for (int i = 0; i < routers; i++) {
            heal(i);
        }
    }

    private void apply(SoakFault fault, boolean begins) throws IOException, InterruptedException {
        int router = fault.router();
        switch (fault.kind()) {
            case CALLS -> calls(fault, begins);
            case SHORT_PAUSE, PAUSE -> {
                if (begins) {
                    rig.pause(router);
                } else {
                    rig.resume(router);
                }
            }
            case KILL, TERM -> {
                if (begins) {
                    end(router, fault.kind() == Kind.TERM);
                }
            }
            case HANGUP -> {
                for (int n = 0; begins && n < HANGUPS && !isDown(router); n++) {
                    rig.hangUp(router);
                }
            }
            case RESET -> rig.resetAnswers(fault.node(), begins ? Integer.MAX_VALUE : 0);
            case CUT -> rig.cut(fault.node(), begins);
            case LAG -> rig.lag(fault.node(), begins);
            case SILENCE -> {
                if (begins) {
                    rig.silence();
                }
            }
            case DISCOVERY_AWAY -> rig.discoveryAway(begins);
            case CLOCK -> rig.stepWallClock(router, begins ? fault.step() : 0);
        }
    }

    private void calls(SoakFault fault, boolean begins) throws IOException {
        if (!begins) {
            rig.healCalls(fault.router(), fault.call());
        } else if (!isDown(fault.router())) {
            rig.failCalls(fault.router(), fault.call(), fault.share(), fault.errors());
        }
    }

    private boolean isDown(int router) {
        synchronized (down) {
            return down.contains(router);
        }
    }

    private void heal(int router) throws IOException {
        for (SystemCall call : SystemCall.values()) {
            rig.calls(router).heal(call);
        }
    }

    /** Ends a router and starts it again, beside the schedule; a start needs files, which are whole by then. */
    private void end(int router, boolean inOrder) throws IOException {
        synchronized (down) {
            down.add(router);
        }
        heal(router);
        Thread restart = new Thread(
                () -> {
                    try {
                        if (inOrder) {
                            rig.termThenKill(router);
                        } else {
                            rig.kill(router);
                        }
                        rig.restart(router);
                        synchronized (down) {
                            down.remove(router);
                        }
                    } catch (IOException | InterruptedException e) {
                        rig.history().logged("router" + router, "not started again: " + e.getMessage());
                    }
                },
                "soak-restart");
        restart.setDaemon(true);
        restart.start();
        restarts.add(restart);
    }

    /** Waits until each client has had some more requests answered, or for long enough. */
    private void quiet() {
        long before = rig.history().ops();
        long until = System.nanoTime() + PATIENCE;
        while (rig.history().ops() < before + (long) QUIET_OPS * routers && System.nanoTime() < until) {
            LockSupport.parkNanos(SECOND / 100);
        }
    }

    // ---- What is held at rest ----

    private int[] descriptors() throws IOException {
        int[] held = new int[routers];
        for (int i = 0; i < routers; i++) {
            held[i] = rig.descriptors(i);
        }
        return held;
    }

    private List<String> leaks(int[] before) throws IOException {
        List<String> leaks = new ArrayList<>();
        for (int i = 0; i < routers; i++) {
            long until = System.nanoTime() + PATIENCE;
            while (rig.descriptors(i) > before[i] + MOST_DESCRIPTORS_MORE && System.nanoTime() < until) {
                LockSupport.parkNanos(SECOND / 10);
            }
            int held = rig.descriptors(i);
            if (held > before[i] + MOST_DESCRIPTORS_MORE) {
                leaks.add("router" + i + " holds " + held + " descriptors, " + before[i] + " at its start");
            }
            long resident = rig.residentKib(i);
            if (resident > MOST_RESIDENT_KIB) {
                leaks.add("router" + i + " has " + resident + " KiB resident");
            }
        }
        return leaks;
    }
}
