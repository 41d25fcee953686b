package stoatrill.estimate;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class DecayingRateTest {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    @Test
    void convergesToSteadyRate() {
        DecayingRate rate = new DecayingRate(3.0 * NANOS_PER_SECOND);
        for (long now = 0; now < 30 * NANOS_PER_SECOND; now += NANOS_PER_SECOND / 100) {
            rate.recordEvent(now);
        }
        assertEquals(100, rate.perSecond(30 * NANOS_PER_SECOND), 1);
    }

    @Test
    void decaysByTimeConstantWithoutEvents() {
        DecayingRate rate = new DecayingRate(2.0 * NANOS_PER_SECOND);
        rate.recordEvent(5 * NANOS_PER_SECOND);
        assertEquals(0.5, rate.perSecond(5 * NANOS_PER_SECOND), 1e-12);
        assertEquals(0.5 / Math.E, rate.perSecond(7 * NANOS_PER_SECOND), 1e-12);
    }

    @Test
    void isZeroBeforeFirstEvent() {
        assertEquals(0, new DecayingRate(NANOS_PER_SECOND).perSecond(NANOS_PER_SECOND));
    }
}
