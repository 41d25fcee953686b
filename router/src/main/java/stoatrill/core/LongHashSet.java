package stoatrill.core;

/** A set of 64-bit hashes by open addressing, 16 to 32 bytes an element. Not thread-safe. */
final class LongHashSet {
    private static final int FIRST_CAPACITY_COUNT = 64;
    /** Marks a free slot; an element of this value is kept apart. */
    private static final long FREE_SLOT_CODE = 0;

    private long[] slots = new long[FIRST_CAPACITY_COUNT];
    private int usedSlotCount;
    private boolean containsFreeMark;

    /** Adds an element; returns whether it was absent. */
    boolean add(long element) {
        if (element == FREE_SLOT_CODE) {
            boolean isNew = !containsFreeMark;
            containsFreeMark = true;
            return isNew;
        }
        int index = findSlot(slots, element);
        if (slots[index] == element) {
            return false;
        }
        slots[index] = element;
        usedSlotCount++;
        if (2 * usedSlotCount > slots.length) {
            grow();
        }
        return true;
    }

    boolean contains(long element) {
        return element == FREE_SLOT_CODE ? containsFreeMark : slots[findSlot(slots, element)] == element;
    }

    int size() {
        return usedSlotCount + (containsFreeMark ? 1 : 0);
    }

    private void grow() {
        long[] larger = new long[2 * slots.length];
        for (long element : slots) {
            if (element != FREE_SLOT_CODE) {
                larger[findSlot(larger, element)] = element;
            }
        }
        slots = larger;
    }

    /** The slot that holds the element, or the free one where it belongs; the length is a power of two. */
    private static int findSlot(long[] slots, long element) {
        int mask = slots.length - 1;
        int index = (int) (element & mask);
        while (slots[index] != FREE_SLOT_CODE && slots[index] != element) {
            index = (index + 1) & mask;
        }
        return index;
    }
}
