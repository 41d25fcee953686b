package stoatrill.lab.world;

/** How many of something came in the second of the model's clock that had most of them. */
final class PerSecond {
    private static final long SECOND = 1_000_000_000L;

    private long second = Long.MIN_VALUE;
    private int count;
    private int most;

    /** One more at a time in nanoseconds, which never goes back. */
    void add(long now) {
        long at = Math.floorDiv(now, SECOND);
        count = at == second ? count + 1 : 1;
        second = at;
        most = Math.max(most, count);
    }

    int most() {
        return most;
    }
}
