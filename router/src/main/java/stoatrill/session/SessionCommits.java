package stoatrill.session;

import java.util.HashMap;
import java.util.Map;

/**
 * The newest commit of each session, for reads that must see the writes of their own session. The number of sessions is
 * bounded. When the limit is reached, all sessions are dropped at once, and the time of that becomes the lower bound
 * for every session: it may require more than needed but never less. Not thread-safe.
 */
public final class SessionCommits {
    private final int capacity;
    private final Map<Long, Long> commits = new HashMap<>();
    private long lowerBound;

    /**
     * Creates a store without sessions.
     *
     * @param capacity the number of sessions that are kept, at least 1
     * @param unknownPosition the position that is returned for an unknown session
     */
    public SessionCommits(int capacity, long unknownPosition) {
        this.capacity = capacity;
        this.lowerBound = unknownPosition;
    }

    /** Records a commit of a session that is known as of a time; both are nanoseconds on the same clock. */
    public void record(long session, long commit, long now) {
        if (commits.size() >= capacity) {
            commits.clear();
            lowerBound = now;
        }
        commits.merge(session, commit, Math::max);
    }

    /** Returns the position that a read of this session must see. */
    public long requiredPosition(long session) {
        return commits.getOrDefault(session, lowerBound);
    }
}
