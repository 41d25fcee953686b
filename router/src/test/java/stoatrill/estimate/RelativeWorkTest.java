package stoatrill.estimate;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class RelativeWorkTest {
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final int LIGHT = 0;
    private static final int HEAVY = 1;
    private static final int WRITE = 2;
    private static final double EXACT = 1e-9;

    private final RelativeWork work = new RelativeWork(10 * SECOND_NANOS, true, true, false);

    @Test
    void everyRequestIsOneOfTheMeanUntilThereIsAnAnswer() {
        assertEquals(1, work.of(HEAVY, 40e6), EXACT);
    }

    @Test
    void everyRequestIsOneOfTheMeanWhileAnswersTookNoTime() {
        work.record(LIGHT, 0, 0);
        assertEquals(1, work.of(LIGHT, 5e6), EXACT);
        assertEquals(1, work.of(HEAVY, 40e6), EXACT);
    }

    @Test
    void aHeavyRequestIsComparedWithTheMeanOfThoseAnswered() {
        for (int i = 0; i < 100; i++) {
            work.record(LIGHT, 5e6, i);
            work.record(HEAVY, 15e6, i);
        }
        assertEquals(1.5, work.of(HEAVY, 40e6), 1e-6);
        assertEquals(1, work.of(LIGHT, 40e6), EXACT);
    }

    @Test
    void aClassWithoutAnswersIsComparedByItsUsualTime() {
        work.record(LIGHT, 5e6, 0);
        assertEquals(8, work.of(HEAVY, 40e6), EXACT);
    }

    @Test
    void olderAnswersCountLessInTheMean() {
        for (int i = 0; i < 1000; i++) {
            work.record(LIGHT, 5e6, 0);
        }
        for (int i = 0; i < 1000; i++) {
            work.record(HEAVY, 40e6, 200 * SECOND_NANOS);
        }
        assertEquals(1, work.of(HEAVY, 40e6), 1e-6);
    }

    @Test
    void writesAreNotCompared() {
        work.record(LIGHT, 5e6, 0);
        work.record(WRITE, 50e6, 0);
        assertEquals(1, work.of(WRITE, 50e6), EXACT);
        assertEquals(1, work.of(LIGHT, 5e6), EXACT);
    }
}
