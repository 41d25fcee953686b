package stoatrill.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Ids are remembered for the retention at least, and the store tells when it can't promise that. */
class RecentWritesTest {
    private static final long RETENTION_NANOS = 1_000;
    private static final int CAPACITY_COUNT = 300;
    private static final long SEED = 7;

    private final RecentWrites writes = new RecentWrites(RETENTION_NANOS, CAPACITY_COUNT, SEED);

    @Test
    void remembersEachIdForTheRetention() {
        for (int i = 0; i < CAPACITY_COUNT; i++) {
            writes.add("id" + i, i);
            for (int j = 0; j <= i; j++) {
                assertTrue(writes.contains("id" + j, i), "id" + j + " at " + i);
            }
            assertFalse(writes.contains("id" + (i + 1), i));
        }
        assertTrue(writes.contains("id0", RETENTION_NANOS));
    }

    @Test
    void forgetsIdsAQuarterAfterTheRetentionAtTheLatest() {
        for (int i = 0; i < CAPACITY_COUNT; i++) {
            writes.add("id" + i, 0);
        }
        assertTrue(writes.isFull(RETENTION_NANOS));
        long forgottenAt = RETENTION_NANOS + RETENTION_NANOS / 4;
        assertFalse(writes.isFull(forgottenAt));
        assertFalse(writes.contains("id0", forgottenAt));
        assertEquals(0, writes.size());
    }

    @Test
    void isFullAtItsCapacityAndStillRemembersMore() {
        for (int i = 0; i < CAPACITY_COUNT - 1; i++) {
            writes.add("id" + i, 0);
            writes.add("id" + i, 0);
        }
        assertFalse(writes.isFull(0), "the same id counts once");
        writes.add("last", 0);
        assertTrue(writes.isFull(0));
        writes.add("beyond", 0);
        assertTrue(writes.contains("beyond", 0));
    }
}
