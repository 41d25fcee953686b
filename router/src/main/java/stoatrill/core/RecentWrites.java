package stoatrill.core;

import java.util.ArrayDeque;
import java.util.Iterator;

/**
 * The ids of requests that may have run at a server and must not run again, for some time after their end. A client
 * that lost its connection may send such a request again on another one.
 *
 * <p>Ids are kept as 64-bit hashes under a secret seed, in generations that are dropped as a whole. The number of ids
 * is bounded; a full store tells so, and the caller then refuses what it could not remember. Not thread-safe.
 */
final class RecentWrites {
    private static final int GENERATIONS_PER_RETENTION_COUNT = 4;

    private final long retentionNanos;
    private final long generationNanos;
    private final int capacity;
    private final long seed;
    /** The oldest first. */
    private final ArrayDeque<Generation> generations = new ArrayDeque<>();

    private int size;

    private static final class Generation {
        final long beganAt;
        final LongHashSet ids = new LongHashSet();

        Generation(long beganAt) {
            this.beganAt = beganAt;
        }
    }

    /**
     * Creates an empty store.
     *
     * @param retentionNanos how long an id is remembered at least, from {@link #add}; a quarter longer at most
     * @param capacity the number of ids that are kept at most
     * @param seed a secret that clients can't guess, so that no id can be made to look like another
     */
    RecentWrites(long retentionNanos, int capacity, long seed) {
        this.retentionNanos = retentionNanos;
        this.generationNanos = Math.max(1, retentionNanos / GENERATIONS_PER_RETENTION_COUNT);
        this.capacity = capacity;
        this.seed = seed;
    }

    /** Remembers an id from now on. Does so even if the store is full, since the request may have run. */
    void add(String id, long now) {
        dropExpired(now);
        if (generations.isEmpty() || now - generations.peekLast().beganAt >= generationNanos) {
            generations.add(new Generation(now));
        }
        if (generations.peekLast().ids.add(hash(id))) {
            size++;
        }
    }

    /** Whether an id is remembered. */
    boolean contains(String id, long now) {
        dropExpired(now);
        long hash = hash(id);
        return generations.stream().anyMatch(generation -> generation.ids.contains(hash));
    }

    /** Whether no further id can be promised to be remembered. */
    boolean isFull(long now) {
        dropExpired(now);
        return size >= capacity;
    }

    /** The number of ids that are remembered. */
    int size() {
        return size;
    }

    private void dropExpired(long now) {
        for (Iterator<Generation> oldest = generations.iterator(); oldest.hasNext(); ) {
            Generation generation = oldest.next();
            if (now - generation.beganAt < retentionNanos + generationNanos) {
                return;
            }
            size -= generation.ids.size();
            oldest.remove();
        }
    }

    /** FNV-1a under the seed, with the final mix of MurmurHash3. */
    private long hash(String id) {
        long hash = seed ^ 0xcbf29ce484222325L;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * 0x100000001b3L;
        }
        hash = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
        hash = (hash ^ (hash >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return hash ^ (hash >>> 33);
    }
}
