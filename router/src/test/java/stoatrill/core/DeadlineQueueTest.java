package stoatrill.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Compares the timer queue with a sorted map on random calls, and checks the order of actions that add deadlines. */
class DeadlineQueueTest {

    @Test
    void runsAndCancelsDeadlinesLikeASortedMap() {
        for (int seed = 0; seed < 50; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            DeadlineQueue deadlines = new DeadlineQueue();
            TreeMap<List<Long>, Integer> pendingByTime = new TreeMap<>((a, b) ->
                    a.get(0).equals(b.get(0)) ? Long.compare(a.get(1), b.get(1)) : Long.compare(a.get(0), b.get(0)));
            List<DeadlineQueue.Deadline> created = new ArrayList<>();
            List<List<Long>> keys = new ArrayList<>();
            List<Integer> passed = new ArrayList<>();
            List<Integer> expected = new ArrayList<>();
            long[] spanLimits = {300, 50_000_000L, 2_000_000_000L, 60_000_000_000L
            }; // in the heap, within and beyond the buckets
            long now = 0;
            for (int step = 0; step < 2000; step++) {
                now += random.nextInt(10) == 0
                        ? random.nextLong(spanLimits[random.nextInt(4)])
                        : random.nextInt(1_000_000);
                if (created.isEmpty() || random.nextInt(5) < 3) {
                    int id = created.size();
                    long dueAt = now + random.nextLong(spanLimits[random.nextInt(4)]);
                    created.add(deadlines.schedule(dueAt, () -> passed.add(id)));
                    keys.add(List.of(dueAt, (long) id));
                    pendingByTime.put(keys.get(id), id);
                } else if (random.nextInt(3) > 0) {
                    int id = random.nextInt(created.size());
                    created.get(id).cancel();
                    pendingByTime.remove(keys.get(id));
                } else {
                    deadlines.runDue(now);
                    while (!pendingByTime.isEmpty() && pendingByTime.firstKey().get(0) <= now) {
                        expected.add(pendingByTime.pollFirstEntry().getValue());
                    }
                }
                assertEquals(expected, passed);
                assertEquals(
                        pendingByTime.isEmpty()
                                ? Long.MAX_VALUE
                                : pendingByTime.firstKey().get(0),
                        deadlines.nextDueAt());
            }
        }
    }

    @Test
    void runsADeadlineAddedByAnActionInTheNextSweep() {
        DeadlineQueue deadlines = new DeadlineQueue();
        List<String> executed = new ArrayList<>();
        deadlines.schedule(5, () -> {
            executed.add("first");
            deadlines.schedule(5, () -> executed.add("second"));
        });
        deadlines.runDue(5);
        assertEquals(List.of("first"), executed);
        deadlines.runDue(5);
        assertEquals(List.of("first", "second"), executed);
    }
}
