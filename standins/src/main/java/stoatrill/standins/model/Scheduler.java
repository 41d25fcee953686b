package stoatrill.standins.model;

/** The time that a model lives in, in nanoseconds; never goes back. */
public interface Scheduler {
    /** The present. */
    long now();

    /** Runs an action at a time; one in the past runs next. Equal times keep the order of the calls. */
    void at(long time, Runnable action);
}
