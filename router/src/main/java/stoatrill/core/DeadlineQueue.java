package stoatrill.core;

import java.util.Arrays;

/**
 * All deadlines of the router in one timer queue, swept in each turn of the event loop. Most deadlines are cancelled
 * long before they are due. Later ones are therefore kept unsorted in linked lists, one for each bucket of 67 ms, where
 * adding and cancelling touch at most two neighbours. Only deadlines of the current and the next bucket are sorted, in
 * a small heap whose entries know their index.
 *
 * <p>Sorting late is the idea of the timing wheel (Varghese and Lauck, 1987). The heap keeps exact times and the order
 * of equal ones.
 */
public final class DeadlineQueue {
    private static final int HEAP_BRANCH_COUNT = 4;
    private static final int BUCKET_SHIFT_BITS = 26; // a bucket spans 67 ms
    private static final int BUCKET_COUNT = 512; // 34 s in all; later deadlines go to the heap at once
    private static final int REMOVED_INDEX = -1;
    private static final int IN_BUCKET_INDEX = -2;

    /** A deadline, pending or passed. */
    public final class Deadline {
        private final long dueAt;
        private final long sequence;
        private final Runnable action;
        /** Its index in the heap, or {@link #IN_BUCKET_INDEX} or {@link #REMOVED_INDEX}. */
        private int heapIndex;

        private Deadline previous;
        private Deadline next;

        private Deadline(long dueAt, long sequence, Runnable action) {
            this.dueAt = dueAt;
            this.sequence = sequence;
            this.action = action;
        }

        private boolean isBefore(Deadline other) {
            return dueAt != other.dueAt ? dueAt < other.dueAt : sequence < other.sequence;
        }

        /** Cancels the deadline; has no effect once it has passed. */
        public void cancel() {
            if (heapIndex == IN_BUCKET_INDEX) {
                removeFromBucket(this);
            } else if (heapIndex >= 0) {
                removeFromHeap(this);
            }
        }
    }

    private final Deadline[] buckets = new Deadline[BUCKET_COUNT];
    private int bucketedCount;
    private Deadline[] heap = new Deadline[64];
    private int heapSize;
    private long nextSequence;
    /** The bucket of the last sweep's time; the heap holds all deadlines of this bucket and the next. */
    private long currentBucket = Long.MIN_VALUE / 2;

    /** Runs the action in the first sweep at or after the given time; equal times keep the order of these calls. */
    public Deadline schedule(long time, Runnable action) {
        Deadline deadline = new Deadline(time, nextSequence++, action);
        long bucketsAhead = (time >> BUCKET_SHIFT_BITS) - currentBucket;
        if (bucketsAhead > 1 && bucketsAhead < BUCKET_COUNT) {
            addToBucket(deadline);
        } else {
            addToHeap(deadline);
        }
        return deadline;
    }

    /** The number of deadlines that are pending. */
    public int size() {
        return heapSize + bucketedCount;
    }

    /** Runs the actions that are due. Deadlines that these add for now or earlier wait for the next sweep. */
    public void runDue(long now) {
        advanceTo(now >> BUCKET_SHIFT_BITS);
        long sequenceAtStart = nextSequence;
        while (heapSize > 0 && heap[0].dueAt <= now && heap[0].sequence < sequenceAtStart) {
            Deadline first = heap[0];
            removeFromHeap(first);
            first.action.run();
        }
    }

    /** When the next deadline is due; {@link Long#MAX_VALUE} if there is none. */
    public long nextDueAt() {
        if (heapSize > 0 || bucketedCount == 0) {
            long earliest = heapSize == 0 ? Long.MAX_VALUE : heap[0].dueAt;
            return bucketedCount == 0 || earliest >> BUCKET_SHIFT_BITS <= currentBucket + 1
                    ? earliest
                    : Math.min(earliest, earliestInBuckets());
        }
        return earliestInBuckets();
    }

    /** The earliest deadline in the buckets; searched only while the heap has none in the current or next bucket. */
    private long earliestInBuckets() {
        for (long bucket = currentBucket + 2; bucket < currentBucket + BUCKET_COUNT; bucket++) {
            long earliest = Long.MAX_VALUE;
            for (Deadline deadline = buckets[(int) (bucket & (BUCKET_COUNT - 1))];
                    deadline != null;
                    deadline = deadline.next) {
                earliest = Math.min(earliest, deadline.dueAt);
            }
            if (earliest != Long.MAX_VALUE) {
                return earliest;
            }
        }
        return Long.MAX_VALUE;
    }

    /** Moves the deadlines of buckets that have become current or next to the heap. */
    private void advanceTo(long targetBucket) {
        if (targetBucket <= currentBucket) {
            return;
        }
        for (long bucket = currentBucket + 2;
                bucketedCount > 0 && bucket <= targetBucket + 1 && bucket < currentBucket + BUCKET_COUNT;
                bucket++) {
            Deadline deadline = buckets[(int) (bucket & (BUCKET_COUNT - 1))];
            while (deadline != null) {
                Deadline following = deadline.next;
                removeFromBucket(deadline);
                addToHeap(deadline);
                deadline = following;
            }
        }
        currentBucket = targetBucket;
    }

    // Buckets

    private void addToBucket(Deadline deadline) {
        int bucket = (int) ((deadline.dueAt >> BUCKET_SHIFT_BITS) & (BUCKET_COUNT - 1));
        deadline.heapIndex = IN_BUCKET_INDEX;
        deadline.next = buckets[bucket];
        if (deadline.next != null) {
            deadline.next.previous = deadline;
        }
        buckets[bucket] = deadline;
        bucketedCount++;
    }

    private void removeFromBucket(Deadline deadline) {
        if (deadline.previous == null) {
            buckets[(int) ((deadline.dueAt >> BUCKET_SHIFT_BITS) & (BUCKET_COUNT - 1))] = deadline.next;
        } else {
            deadline.previous.next = deadline.next;
        }
        if (deadline.next != null) {
            deadline.next.previous = deadline.previous;
        }
        deadline.previous = null;
        deadline.next = null;
        deadline.heapIndex = REMOVED_INDEX;
        bucketedCount--;
    }

    // Heap

    private void addToHeap(Deadline deadline) {
        if (heapSize == heap.length) {
            heap = Arrays.copyOf(heap, heapSize * 2);
        }
        siftUp(deadline, heapSize++);
    }

    private void removeFromHeap(Deadline deadline) {
        int index = deadline.heapIndex;
        deadline.heapIndex = REMOVED_INDEX;
        Deadline last = heap[--heapSize];
        heap[heapSize] = null;
        if (last != deadline) {
            if (index > 0 && last.isBefore(heap[(index - 1) / HEAP_BRANCH_COUNT])) {
                siftUp(last, index);
            } else {
                siftDown(last, index);
            }
        }
    }

    private void siftUp(Deadline deadline, int startIndex) {
        int index = startIndex;
        while (index > 0) {
            int parent = (index - 1) / HEAP_BRANCH_COUNT;
            if (!deadline.isBefore(heap[parent])) {
                break;
            }
            heap[index] = heap[parent];
            heap[index].heapIndex = index;
            index = parent;
        }
        heap[index] = deadline;
        deadline.heapIndex = index;
    }

    private void siftDown(Deadline deadline, int startIndex) {
        int index = startIndex;
        int firstChild;
        while ((firstChild = index * HEAP_BRANCH_COUNT + 1) < heapSize) {
            int earliestChild = firstChild;
            int childrenEnd = Math.min(firstChild + HEAP_BRANCH_COUNT, heapSize);
            for (int i = firstChild + 1; i < childrenEnd; i++) {
                if (heap[i].isBefore(heap[earliestChild])) {
                    earliestChild = i;
                }
            }
            if (!heap[earliestChild].isBefore(deadline)) {
                break;
            }
            heap[index] = heap[earliestChild];
            heap[index].heapIndex = index;
            index = earliestChild;
        }
        heap[index] = deadline;
        deadline.heapIndex = index;
    }
}
