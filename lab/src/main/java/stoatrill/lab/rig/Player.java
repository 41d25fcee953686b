package stoatrill.lab.rig;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.locks.LockSupport;

/**
 * Plays a schedule of {@link Fault}s on a {@link Rig} in real time, on the calling thread: each fault begins at its
 * time from the start and is undone at its end (a paused router resumed, a killed or ended one started again, a
 * deaf one hears again, a relay healed). Every step is recorded in the rig's history.
 */
public final class Player {
    private Player() {}

    private record Step(long at, Fault fault, boolean begins) {}

    /** Plays {@code faults} and returns when the last is undone. */
    public static void play(Rig rig, List<Fault> faults) throws IOException, InterruptedException {
        List<Step> steps = new ArrayList<>();
        for (Fault f : faults) {
            steps.add(new Step(f.at(), f, true));
            steps.add(new Step(f.at() + f.span(), f, false));
        }
        steps.sort(Comparator.comparingLong(Step::at).thenComparing(s -> s.begins() ? 1 : 0));
        long start = System.nanoTime();
        for (Step s : steps) {
            for (long wait; (wait = start + s.at() - System.nanoTime()) > 0; ) {
                LockSupport.parkNanos(wait);
                if (Thread.interrupted()) {
                    throw new InterruptedException("the schedule was stopped");
                }
            }
            apply(rig, s.fault(), s.begins());
        }
    }

    private static void apply(Rig rig, Fault f, boolean begins) throws IOException, InterruptedException {
        switch (f.kind()) {
            case PAUSE -> {
                if (begins) {
                    rig.pause(f.router());
                } else {
                    rig.resume(f.router());
                }
            }
            case KILL -> {
                if (begins) {
                    rig.kill(f.router());
                } else {
                    rig.restart(f.router());
                }
            }
            case TERM -> {
                if (begins) {
                    rig.term(f.router());
                } else {
                    rig.restart(f.router());
                }
            }
            case DEAFEN -> rig.deafen(f.router(), f.node(), begins);
            case RESET -> rig.resetAnswers(f.node(), begins ? Integer.MAX_VALUE : 0);
            case LAG -> rig.lag(f.node(), begins);
            case CUT -> rig.cut(f.node(), begins);
        }
    }
}
