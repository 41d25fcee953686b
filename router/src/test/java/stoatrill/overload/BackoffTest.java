package stoatrill.overload;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class BackoffTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private final SplittableRandom random = new SplittableRandom(7);

    @Test
    void doublesWaitUpToLimitAndResetsAfterSuccess() {
        Backoff backoff = new Backoff(500 * NANOS_PER_MILLI, 1_300.0 * NANOS_PER_MILLI);
        assertWithinJitter(backoff.nextWait(0, random), 500);
        assertWithinJitter(backoff.nextWait(0, random), 1_000);
        for (int i = 0; i < 100; i++) {
            assertWithinJitter(backoff.nextWait(0, random), 1_300);
        }
        backoff.reset();
        assertWithinJitter(backoff.nextWait(0, random), 500);
    }

    @Test
    void subtractsCallDurationButKeepsFirstWait() {
        Backoff backoff = new Backoff(500 * NANOS_PER_MILLI, 2_000.0 * NANOS_PER_MILLI);
        backoff.nextWait(0, random);
        backoff.nextWait(0, random);
        for (int i = 0; i < 100; i++) {
            long wait = backoff.nextWait(60_000 * NANOS_PER_MILLI, random);
            assertWithinJitter(wait, 500);
        }
    }

    @Test
    void usesFirstWaitIfLimitIsBelowIt() {
        Backoff backoff = new Backoff(500 * NANOS_PER_MILLI, 0);
        for (int i = 0; i < 100; i++) {
            assertWithinJitter(backoff.nextWait(0, random), 500);
        }
    }

    private static void assertWithinJitter(long wait, long meanMillis) {
        assertTrue(wait >= meanMillis * NANOS_PER_MILLI / 2, "too short: " + wait);
        assertTrue(wait <= meanMillis * NANOS_PER_MILLI * Backoff.MAX_JITTER_FACTOR, "too long: " + wait);
    }
}
