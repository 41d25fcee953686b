package stoatrill.lab.sim;

import java.util.Arrays;
import java.util.PriorityQueue;
import stoatrill.standins.model.Scheduler;

/**
 * Simulated time as a timing wheel: events of the next second or so lie unsorted in slots, only those of the
 * present slot in a small heap, and what is further away waits in a sorted queue. Adding and taking cost about
 * the same at any number of events, as long as a slot holds few. After Varghese and Lauck, "Hashed and
 * hierarchical timing wheels" (1987); the heap within a slot keeps the exact order. Not to be shared between
 * threads.
 */
public final class EventWheel implements Scheduler {
    private static final int SHIFT = 16; // a slot is 65.5 microseconds
    private static final int SLOTS = 1 << 14; // and the wheel 1.07 s
    private static final int MASK = SLOTS - 1;

    private static final class Event implements Comparable<Event> {
        long time;
        long order;
        Runnable action;
        Event next;

        @Override
        public int compareTo(Event o) {
            return time != o.time ? Long.compare(time, o.time) : Long.compare(order, o.order);
        }
    }

    private final Event[] slots = new Event[SLOTS];
    private final long[] occupied = new long[SLOTS / 64];
    private final PriorityQueue<Event> far = new PriorityQueue<>();
    private Event[] heap = new Event[64];
    private int heapSize;
    private Event free;
    private long cursor;
    private long now;
    private long orders;
    private int size;

    /** A wheel whose time begins there. */
    public EventWheel(long start) {
        now = start;
        cursor = start >> SHIFT;
    }

    @Override
    public long now() {
        return now;
    }

    /** How many events are still to come. */
    public int size() {
        return size;
    }

    @Override
    public void at(long time, Runnable action) {
        Event e = free;
        if (e == null) {
            e = new Event();
        } else {
            free = e.next;
        }
        e.time = Math.max(time, now);
        e.order = orders++;
        e.action = action;
        e.next = null;
        size++;
        place(e);
    }

    private void place(Event e) {
        long slot = e.time >> SHIFT;
        if (slot <= cursor) {
            push(e);
        } else if (slot < cursor + SLOTS) {
            int i = (int) (slot & MASK);
            e.next = slots[i];
            slots[i] = e;
            occupied[i >> 6] |= 1L << i;
        } else {
            far.add(e);
        }
    }

    /** Runs events until the time is reached, which then is the present, or none is left. */
    public void run(long until) {
        while (size > 0) {
            if (heapSize == 0) {
                advance();
            }
            if (heap[0].time > until) {
                break;
            }
            Event e = pop();
            now = e.time;
            size--;
            Runnable action = e.action;
            e.action = null;
            e.next = free;
            free = e;
            action.run();
        }
        now = Math.max(now, until);
    }

    /** Moves on to the next slot that holds anything. */
    private void advance() {
        long next = nextOccupied();
        if (!far.isEmpty()) {
            next = Math.min(next, far.peek().time >> SHIFT);
        }
        cursor = next;
        int i = (int) (cursor & MASK);
        Event e = slots[i];
        slots[i] = null;
        occupied[i >> 6] &= ~(1L << i);
        while (e != null) {
            Event rest = e.next;
            e.next = null;
            push(e);
            e = rest;
        }
        while (!far.isEmpty() && far.peek().time >> SHIFT < cursor + SLOTS) {
            place(far.poll());
        }
    }

    private long nextOccupied() {
        int from = (int) ((cursor + 1) & MASK);
        int word = from >> 6;
        long bits = occupied[word] & (-1L << from);
        for (int n = 0; n <= occupied.length; n++) {
            if (bits != 0) {
                int slot = (word << 6) + Long.numberOfTrailingZeros(bits);
                return cursor + 1 + ((slot - from) & MASK);
            }
            word = (word + 1) % occupied.length;
            bits = occupied[word];
        }
        return Long.MAX_VALUE;
    }

    private void push(Event e) {
        if (heapSize == heap.length) {
            heap = Arrays.copyOf(heap, heapSize * 2);
        }
        int i = heapSize++;
        while (i > 0) {
            int up = (i - 1) >> 1;
            if (heap[up].compareTo(e) <= 0) {
                break;
            }
            heap[i] = heap[up];
            i = up;
        }
        heap[i] = e;
    }

    private Event pop() {
        Event first = heap[0];
        Event last = heap[--heapSize];
        heap[heapSize] = null;
        if (heapSize > 0) {
            int i = 0;
            int child;
            while ((child = 2 * i + 1) < heapSize) {
                if (child + 1 < heapSize && heap[child + 1].compareTo(heap[child]) < 0) {
                    child++;
                }
                if (last.compareTo(heap[child]) <= 0) {
                    break;
                }
                heap[i] = heap[child];
                i = child;
            }
            heap[i] = last;
        }
        return first;
    }
}
