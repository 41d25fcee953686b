package stoatrill;

import java.util.List;

/**
 * The actions that a gateway carries out for the decision module, {@link Decide}. The gateway reports to the module
 * through {@link Events}. The gateway owns the clock, the connections and the timers; the module makes the decisions.
 *
 * <p><b>Threading.</b> One module instance serves one gateway and is called by one thread at a time. The module calls
 * actions while it handles an event. An action must not deliver an event before the current one has returned.
 *
 * <p><b>Units.</b> Times and spans are nanoseconds. Times are on one clock that only moves forward. A server is an
 * opaque number that the gateway chooses and that stays the same when the server restarts. A log position is the time
 * on the same clock of the newest commit that it includes.
 */
public interface Gateway {

    /** An unknown log position, older than any other. */
    long NO_POSITION = Long.MIN_VALUE;

    /** The receiver in {@link #sendToPeer} that addresses all peers. */
    int ALL_PEERS = -1;

    /**
     * Starts an attempt of a request: the first one, a retry, or a second copy. The attempts of a request are numbered
     * from 0 in the order of these calls.
     *
     * @param timeout span after which the attempt ends as {@link Result#TIMEOUT}; 0 if it may last until the client
     *     stops waiting
     */
    void sendAttempt(long request, long server, long timeout);

    /**
     * Gives the final answer that the request is refused and that it is safe to try again.
     *
     * @param retryAfter span after which the client is advised to try again; 0 for no advice
     */
    void refuse(long request, long retryAfter);

    /** Gives the final answer that the request has failed. It may have had an effect. */
    void fail(long request);

    /** Cancels one attempt. Its outcome is still reported, mostly as {@link Result#CANCELLED}. */
    void cancelAttempt(long request, int attempt);

    /**
     * Schedules {@link Events#onTimer} with this token after the delay. A timer can't be cancelled; one whose token is
     * the number of a request need not run once that request is over and has no attempt out.
     */
    void startTimer(long delay, long token);

    /** Probes a server, which costs it some work. {@link Events#onProbeEnded} reports the result. */
    void probeServer(long server);

    /** Closes the idle connections of the gateway to a server. */
    void closeIdleConnections(long server);

    /** Sends a short message, which may be lost, to a peer or to {@link #ALL_PEERS}. */
    void sendToPeer(int peer, byte[] message);

    /** Starts or stops watching the list of servers for changes. */
    void watchServerList(boolean enabled);

    /** Requests the whole list of servers once. */
    void fetchServerList();

    /** Writes a log line for the operators. */
    void log(String line);

    /** Counts an occurrence by subject and cause, for totals over a fleet. */
    default void count(String subject, String cause) {}

    /** The events that the gateway reports to the module. Each carries the current time, which never goes back. */
    interface Events {

        /**
         * Reports the list of servers or a change of it. The first call comes right after construction, as
         * {@link ListKind#CACHED}.
         *
         * @param members the whole list, or only the changed entries for {@link ListKind#DELTA}; empty if the call
         *     failed
         */
        void onServerList(long now, ListKind kind, List<ListEntry> members);

        /**
         * Reports that the list has moved to another source. It is watched there only after a new call of
         * {@link Gateway#watchServerList}.
         */
        void onDiscoveryMoved(long now);

        /**
         * Reports a new request. It must get exactly one final answer before {@code deadline}.
         *
         * @param id unique among all requests
         * @param session the session, or 0 if there is none
         * @param groupNumber the group whose servers may serve the request
         * @param tokenAge for a session read, where clients carry tokens: how long before now the last write of the
         *     session was committed; 0 if it has none
         * @param isRepeat whether the client marked the request as a repeat
         * @param classIndex index of the request's class in {@link Settings#classes}
         * @param tenantIndex index of the request's tenant in {@link Settings#tenants}
         */
        void onRequest(
                long now,
                long id,
                long session,
                int groupNumber,
                long deadline,
                long tokenAge,
                boolean isRepeat,
                int classIndex,
                int tenantIndex);

        /**
         * Reports that a streamed answer has begun. The module has no further part in the attempt. Neither the timeout
         * nor the deadline applies any more.
         */
        void onAnswerBegun(long now, long id, int attempt, long server);

        /**
         * Reports how an attempt ended. There is exactly one call for each {@link Gateway#sendAttempt}, even after the
         * request is over.
         *
         * @param elapsed span from the send until now
         * @param isRequestOver whether the request is over, through this outcome or before it
         * @param position the position up to which the server has applied the log, or the commit of a write that was
         *     served; {@link #NO_POSITION} if not known
         * @param role what the answer shows of the server's role
         * @param report the server's report on itself, or null
         */
        void onAttemptEnded(
                long now,
                long id,
                int attempt,
                long server,
                Result result,
                long elapsed,
                boolean isRequestOver,
                long position,
                Role role,
                Report report);

        /** Reports that the client has left. The request is over; pending attempts still get their outcome. */
        void onClientLeft(long now, long id);

        /** Reports that a timer has expired. */
        void onTimer(long now, long token);

        /** Reports how a probe ended; {@code report} may be null. */
        void onProbeEnded(long now, long server, long elapsed, Result result, Report report);

        /** Delivers a message from a peer. */
        void onPeerMessage(long now, int from, byte[] message);
    }

    /** The result of an attempt or a probe. */
    enum Result {
        /** The server served the request. */
        OK(true),
        /** The server answered with an error; the request may have had an effect. */
        ERROR(false),
        /** The server refused the attempt as full, without running it. */
        FULL(true),
        /** No answer arrived in time; the request may have run and may still run. */
        TIMEOUT(false),
        /** The answer was malformed; the request may have run. */
        SPOILT(false),
        /** No connection could be established. */
        CONNECT_FAILED(true),
        /** The connection broke during the attempt; the request may have run. */
        RESET(false),
        /** The attempt was cancelled; the request may have run. */
        CANCELLED(false),
        /** The attempt was never sent. */
        MOOT(true),
        /** The server refused without running it: a write at a replica, or a read for which its data is too old. */
        MISS(true);

        /** Whether the effect is certain: the request was served, or it is proven that it did not run. */
        public final boolean isCertain;

        Result(boolean certain) {
            this.isCertain = certain;
        }
    }

    /** The role of a server in its group, as far as known. */
    enum Role {
        UNKNOWN,
        PRIMARY,
        REPLICA
    }

    /**
     * The kind of list that {@link Events#onServerList} reports. FAILED and SILENT carry no list. FAILED: the call
     * failed, and the list is not watched until the module requests it again. SILENT: a watch fell silent, and the
     * gateway reopens it on its own. After these, the changes that the next list brings may count as known from an
     * earlier time on.
     */
    enum ListKind {
        DELTA,
        FULL,
        CACHED,
        FAILED,
        SILENT
    }

    /** The state of a server in the list. */
    enum ListedState {
        READY,
        DRAINING,
        GONE
    }

    /** How new the data must be that a read of the class sees; WRITE if the class consists of writes. */
    enum Consistency {
        WRITE,
        FRESH,
        SESSION,
        BOUNDED,
        ANY
    }

    /** Whether a request may run more than once. A keyed request may where servers drop repeats of its key. */
    enum Idempotency {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** The servers that drop a repeat with the same key. */
    enum DeduplicationScope {
        ALL,
        ZONE,
        GROUP
    }

    /**
     * What a server does with a read for which its data is too old: answer it, refuse it, or wait and then refuse it.
     */
    enum StalenessCheck {
        NONE,
        REFUSE,
        WAIT
    }

    /** How the list shows which member is the primary: not at all, with a delay, or as of the start. */
    enum ListedRole {
        NONE,
        DELAYED,
        AT_START
    }

    /**
     * An entry of the list of servers.
     *
     * @param relativeCapacity relative capacity, without a unit
     * @param startedAt when the server started; 0 for long ago
     */
    record ListEntry(
            long server,
            int group,
            int zone,
            int model,
            double relativeCapacity,
            long startedAt,
            boolean isPrimary,
            ListedState state) {}

    /**
     * A server's report on itself, which is some time old.
     *
     * @param queuedRequests number of requests queued at the server; negative if not reported
     * @param requestsInFlight number of requests at the server, queued or in service; negative if not reported
     */
    record Report(long position, Role role, double queuedRequests, double requestsInFlight) {}

    /**
     * A class of requests.
     *
     * @param aim target latency; an answer within it has full worth
     * @param clientTimeout span after which clients stop waiting
     * @param lateWorth worth of an answer after the aim
     * @param maxStaleness how old the data may be when the attempt is sent, for {@link Consistency#BOUNDED}
     * @param repeatWindow span in which servers drop repeats with the same key
     */
    record RequestClass(
            String name,
            long aim,
            long clientTimeout,
            double worth,
            double lateWorth,
            Consistency consistency,
            long maxStaleness,
            Idempotency idempotency,
            DeduplicationScope deduplicationScope,
            long repeatWindow,
            boolean isStreamed) {}

    /**
     * A tenant.
     *
     * @param allowancePerSecond requests a second, over all gateways, up to which its requests have full worth
     */
    record Tenant(String name, double allowancePerSecond) {}

    /**
     * What the site permits.
     *
     * @param mayAdviseRetry whether a refusal may advise when to try again
     * @param maxAttempts the most attempts of a request
     * @param maxRetryAfter the longest span that such advice may name
     */
    record Limits(
            boolean mayCancel,
            boolean mayProbe,
            boolean mayMessagePeers,
            boolean maySendSecondCopies,
            boolean mayAdviseRetry,
            int maxAttempts,
            long maxRetryAfter) {}

    /**
     * The parameters of the rules that apply where a gateway runs.
     *
     * @param answerSlack safety margin before the end of a repeat window
     * @param listCallGrace span after a list call from which the changes that it should show count as known
     * @param drainGrace span after the news of a drain in which a server may still get attempts
     * @param coldStartShare share of its full budget that a cold server starts with
     * @param warmUpSpan span after which a started server is warm
     * @param overloadMultiple multiple of a cold server's share of the traffic at which it is overloaded
     * @param overloadSpan span of such load after which a cold server is overloaded
     * @param removalBinds whether a server that is off the list must get no attempts
     */
    record Rules(
            long answerSlack,
            long listCallGrace,
            long drainGrace,
            double coldStartShare,
            long warmUpSpan,
            double overloadMultiple,
            long overloadSpan,
            boolean removalBinds) {}

    /**
     * How the replicas and their answers behave.
     *
     * @param checkWait how long a server waits for newer data, for {@link StalenessCheck#WAIT}
     * @param answersShowPosition whether answers show log positions
     * @param clientsCarryTokens whether a session's read carries the age of the session's last write
     * @param reportsInline whether reports come with answers
     */
    record Replication(
            StalenessCheck stalenessCheck,
            long checkWait,
            boolean answersShowPosition,
            boolean clientsCarryTokens,
            ListedRole listedRole,
            boolean reportsInline) {}

    /**
     * The settings of a gateway, given at its start.
     *
     * @param gatewayIndex number of this gateway
     * @param gatewayCount number of gateways
     * @param zone zone of this gateway
     * @param tick granularity of the gateway's timers
     * @param listOnRequest whether the list comes only on request
     * @param overAllowanceWorthFactor factor on the worth of requests beyond a tenant's allowance
     */
    record Settings(
            int gatewayIndex,
            int gatewayCount,
            int zone,
            long tick,
            boolean listOnRequest,
            double overAllowanceWorthFactor,
            Limits limits,
            Rules rules,
            Replication replication,
            List<RequestClass> classes,
            List<Tenant> tenants) {}
}
