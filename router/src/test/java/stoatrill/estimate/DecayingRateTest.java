package stoatrill.estimate;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class DecayingRateTest {
    private static final long SECOND_NANOS = 1_000_000_000L;

    @Test
    void convergesToSteadyRate() {
        DecayingRate rate = new DecayingRate(3.0 * SECOND_NANOS);
        for (long now = 0; now < 30 * SECOND_NANOS; now += SECOND_NANOS / 100) {
            rate.recordEvent(now);
        }
        assertEquals(100, rate.perSecond(30 * SECOND_NANOS), 1);
    }

    @Test
    void decaysByTimeConstantWithoutEvents() {
        DecayingRate rate = new DecayingRate(2.0 * SECOND_NANOS);
        rate.recordEvent(5 * SECOND_NANOS);
        assertEquals(0.5, rate.perSecond(5 * SECOND_NANOS), 1e-12);
        assertEquals(0.5 / Math.E, rate.perSecond(7 * SECOND_NANOS), 1e-12);
    }

    @Test
    void isZeroBeforeFirstEvent() {
        assertEquals(0, new DecayingRate(SECOND_NANOS).perSecond(SECOND_NANOS));
    }
}
