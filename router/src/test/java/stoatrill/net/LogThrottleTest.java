package stoatrill.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** One kind of event gives a limited number of lines an interval. */
class LogThrottleTest {
    private static final int LINE_LIMIT_COUNT = 5;
    private static final long INTERVAL_NANOS = 1000;
    private static final int INTERVAL_COUNT = 4;

    @Test
    void permitsALimitedNumberOfLinesInEachInterval() {
        LogThrottle throttle = new LogThrottle(LINE_LIMIT_COUNT, INTERVAL_NANOS);
        int lines = 0;
        for (long now = -INTERVAL_NANOS; now < (INTERVAL_COUNT - 1) * INTERVAL_NANOS; now++) {
            lines += throttle.permits(now) ? 1 : 0;
        }
        assertEquals(INTERVAL_COUNT * LINE_LIMIT_COUNT, lines);
    }
}
