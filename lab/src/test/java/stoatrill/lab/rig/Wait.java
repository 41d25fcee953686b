package stoatrill.lab.rig;

import java.util.concurrent.locks.LockSupport;

/** Waits on conditions about processes; the test's time-out, which interrupts, ends one that never holds. */
public final class Wait {
    /** What is waited for; it may ask a process. */
    public interface Condition {
        boolean holds() throws Exception;
    }

    private Wait() {}

    /** Returns once the condition holds. */
    public static void until(Condition condition) throws Exception {
        while (!condition.holds()) {
            LockSupport.parkNanos(1_000_000L);
            if (Thread.interrupted()) {
                throw new IllegalStateException("the test's time-out came before what it waits for");
            }
        }
    }
}
