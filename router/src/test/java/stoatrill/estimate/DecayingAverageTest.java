package stoatrill.estimate;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class DecayingAverageTest {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    @Test
    void decaysToBaselineWithoutSamples() {
        DecayingAverage estimate = new DecayingAverage(5, 2.0 * NANOS_PER_SECOND, 1);
        assertEquals(5, estimate.valueAt(0, 1), 1e-12);
        assertEquals(1 + 4 / Math.E, estimate.valueAt(2 * NANOS_PER_SECOND, 1), 1e-12);
        assertEquals(1, estimate.valueAt(1_000 * NANOS_PER_SECOND, 1), 1e-12);
    }

    @Test
    void limitsWeightOfOneSample() {
        DecayingAverage estimate = new DecayingAverage(1, 2.0 * NANOS_PER_SECOND, 0.15);
        estimate.addSample(11, 1_000 * NANOS_PER_SECOND, 1);
        assertEquals(2.5, estimate.valueAt(1_000 * NANOS_PER_SECOND, 1), 1e-9);
    }

    @Test
    void convergesToSteadySamplesAtAnyRate() {
        for (long step : new long[] {NANOS_PER_SECOND / 1000, NANOS_PER_SECOND / 10}) {
            DecayingAverage estimate = new DecayingAverage(1, 1.0 * NANOS_PER_SECOND, 0.15);
            for (long now = step; now <= 30 * NANOS_PER_SECOND; now += step) {
                estimate.addSample(7, now, 7);
            }
            assertEquals(7, estimate.valueAt(30 * NANOS_PER_SECOND, 7), 1e-6);
        }
    }
}
