package stoatrill.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Clients were not read at all while others kept too much input. */
class InputBudgetTest {
    private static final int CLIENT_COUNT = 700;
    private static final int MEBIBYTE = 1 << 20;
    private static final long MOST_BYTES = 12L * MEBIBYTE;

    private final InputBudget budget = new InputBudget();

    @Test
    void aClientBelowItsShareMayBeReadThoughAllIsUsedUp() {
        budget.add(64L * MEBIBYTE);
        assertTrue(budget.isExhausted());
        assertTrue(budget.readableBytes(0, CLIENT_COUNT, true) > 0);
        assertTrue(budget.readableBytes(1000, CLIENT_COUNT, false) > 0);
    }

    @Test
    void aClientOverItsShareWaitsUntilThereIsRoom() {
        budget.add(64L * MEBIBYTE);
        assertEquals(0, budget.readableBytes(MEBIBYTE, CLIENT_COUNT, true));
        assertEquals(0, budget.readableBytes(MEBIBYTE, CLIENT_COUNT, false));
    }

    @Test
    void theRestOfALargeMessageMayBeReadWhileThereIsRoom() {
        budget.add(4L * MEBIBYTE);
        assertTrue(budget.readableBytes(MEBIBYTE, CLIENT_COUNT, true) > 0);
        assertEquals(0, budget.readableBytes(MEBIBYTE, CLIENT_COUNT, false));
    }

    @Test
    void allClientsTogetherStayWithinTheBound() {
        long[] kept = new long[CLIENT_COUNT];
        for (int round = 0; round < 100; round++) {
            for (int client = 0; client < CLIENT_COUNT; client++) {
                long read = Math.min(64 * 1024, budget.readableBytes(kept[client], CLIENT_COUNT, true));
                kept[client] += read;
                budget.add(read);
            }
        }
        long total = 0;
        for (long bytes : kept) {
            total += bytes;
        }
        assertTrue(total <= MOST_BYTES, total + " bytes");
    }
}
