package stoatrill.contract;

/**
 * A budget over a sliding window: at most the limit in any window of that length, including across midnight and in
 * bursts. Requests are counted in slots of 1/64 of the window. One slot more than the window is counted, so the budget
 * may be stricter by 1/64 of the window and never admits more than the limit. Times are in nanoseconds and must not go
 * back.
 */
final class WindowBudget {
    private static final int SLOT_COUNT = 64;

    private final long limit;
    private final long slotNanos;
    private final long[] spentBySlot = new long[SLOT_COUNT + 1];
    private long totalSpent;
    private long newestSlot;

    WindowBudget(long limit, long window, long now) {
        this.limit = limit;
        this.slotNanos = Math.max(1, (window + SLOT_COUNT - 1) / SLOT_COUNT);
        this.newestSlot = now / slotNanos;
    }

    /** Drops the slots that have left the window. */
    private void advanceTo(long now) {
        long currentSlot = now / slotNanos;
        if (currentSlot - newestSlot > SLOT_COUNT) {
            java.util.Arrays.fill(spentBySlot, 0);
            totalSpent = 0;
            newestSlot = currentSlot;
        }
        while (newestSlot < currentSlot) {
            newestSlot++;
            int index = indexOf(newestSlot);
            totalSpent -= spentBySlot[index];
            spentBySlot[index] = 0;
        }
    }

    private static int indexOf(long slot) {
        return (int) Math.floorMod(slot, (long) SLOT_COUNT + 1);
    }

    /** Whether there is room for a request now. */
    boolean hasRoom(long now) {
        advanceTo(now);
        return totalSpent < limit;
    }

    /** Takes one request in the newest slot. */
    void take() {
        spentBySlot[indexOf(newestSlot)]++;
        totalSpent++;
    }

    /** Refunds one request that was taken at a time. Has no effect once that time has left the window. */
    void refund(long takenAt) {
        long takenSlot = takenAt / slotNanos;
        if (newestSlot - takenSlot <= SLOT_COUNT && spentBySlot[indexOf(takenSlot)] > 0) {
            spentBySlot[indexOf(takenSlot)]--;
            totalSpent--;
        }
    }

    /** Returns the first time at which there is room for a request if none is taken until then. */
    long readyAt(long now) {
        advanceTo(now);
        long remaining = totalSpent;
        for (long slot = newestSlot - SLOT_COUNT; slot <= newestSlot; slot++) {
            if (remaining < limit) {
                return slot == newestSlot - SLOT_COUNT ? now : (slot + SLOT_COUNT) * slotNanos;
            }
            remaining -= spentBySlot[indexOf(slot)];
        }
        return (newestSlot + SLOT_COUNT + 1) * slotNanos;
    }

    /** Returns how many requests were spent in the window that ends now. */
    long spentBySlot(long now) {
        advanceTo(now);
        return totalSpent;
    }

    /** Carries over what a previous budget spent, so that a reload keeps it. */
    void carryOver(WindowBudget previous, long now) {
        previous.advanceTo(now);
        advanceTo(now);
        for (long slot = previous.newestSlot - SLOT_COUNT; slot <= previous.newestSlot; slot++) {
            long count = previous.spentBySlot[indexOf(slot)];
            long target =
                    Math.max(newestSlot - SLOT_COUNT, Math.min(newestSlot, slot * previous.slotNanos / slotNanos));
            spentBySlot[indexOf(target)] += count;
            totalSpent += count;
        }
    }
}
