package stoatrill.session;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class SessionCommitsTest {
    private static final long UNKNOWN_POSITION = Long.MIN_VALUE;

    @Test
    void requiresNewestCommitOfSession() {
        SessionCommits sessions = new SessionCommits(10, UNKNOWN_POSITION);
        sessions.record(1, 50, 60);
        sessions.record(1, 40, 70);
        assertEquals(50, sessions.requiredPosition(1));
        assertEquals(UNKNOWN_POSITION, sessions.requiredPosition(2));
    }

    @Test
    void requiresClearTimeForUnknownSessionsAfterCapacity() {
        SessionCommits sessions = new SessionCommits(2, UNKNOWN_POSITION);
        sessions.record(1, 10, 11);
        sessions.record(2, 20, 21);
        sessions.record(3, 30, 31);
        assertEquals(31, sessions.requiredPosition(1));
        assertEquals(31, sessions.requiredPosition(4));
        assertEquals(30, sessions.requiredPosition(3));
    }
}
