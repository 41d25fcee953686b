package stoatrill.slowstart;

import stoatrill.estimate.DecayingRate;

/**
 * The slow-start state of one server at one router, which {@link SlowStart} alone changes. Times are nanoseconds of the
 * router's clock. Not thread-safe.
 */
public final class ServerWarmUp {
    /** A start so long ago that the server is warm. */
    static final long LONG_AGO = Long.MIN_VALUE;

    final long serverId;

    /** Whether the server is on the list and does not drain. */
    boolean isListed;

    /** When the server started, if it may be cold; else {@link #LONG_AGO}. */
    long startedAt = LONG_AGO;

    /** The rate of its answers since it started; null before any start. */
    DecayingRate answerRate;

    /** The work of attempts that may be sent now, in requests of mean work. */
    double permittedWork;

    /** The work of the request that last asked for the server, in requests of mean work. */
    double askedWork = 1;

    /** When a permit was last granted. */
    long grantedAt;

    /** Until when the time has been used to grant permits. */
    long grantedUntil;

    /** The work a second that was allowed when permits were last granted, in requests of mean work. */
    double workPerSecond;

    /** Attempts sent since the last description. */
    int sentCount;

    /** How often an attempt was not allowed since the last description. */
    int withheldCount;

    ServerWarmUp(long serverId) {
        this.serverId = serverId;
    }
}
