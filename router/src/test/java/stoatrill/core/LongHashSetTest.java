package stoatrill.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The set agrees with the platform's for elements that collide, zero and growth. */
class LongHashSetTest {
    private static final int ELEMENT_COUNT = 5_000;
    private static final long SEED = 3;

    @Test
    void agreesWithHashSet() {
        Random random = new Random(SEED);
        LongHashSet set = new LongHashSet();
        Set<Long> expected = new HashSet<>();
        for (int i = 0; i < ELEMENT_COUNT; i++) {
            long element = random.nextInt(ELEMENT_COUNT) * 64L; // the low bits of all are the same
            assertEquals(expected.add(element), set.add(element));
            assertTrue(set.contains(element));
        }
        assertEquals(expected.size(), set.size());
        assertFalse(set.contains(-1));
    }

    @Test
    void holdsZeroOnce() {
        LongHashSet set = new LongHashSet();
        assertFalse(set.contains(0));
        assertTrue(set.add(0));
        assertFalse(set.add(0));
        assertEquals(1, set.size());
    }
}
