package stoatrill.slowstart;

/** The slow-start state of one server at one router. Times are nanoseconds of the router's clock. Not thread-safe. */
public final class ServerWarmUp {
    /** A start so long ago that the server is warm. */
    static final long LONG_AGO = Long.MIN_VALUE;

    final long serverId;

    /** Whether the server is on the list and does not drain. */
    boolean isListed;

    /** When the server last answered an attempt. */
    long heardAt = LONG_AGO;

    /** When the server started, if it may be cold; else {@link #LONG_AGO}. */
    long startedAt = LONG_AGO;

    /** Attempts that may be sent now. */
    double tokens;

    /** When the tokens were last brought up to date. */
    long filledAt;

    /** Attempts a second that were allowed when the tokens were last brought up to date. */
    double tokensPerSecond;

    /** Attempts sent since the last description. */
    int sentCount;

    /** How often an attempt was not allowed since the last description. */
    int withheldCount;

    ServerWarmUp(long serverId) {
        this.serverId = serverId;
    }

    /** Sets whether the server is on the list and does not drain. */
    public void setListed(boolean listed) {
        isListed = listed;
    }

    /** Records that the server answered an attempt. */
    public void recordHeard(long now) {
        heardAt = now;
    }
}
