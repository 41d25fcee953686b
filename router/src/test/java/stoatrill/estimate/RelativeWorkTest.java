package stoatrill.estimate;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class RelativeWorkTest {
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final int LIGHT_CLASS_INDEX = 0;
    private static final int HEAVY_CLASS_INDEX = 1;
    private static final int WRITE_CLASS_INDEX = 2;
    private static final double TOLERANCE_RATIO = 1e-9;

    private final RelativeWork work = new RelativeWork(10 * SECOND_NANOS, true, true, false);

    @Test
    void everyRequestIsOneOfTheMeanUntilThereIsAnAnswer() {
        assertEquals(1, work.of(HEAVY_CLASS_INDEX, 40e6), TOLERANCE_RATIO);
    }

    @Test
    void everyRequestIsOneOfTheMeanWhileAnswersTookNoTime() {
        work.record(LIGHT_CLASS_INDEX, 0, 0);
        assertEquals(1, work.of(LIGHT_CLASS_INDEX, 5e6), TOLERANCE_RATIO);
        assertEquals(1, work.of(HEAVY_CLASS_INDEX, 40e6), TOLERANCE_RATIO);
    }

    @Test
    void aHeavyRequestIsComparedWithTheMeanOfThoseAnswered() {
        for (int i = 0; i < 100; i++) {
            work.record(LIGHT_CLASS_INDEX, 5e6, i);
            work.record(HEAVY_CLASS_INDEX, 15e6, i);
        }
        assertEquals(1.5, work.of(HEAVY_CLASS_INDEX, 40e6), 1e-6);
        assertEquals(1, work.of(LIGHT_CLASS_INDEX, 40e6), TOLERANCE_RATIO);
    }

    @Test
    void aClassWithoutAnswersIsComparedByItsUsualTime() {
        work.record(LIGHT_CLASS_INDEX, 5e6, 0);
        assertEquals(8, work.of(HEAVY_CLASS_INDEX, 40e6), TOLERANCE_RATIO);
    }

    @Test
    void olderAnswersCountLessInTheMean() {
        for (int i = 0; i < 1000; i++) {
            work.record(LIGHT_CLASS_INDEX, 5e6, 0);
        }
        for (int i = 0; i < 1000; i++) {
            work.record(HEAVY_CLASS_INDEX, 40e6, 200 * SECOND_NANOS);
        }
        assertEquals(1, work.of(HEAVY_CLASS_INDEX, 40e6), 1e-6);
    }

    @Test
    void writesAreNotCompared() {
        work.record(LIGHT_CLASS_INDEX, 5e6, 0);
        work.record(WRITE_CLASS_INDEX, 50e6, 0);
        assertEquals(1, work.of(WRITE_CLASS_INDEX, 50e6), TOLERANCE_RATIO);
        assertEquals(1, work.of(LIGHT_CLASS_INDEX, 5e6), TOLERANCE_RATIO);
    }
}
