package stoatrill;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import stoatrill.Gateway.*;
import stoatrill.estimate.DecayingAverage;
import stoatrill.overload.Backoff;
import stoatrill.overload.TenantAllowances;
import stoatrill.session.SessionCommits;
import stoatrill.slowstart.ServerWarmUp;
import stoatrill.slowstart.SlowStart;

/**
 * Decides where each request of a gateway runs, when it is retried and when it is refused. The module receives the
 * events of {@link Gateway.Events} and acts through {@link Gateway}.
 *
 * <p>A write goes to the primary of its group. A read goes to a healthy replica in the gateway's own zone whose log
 * position satisfies the read. The replica is drawn at random; a lower latency and fewer requests in flight make it
 * more likely. Where the local replicas are busy or stale, the read goes to a remote replica that is fresh enough, then
 * to the primary. The rest of the module protects this path from overload and failures.
 *
 * <p>Times are nanoseconds of the gateway's clock, and spans are nanoseconds. One thread at a time calls the module.
 */
public final class Decide implements Gateway.Events {

    private static final long NANOS_PER_MILLI = 1_000_000L;

    /**
     * Ticks between two passes over the held requests. A small number keeps waits short; the passes are still cheap.
     */
    private static final int SWEEP_TICK_COUNT = 2;

    /** Time constant of the latency estimate of a class. Smoothing by time acts alike at any request rate. */
    private static final double LATENCY_TIME_CONSTANT_NANOS = 2e9;

    /** Time constant of the slowdown of a server or group, of the queues of a group and of the request rates. */
    private static final double SERVER_TIME_CONSTANT_NANOS = 3e9;

    /** The largest weight of one sample in a smoothed estimate. */
    private static final double SAMPLE_WEIGHT_LIMIT = 0.15;

    /** The largest slowdown that one sample counts: a larger one says nothing more about a server. */
    private static final double SLOWDOWN_LIMIT = 8;

    /** A server whose expected latency exceeds this share of the class's aim is busy for a read. */
    private static final double BUSY_AIM_SHARE = 0.5;

    /** The largest expected latency, as a share of the aim, at which a request of no worth is accepted. */
    private static final double MIN_PATIENCE_AIM_SHARE = 0.2;

    /** The largest expected latency, as a share of the aim, at which a request of the highest worth is accepted. */
    private static final double MAX_PATIENCE_AIM_SHARE = 1.0;

    /** A latency up to this multiple of the one without queueing does not indicate a queue. */
    private static final double UNQUEUED_LATENCY_FACTOR = 1.1;

    /** Share of the aim beyond which a latency indicates a queue in any case. */
    private static final double UNQUEUED_AIM_SHARE_LIMIT = 0.7;

    /** An attempt is overdue after this multiple of the usual latency; one in ten exceeds it by chance. */
    private static final double OVERDUE_LATENCY_FACTOR = 2;

    /** Share of the aim after which an attempt is overdue at the latest. */
    private static final double OVERDUE_AIM_SHARE_LIMIT = 0.6;

    /**
     * Silence for more than this multiple of the usual latency is a fault. A replica is unhealthy if its estimated
     * queue exceeds this number of requests for each one in service.
     */
    private static final double SEVERE_DELAY_FACTOR = 4;

    /** Time constant by which the queue that a report shows loses its weight. */
    private static final double REPORT_TIME_CONSTANT_NANOS = 0.3e9;

    /** Number of requests that a server is assumed to have in service where its report does not tell. */
    private static final double DEFAULT_IN_SERVICE_COUNT = 6;

    /**
     * A log position is stuck if it has not moved for this long and is more than twice this span behind the newest
     * position of its group.
     */
    private static final long STUCK_POSITION_NANOS = 500 * NANOS_PER_MILLI;

    /** Fault score that ejects a server: two faults with at most one good answer between them. */
    private static final double FAULT_LIMIT = 1.5;

    /**
     * Where a zone leaves requests unanswered, it takes more faults to eject a server: as many as occur in a row by
     * chance with this probability.
     */
    private static final double FALSE_SUSPICION_PROBABILITY = 0.02;

    /** A server that sends a malformed answer still runs, so this counts less than a fault. */
    private static final double MALFORMED_ANSWER_FAULT_WEIGHT = 0.3;

    /** A kept connection may break although its server is up, so a reset counts less than a fault. */
    private static final double RESET_FAULT_WEIGHT = 0.3;

    /** A connection failure does not eject a server that was heard from within this span. */
    private static final long JUST_HEARD_NANOS = 100 * NANOS_PER_MILLI;

    /** Share of unanswered attempts above which a zone counts as impaired. */
    private static final double IMPAIRED_ZONE_UNANSWERED_SHARE = 0.02;

    /** A server heard from within this span need not be probed before it is used. */
    private static final long RECENTLY_HEARD_NANOS = 1000 * NANOS_PER_MILLI;

    /** Weight of one sample in a moving average over some ten samples; its square averages over some hundred. */
    private static final double TEN_SAMPLE_WEIGHT = 0.1;

    /** Weight of one sample in a moving average over some thirty samples. */
    private static final double THIRTY_SAMPLE_WEIGHT = 0.03;

    /** Duration of a server's first ejection; it doubles with each further one. */
    private static final long FIRST_EJECTION_NANOS = 500 * NANOS_PER_MILLI;

    private static final long EJECTION_DOUBLINGS_LIMIT = 4;

    /** One ejection is forgotten for each such span since the last ejection. */
    private static final long EJECTION_EXPIRY_NANOS = 10_000 * NANOS_PER_MILLI;

    /** A server that is off the list and has been silent for this long is forgotten. */
    private static final long ABSENT_MEMBER_RETENTION_NANOS = 60_000 * NANOS_PER_MILLI;

    /** Further attempts that each request adds to the retry budget. The budget limits the load that retries cause. */
    private static final double RETRY_BUDGET_RATIO = 0.2;

    /** The most further attempts that the retry budget holds. */
    private static final double RETRY_BUDGET_LIMIT = 30;

    /** Time between two log lines on the budgets of cold servers. */
    private static final long SLOW_START_LOG_INTERVAL_NANOS = 1000 * NANOS_PER_MILLI;

    /** Pause after the search for a primary has tried all members; far shorter than any election. */
    private static final long PRIMARY_SEARCH_PAUSE_NANOS = 50 * NANOS_PER_MILLI;

    /** Least time between two probes of a server. */
    private static final long PROBE_INTERVAL_NANOS = 250 * NANOS_PER_MILLI;

    /** How long a request waits for the report of a probe. */
    private static final long PROBE_WAIT_NANOS = 20 * NANOS_PER_MILLI;

    /** Least time between two probes for the same read where no server is fresh enough for it. */
    private static final long READ_PROBE_RETRY_NANOS = 100 * NANOS_PER_MILLI;

    /** How old a report is assumed to be until a primary's report has shown its age. */
    private static final long INITIAL_REPORT_AGE_NANOS = 300 * NANOS_PER_MILLI;

    /** How long a server that refused a request as full counts as busy. */
    private static final long FULL_BUSY_NANOS = 100 * NANOS_PER_MILLI;

    /** Usual latency before any answer, as a share of the class's aim. */
    private static final double INITIAL_LATENCY_AIM_SHARE = 0.3;

    /** Mean wait before the list is requested again after the first failure. */
    private static final long LIST_RETRY_NANOS = 500 * NANOS_PER_MILLI;

    /** A list change that was missed counts as known after this span. */
    private static final long MISSED_CHANGE_NANOS = 6_000 * NANOS_PER_MILLI;

    /**
     * Part of {@code MISSED_CHANGE_NANOS} plus the drain grace that is reserved for two list calls of the longest
     * duration.
     */
    private static final long LOST_CALLS_NANOS = 4_750 * NANOS_PER_MILLI;

    /** Number of sessions whose commits are kept; beyond it, all older writes share one lower bound. */
    private static final int TRACKED_SESSIONS_LIMIT = 50_000;

    private static final long SWEEP_TOKEN = Long.MIN_VALUE;

    private static final long LIST_RETRY_TOKEN = SWEEP_TOKEN + 1;

    /** An unknown position, or a time that has not occurred; older than any other. */
    private static final long NONE = Gateway.NO_POSITION;

    private final Gateway gateway;
    private final Settings settings;
    private final Limits limits;
    private final Rules rules;
    private final Replication replication;
    private final RequestClass[] classes;
    private final boolean serversCheckReads;

    /** Whether this module remembers the commits of sessions because their reads do not carry them. */
    private final boolean tracksSessions;

    private final double highestWorth;

    /** The time to an answer without queueing, by class. */
    private final DecayingAverage[] usualLatencies;

    /** The share of attempts that were left unanswered, by zone. */
    private double[] unansweredShares = {0};

    private final SplittableRandom random;
    private final Map<Long, MemberState> membersByServer = new HashMap<>();
    private final List<MemberState> members = new ArrayList<>();
    private final Map<Integer, GroupState> groupsByNumber = new HashMap<>();
    private final List<GroupState> groupsWithHeldRequests = new ArrayList<>();
    private final Map<Long, RequestState> requestsById = new HashMap<>();
    private final Backoff listBackoff;

    /** Number of lists received. */
    private int listCount;

    private final SessionCommits sessionCommits = new SessionCommits(TRACKED_SESSIONS_LIMIT, NONE);
    private final TenantAllowances tenantAllowances;

    /** The time of the event that is being handled. */
    private long now;

    private long listCalledAt;
    private final SlowStart slowStart;

    /** When the budgets of cold servers were last logged. */
    private long slowStartLoggedAt;

    /** Further attempts that may be made now. */
    private double retryBudget = RETRY_BUDGET_LIMIT;

    /** An estimated upper bound of the age of reports on arrival. */
    private double reportAge = INITIAL_REPORT_AGE_NANOS;

    private boolean hasStarted;

    /** Whether any report has shown how many requests wait at its server. */
    private boolean reportsShowQueues;

    /** Whether the changes that the next list brings may count as known from an earlier time on. */
    private boolean listMayBeStale = true;

    /** What is known of a server. */
    private static final class MemberState {
        long serverId;
        long startedAt;

        /** When the list showed that the server drains or is missing; earlier by the grace if the list may be stale. */
        long departureListedAt;

        int zone;

        /** Number of the last list that contained the server. */
        int lastListNumber;

        GroupState group;
        boolean isDraining;

        /** Whether the server is off the list. */
        boolean isMissing;

        /** Whether the server is off the list and removal binds. */
        boolean isGone;

        /** Lower bound of the position up to which the log is applied. */
        long position = NONE;

        /** When a position was last received. */
        long positionAt = NONE;

        /** The lag behind the present that the last received positions show. */
        double lag;

        /** The latest time for which the role is known. */
        long roleAt = NONE;

        /** Latency as a multiple of the usual one. */
        final DecayingAverage slowdown = new DecayingAverage(1, SERVER_TIME_CONSTANT_NANOS, SAMPLE_WEIGHT_LIMIT);

        /** Requests waiting for each one in service, by the last report, which came at {@code reportAt}. */
        double queueRatio;

        /** Moving average of the number of attempts in flight. */
        double usualInFlight;

        /** Weighted sum of the faults; each good answer halves it. */
        double faultScore;

        int inFlight;

        /** Ejections that are not yet forgotten; each lengthens the next one. */
        int ejectionCount;

        /** Whether the log position stands still while other members advance. */
        boolean isPositionStuck;

        /** Whether the server failed connections or probes, and so may have restarted unnoticed. */
        boolean mayHaveRestarted;

        boolean probePending;

        /** Whether the server was ejected and has neither answered a request nor reported well since. */
        boolean isSuspected;

        /** Whether the last ejection was for error answers. */
        boolean ejectedForErrors;

        /** When the server last answered a request; a refusal as full does not count. */
        long lastHeardAt = NONE;

        long ejectedUntil = NONE;
        long ejectedAt;

        /** The server refused a request as full and counts as busy until this time. */
        long busyUntil;

        long probedAt = NONE;
        long reportAt;

        ServerWarmUp warmUp;
    }

    /** What is known of a group: a primary and its replicas. */
    private static final class GroupState {
        final List<MemberState> members = new ArrayList<>();
        final List<RequestState> heldRequests = new ArrayList<>();
        MemberState primary;

        /** The latest time for which it is known which member is the primary, or that none is. */
        long primaryRoleAt = NONE;

        /** The search for the primary does not start before this time. */
        long nextSearchAt;

        /** The newest log position of any member. */
        long newestPosition = NONE;

        long queueRatioAt;

        /** Latency as a multiple of the usual one, over all members. */
        final DecayingAverage slowdown = new DecayingAverage(1, SERVER_TIME_CONSTANT_NANOS, SAMPLE_WEIGHT_LIMIT);

        /** Moving average of the replicas' queue ratios, as of {@code queueRatioAt}. */
        double queueRatio;

        /** The held write that is out in search of the primary, or null. */
        RequestState searchingRequest;

        /** Index of the member to which the search sends next. */
        int nextSearchIndex;
    }

    /** A request and its attempts. */
    private static final class RequestState {
        long id;
        long session;
        long arrivedAt;
        long deadline;

        /** The log position that the read has to see. */
        long requiredPosition = NONE;

        GroupState group;
        RequestClass requestClass;

        /** The worth of its class, reduced if its tenant exceeds its allowance. */
        double worth;

        boolean isOver;
        boolean isHeld;
        int classIndex;
        int attemptCount;
        int pendingAttemptCount;

        /** When the first attempt whose effect is uncertain was sent. */
        long firstUncertainSentAt = NONE;

        /** When a probe was last requested for this read; {@code PROBE_WAIT_NANOS} earlier if none was possible. */
        long probeRequestedAt = NONE;

        /** When the newest attempt is checked for being overdue. */
        long overdueAt;

        /** Why the server of the next attempt was chosen. */
        Route route = Route.PRIMARY;

        final MemberState[] attemptMembers;
        final long[] attemptSentAt;
        final boolean[] attemptEnded;

        /** Whether a fault was recorded because the newest attempt got no answer. */
        boolean silenceRecorded;

        /** Whether a probe was requested because the newest attempt is overdue. */
        boolean overdueProbeRequested;

        RequestState(int attempts) {
            attemptMembers = new MemberState[attempts];
            attemptSentAt = new long[attempts];
            attemptEnded = new boolean[attempts];
        }
    }

    /**
     * Creates the module of one gateway.
     *
     * @param seed the seed of the module's random numbers
     */
    public Decide(Gateway gateway, Settings settings, long seed) {
        this.gateway = gateway;
        this.settings = settings;
        this.limits = settings.limits();
        this.rules = settings.rules();
        this.replication = settings.replication();
        this.classes = settings.classes().toArray(new RequestClass[0]);
        this.serversCheckReads = settings.replication().stalenessCheck() != StalenessCheck.NONE;
        this.tracksSessions = !replication.clientsCarryTokens()
                // Without session reads, the recorded commits would accumulate unread.
                && Arrays.stream(classes).anyMatch(c -> c.consistency() == Consistency.SESSION);
        this.random = new SplittableRandom(seed);
        this.slowStart = SlowStart.of(settings, random);
        // An agent that pushes lists answers a call at once and at no cost, and its list binds immediately.
        long firstWait =
                settings.listOnRequest() ? LIST_RETRY_NANOS : Math.min(LIST_RETRY_NANOS, rules.drainGrace() / 4);
        long longestWait = settings.listOnRequest() ? MISSED_CHANGE_NANOS + rules.drainGrace() - LOST_CALLS_NANOS : 0;
        this.listBackoff = new Backoff(firstWait, longestWait / Backoff.MAX_JITTER_FACTOR);
        this.tenantAllowances = new TenantAllowances(settings.tenants().stream()
                .mapToDouble(t -> t.allowancePerSecond() / settings.gatewayCount())
                .toArray());
        this.highestWorth =
                Arrays.stream(classes).mapToDouble(RequestClass::worth).max().orElse(1);
        this.usualLatencies = Arrays.stream(classes)
                .map(c -> new DecayingAverage(
                        c.aim() * INITIAL_LATENCY_AIM_SHARE, LATENCY_TIME_CONSTANT_NANOS, SAMPLE_WEIGHT_LIMIT))
                .toArray(DecayingAverage[]::new);
    }

    @Override
    public void onRequest(
            long currentTime,
            long id,
            long session,
            int groupNumber,
            long deadline,
            long tokenAge,
            boolean isRepeat,
            int classIndex,
            int tenantIndex) {
        now = currentTime;
        RequestState request = new RequestState(limits.maxAttempts());
        request.id = id;
        request.session = session;
        request.arrivedAt = now;
        request.deadline = deadline;
        request.requestClass = classes[classIndex];
        request.classIndex = classIndex;
        request.group = findOrCreateGroup(groupNumber);
        request.worth = request.requestClass.worth()
                * (tenantAllowances.exceeds(tenantIndex, now) ? settings.overAllowanceWorthFactor() : 1);
        if (request.requestClass.consistency() == Consistency.SESSION) {
            long carriedPosition = tokenAge > 0 ? now - tokenAge + NANOS_PER_MILLI : NONE;
            request.requiredPosition =
                    replication.clientsCarryTokens() ? carriedPosition : sessionCommits.requiredPosition(session);
        }
        requestsById.put(id, request);
        retryBudget = Math.min(RETRY_BUDGET_LIMIT, Math.max(0, retryBudget) + RETRY_BUDGET_RATIO);
        gateway.startTimer(Math.max(0, deadline - now - settings.tick()), id);
        routeRequest(request);
    }

    /** Sends the request to a server, holds it, or rejects it if it can't be served in time or be sent again. */
    private void routeRequest(RequestState request) {
        if (now >= request.deadline - settings.tick()
                || request.attemptCount >= limits.maxAttempts()
                || !mayRepeat(request)) {
            rejectRequest(request, "over");
            return;
        }
        MemberState member = chooseMember(request);
        if (member == null || probeBeforeUse(request, member)) {
            holdRequest(request);
        } else if (request.firstUncertainSentAt == NONE
                && expectedLatency(member, request) > acceptableLatency(member, request)) {
            rejectRequest(request, "patience");
        } else {
            sendAttempt(request, member);
        }
    }

    /**
     * Chooses a server for the request, or null if none can take it now or the read waits for a report. A read goes to
     * local replicas, then to remote ones, then to the primary, in each case if they are fresh enough and not busy. A
     * local primary with spare capacity comes before the remote replicas.
     */
    private MemberState chooseMember(RequestState request) {
        MemberState primary = request.group.primary;
        for (MemberState candidate : request.group.members) {
            if (candidate.isSuspected && candidate.ejectedUntil <= now && isListed(candidate)) {
                requestProbe(candidate, "doubted");
            }
        }
        if (request.requestClass.consistency() == Consistency.WRITE
                || request.requestClass.consistency() == Consistency.FRESH) {
            boolean isReady = primary != null && takesWrites(primary) && primary.busyUntil <= now;
            request.route = Route.PRIMARY;
            return isReady && slowStartAllows(primary, request) ? primary : null;
        }
        MemberState chosen = drawReplica(request, true);
        if (chosen == null && probeForPosition(request, true)) {
            return null;
        }
        request.route = Route.OWN_ZONE;
        boolean isAllowed = primary != null && isEligible(primary, request);
        if (chosen == null && isAllowed && hasSpareCapacity(primary, request)) {
            chosen = primary;
            request.route = Route.SPARE_PRIMARY;
        }
        if (chosen == null) {
            chosen = drawReplica(request, false);
            request.route = Route.OTHER_ZONE;
        }
        if (chosen == null && isAllowed && !isBusy(primary, request)) {
            chosen = primary;
            request.route = Route.READ_AT_PRIMARY;
        }
        for (int i = 0; chosen == null && i < 2; i++) {
            request.route = i == 0 ? Route.ALL_BUSY : Route.ALL_EJECTED;
            // If all members are busy, the fastest of them serves the read. If all are ejected, the cause is probably
            // not in a single server, so the second round ignores ejections.
            for (MemberState candidate : request.group.members) {
                isAllowed = i == 0
                        ? isEligible(candidate, request)
                        : isListed(candidate)
                                && isFreshEnough(candidate, request)
                                && slowStartAllows(candidate, request)
                                && !wasTried(request, candidate);
                chosen = isAllowed
                                && (chosen == null
                                        || expectedLatency(candidate, request) < expectedLatency(chosen, request))
                        ? candidate
                        : chosen;
            }
        }
        return chosen == null && probeForPosition(request, false) ? null : chosen;
    }

    /**
     * Probes a server before its use if nothing was heard from it recently and its zone leaves requests unanswered.
     * Returns true while the request waits for the report. This requires servers whose reports show queues.
     *
     * <p>Without this, each gateway would learn that a server hangs or is gone only from a request sent to it. The cost
     * is a probe and 3 ms for each such request.
     */
    private boolean probeBeforeUse(RequestState request, MemberState member) {
        boolean mayWait = reportsShowQueues
                && unansweredShares[member.zone] > IMPAIRED_ZONE_UNANSWERED_SHARE
                && now < request.arrivedAt + 3 * PROBE_WAIT_NANOS;
        boolean heardRecently = Math.max(member.lastHeardAt, member.reportAt) > now - RECENTLY_HEARD_NANOS;
        return mayWait && !heardRecently && requestProbe(member, "first") && now - member.probedAt < PROBE_WAIT_NANOS;
    }

    /**
     * Whether a read should prefer another server. A server is busy if the expected latency with the attempts in flight
     * exceeds a share of the class's aim or the latency acceptable for the request, or if the server refused a request
     * as full. This avoids a refusal while another server has room.
     */
    private boolean isBusy(MemberState member, RequestState request) {
        double limit = Math.min(
                Math.max(BUSY_AIM_SHARE * request.requestClass.aim(), unqueuedLatency(member, request)),
                acceptableLatency(member, request));
        return expectedLatency(member, request) > limit || member.busyUntil > now;
    }

    /**
     * Probes a member whose known position is too old for a read: a local one first, then at intervals any one if no
     * server is fresh enough. Returns true while the read waits for the report. Where servers check reads, the read
     * does not wait and the report serves later reads only.
     *
     * <p>Without this, reads would leave their zone only because positions are not known. The cost is that each read
     * waits in a zone that lags behind.
     */
    private boolean probeForPosition(RequestState request, boolean localOnly) {
        if (request.probeRequestedAt == NONE
                || (!localOnly && now - request.probeRequestedAt >= READ_PROBE_RETRY_NANOS)) {
            MemberState chosen = null;
            int candidateCount = 0;
            for (MemberState candidate : request.group.members) {
                if ((!localOnly || candidate.zone == settings.zone())
                        && isListed(candidate)
                        && !isEjected(candidate)
                        && !isFreshEnough(candidate, request)) {
                    chosen = random.nextInt(++candidateCount) == 0 ? candidate : chosen;
                }
            }
            request.probeRequestedAt =
                    chosen != null && requestProbe(chosen, localOnly ? "local" : "any") ? now : now - PROBE_WAIT_NANOS;
        }
        return !serversCheckReads && now - request.probeRequestedAt < PROBE_WAIT_NANOS;
    }

    /**
     * Whether a lightly loaded local primary takes a read to keep it in the zone. This is the case of a local node with
     * idle resources, and applies only where the group has no replica in the zone. Reads may compete with writes until
     * the primary's latency shows it.
     */
    private boolean hasSpareCapacity(MemberState primary, RequestState request) {
        return primary.zone == settings.zone()
                && expectedLatency(primary, request) <= BUSY_AIM_SHARE / 2 * request.requestClass.aim()
                && primary.group.members.stream().noneMatch(m -> m != primary && m.zone == primary.zone && isListed(m));
    }

    /** Whether a server may take a read: it is healthy, fresh enough, not tried before and allowed by slow start. */
    private boolean isEligible(MemberState member, RequestState request) {
        boolean reportOverdue = member.probePending && now - member.probedAt >= PROBE_WAIT_NANOS;
        return isListed(member)
                && !reportOverdue
                && !isEjected(member)
                && !wasTried(request, member)
                && isFreshEnough(member, request)
                && slowStartAllows(member, request);
    }

    /**
     * Draws a replica that is eligible and not busy from the gateway's own zone or from the others, or null. The weight
     * is 1 / (L * N)^2, where L is the expected latency and N the requests in flight including this one.
     */
    private MemberState drawReplica(RequestState request, boolean fromOwnZone) {
        MemberState chosen = null;
        double totalWeight = 0;
        for (MemberState candidate : request.group.members) {
            if (candidate == request.group.primary
                    || (candidate.zone == settings.zone()) != fromOwnZone
                    || isBusy(candidate, request)
                    || !isEligible(candidate, request)) {
                continue;
            }
            double load = expectedLatency(candidate, request) * (candidate.inFlight + 1);
            double weight = 1 / (load * load);
            totalWeight += weight;
            if (random.nextDouble() * totalWeight < weight) {
                chosen = candidate;
            }
        }
        return chosen;
    }

    private boolean wasTried(RequestState request, MemberState member) {
        return request.group.members.size() > 1
                && Arrays.asList(request.attemptMembers).indexOf(member) >= 0;
    }

    /**
     * Whether the server's data is new enough for a read. Where servers check reads, an estimate suffices, and the data
     * may be too old by half the time that a server waits for newer data.
     */
    private boolean isFreshEnough(MemberState member, RequestState request) {
        long required = request.requestClass.consistency() == Consistency.BOUNDED
                ? now - request.requestClass.maxStaleness()
                : request.requiredPosition;
        // An entry of the list alone does not prove that the server is the primary.
        boolean primaryIsProven = serversCheckReads || !limits.mayProbe() || member.roleAt != NONE;
        return required == NONE
                || member.position >= required
                || (primaryIsProven && member == request.group.primary)
                || (serversCheckReads && now - member.lag >= required - replication.checkWait() / 2.0);
    }

    private boolean isListed(MemberState member) {
        return !member.isDraining && !member.isGone;
    }

    /**
     * Whether a primary may be sent writes. A primary that is ejected for error answers still responds, and no other
     * server can replace it. Without this exception, writes would be held until too late although it serves some of
     * them. A draining primary takes writes during a handover, for the first half of the drain grace.
     */
    private boolean takesWrites(MemberState member) {
        boolean mayHandOver = member.isDraining && now < member.departureListedAt + rules.drainGrace() / 2;
        return (!isEjected(member) || member.ejectedForErrors) && (isListed(member) || mayHandOver);
    }

    private void sendAttempt(RequestState request, MemberState member) {
        int attempt = request.attemptCount;
        // The repeat window starts with the first attempt of uncertain effect. An attempt that is pending when a copy
        // is sent counts as uncertain, however it ends.
        request.firstUncertainSentAt = firstUncertainSendTime(request);
        request.attemptMembers[attempt] = member;
        request.attemptSentAt[attempt] = now;
        request.attemptCount++;
        request.pendingAttemptCount++;
        request.isHeld = request.silenceRecorded = request.overdueProbeRequested = false;
        if (request.requestClass.consistency() == Consistency.BOUNDED) {
            request.requiredPosition = now - request.requestClass.maxStaleness();
        }
        member.inFlight++;
        slowStart.recordSent(member.warmUp);
        gateway.count(slowStart.isCold(member.warmUp, now) ? "sent to a cold server" : "sent", request.route.cause());
        gateway.sendAttempt(request.id, member.serverId, 0);
        scheduleOverdueCheck(request, overdueDelay(request, member));
    }

    private void scheduleOverdueCheck(RequestState request, long delay) {
        request.overdueAt = now + delay;
        gateway.startTimer(delay, request.id);
    }

    /** After how long without an answer an attempt is overdue. */
    private long overdueDelay(RequestState request, MemberState member) {
        double delay = OVERDUE_LATENCY_FACTOR
                * usualLatency(request)
                * (request.requestClass.consistency() == Consistency.WRITE ? currentSlowdown(member) : 1);
        return (long) Math.min(delay, OVERDUE_AIM_SHARE_LIMIT * request.requestClass.aim());
    }

    /**
     * The longest expected latency with which a request is still accepted; it grows with the request's worth. Once a
     * request has waited for half of that limit, its late worth times the time left until its deadline applies instead.
     * Such a request may take the place of one that is still in time.
     */
    private double acceptableLatency(MemberState member, RequestState request) {
        double share = MIN_PATIENCE_AIM_SHARE
                + (MAX_PATIENCE_AIM_SHARE - MIN_PATIENCE_AIM_SHARE) * request.worth / highestWorth;
        double limit = Math.max(request.requestClass.aim() * share, unqueuedLatency(member, request));
        long waited = now - request.arrivedAt;
        return waited < limit / 2 ? limit - waited : request.requestClass.lateWorth() * (request.deadline - now);
    }

    /**
     * The latency of a class at a server up to which no queue is assumed. Without it, nearly all requests would be
     * refused while every server is slow but none has a queue; with it, more answers come late. It does not apply to a
     * primary, since its writes do queue.
     */
    private double unqueuedLatency(MemberState member, RequestState request) {
        double limit = UNQUEUED_AIM_SHARE_LIMIT * request.requestClass.aim();
        return member == request.group.primary
                ? 0
                : Math.min(UNQUEUED_LATENCY_FACTOR * usualLatency(request) * currentSlowdown(member), limit);
    }

    /**
     * The latency expected of a request sent now. It is the class's usual latency, scaled by the slowdown of the
     * server, by 1 plus the estimated queue ratio, and by the attempts in flight if there are more than usual.
     *
     * <p>A few attempts in flight do not count. Otherwise a rarely used replica would look busy with its second
     * request.
     */
    private double expectedLatency(MemberState member, RequestState request) {
        double crowding =
                Math.max(1, (member.inFlight + 1) / (Math.max(DEFAULT_IN_SERVICE_COUNT, member.usualInFlight) + 1));
        return usualLatency(request) * currentSlowdown(member) * crowding * (1 + estimatedQueueRatio(member));
    }

    /**
     * The usual latency of the request's class. Without answers it returns to its initial value: otherwise high
     * latencies, once measured, could cause all requests to be refused for ever.
     */
    private double usualLatency(RequestState request) {
        return usualLatencies[request.classIndex].valueAt(now, request.requestClass.aim() * INITIAL_LATENCY_AIM_SHARE);
    }

    /** How much slower than usual a server is. A server that was not used recently is judged by its group. */
    private double currentSlowdown(MemberState member) {
        return member.slowdown.valueAt(now, member.group.slowdown.valueAt(now, 1));
    }

    /**
     * The number of requests waiting for each one in service. The older the server's last report, the more the mean
     * over its group's replicas counts. Otherwise many gateways, each of which rarely hears from a server, would take a
     * crowded server for an idle one.
     */
    private double estimatedQueueRatio(MemberState member) {
        double groupRatio =
                member.group.queueRatio * Math.exp((member.group.queueRatioAt - now) / SERVER_TIME_CONSTANT_NANOS);
        return groupRatio
                + (member.queueRatio - groupRatio) * Math.exp((member.reportAt - now) / REPORT_TIME_CONSTANT_NANOS);
    }

    /** Keeps the request until a server can take it; rejects it if it is past its aim and worth nothing late. */
    private void holdRequest(RequestState request) {
        if (request.requestClass.lateWorth() == 0 && now - request.arrivedAt > request.requestClass.aim()) {
            rejectRequest(request, "held");
        } else if (!request.isHeld) {
            request.isHeld = true;
            request.group.heldRequests.add(request);
            if (request.group.heldRequests.size() == 1) {
                groupsWithHeldRequests.add(request.group);
            }
        }
    }

    @Override
    public void onAttemptEnded(
            long currentTime,
            long id,
            int attempt,
            long server,
            Result result,
            long elapsed,
            boolean isRequestOver,
            long position,
            Role role,
            Report report) {
        now = currentTime;
        MemberState member = membersByServer.get(server);
        RequestState request = requestsById.get(id);
        if (member != null) {
            member.inFlight = Math.max(0, member.inFlight - 1);
            if (report != null) {
                recordReport(member, report);
            }
            recordResult(member, result, elapsed, request);
            recordRole(member, role, now);
            if (position != NONE) {
                recordPosition(member, position, (double) (now - position), (double) (now - position));
                if (tracksSessions
                        && request != null
                        && request.requestClass.consistency() == Consistency.WRITE
                        && result == Result.OK) {
                    sessionCommits.record(request.session, position, now);
                }
            }
        }
        if (request == null || attempt >= request.attemptCount || request.attemptEnded[attempt]) {
            return;
        }
        request.attemptEnded[attempt] = true;
        request.pendingAttemptCount--;
        if (!result.isCertain) {
            request.firstUncertainSentAt = request.firstUncertainSentAt == NONE
                    ? request.attemptSentAt[attempt]
                    : Math.min(request.firstUncertainSentAt, request.attemptSentAt[attempt]);
        }
        if (isRequestOver || request.isOver) {
            endRequest(request);
            return;
        }
        if (request.group.searchingRequest == request) {
            request.group.searchingRequest = null;
        }
        if (request.pendingAttemptCount == 0) {
            retryBudget -= result.isCertain ? 0 : 1;
            if (retryBudget < 0) {
                rejectRequest(request, "budget");
            } else {
                routeRequest(request);
            }
        }
    }

    /** Whether the class permits another attempt, given the attempts that may have run. */
    private boolean mayRepeat(RequestState request) {
        long firstUncertainAt = firstUncertainSendTime(request);
        if (firstUncertainAt == NONE || request.requestClass.idempotency() == Idempotency.SAFE) {
            return true;
        }
        return request.requestClass.idempotency() == Idempotency.KEYED
                && request.requestClass.deduplicationScope() != DeduplicationScope.ZONE
                && now < firstUncertainAt + request.requestClass.repeatWindow() - rules.answerSlack();
    }

    /** When the first attempt that may have run was sent, or {@code NONE}. Pending attempts may have run. */
    private long firstUncertainSendTime(RequestState request) {
        long firstSentAt = request.firstUncertainSentAt;
        for (int i = 0; i < request.attemptCount; i++) {
            if (!request.attemptEnded[i] && (firstSentAt == NONE || request.attemptSentAt[i] < firstSentAt)) {
                firstSentAt = request.attemptSentAt[i];
            }
        }
        return firstSentAt;
    }

    @Override
    public void onAnswerBegun(long currentTime, long id, int attempt, long server) {
        now = currentTime;
        RequestState request = requestsById.get(id);
        if (request != null && attempt < request.attemptCount && !request.attemptEnded[attempt]) {
            request.attemptEnded[attempt] = true;
            request.pendingAttemptCount--;
            onClientLeft(currentTime, id);
        }
    }

    @Override
    public void onClientLeft(long currentTime, long id) {
        now = currentTime;
        RequestState request = requestsById.get(id);
        if (request != null && !request.isOver) {
            endRequest(request);
        }
    }

    @Override
    public void onTimer(long currentTime, long token) {
        now = currentTime;
        if (token == SWEEP_TOKEN) {
            sweepHeldRequests();
            logSlowStart();
            gateway.startTimer(SWEEP_TICK_COUNT * settings.tick(), SWEEP_TOKEN);
        } else if (token == LIST_RETRY_TOKEN) {
            listCalledAt = now;
            gateway.watchServerList(true);
        } else {
            RequestState request = requestsById.get(token);
            if (request != null && !request.isOver && now >= request.deadline - settings.tick()) {
                rejectRequest(request, "deadline");
            } else if (request != null
                    && !request.isOver
                    && request.pendingAttemptCount > 0
                    && now >= request.overdueAt) {
                handleOverdueAttempt(request);
            }
        }
    }

    /**
     * Records a position of the server's log. It is a lower bound from now on. It also updates the estimate of the
     * server's lag, which is used where servers check reads. A position may be some time old on arrival, so the lag
     * lies between {@code minLag} and {@code maxLag}. The estimate changes only as far as needed to lie within this
     * range.
     */
    private void recordPosition(MemberState member, long position, double minLag, double maxLag) {
        member.position = Math.max(member.position, position);
        member.positionAt = now;
        member.group.newestPosition = Math.max(member.group.newestPosition, position);
        member.lag = Math.max(0, Math.max(minLag, Math.min(maxLag, member.lag)));
    }

    /**
     * Records a report. Reports are some time old. A primary's position is the time at which it made the report, so the
     * lag that the report shows is the age of the report. The upper bound of the age is estimated from these lags.
     */
    private void recordReport(MemberState member, Report report) {
        recordRole(member, report.role(), now - (long) reportAge);
        member.reportAt = now;
        if (report.queuedRequests() >= 0) {
            reportsShowQueues = true;
            double inServiceCount = report.requestsInFlight() > report.queuedRequests()
                    ? report.requestsInFlight() - report.queuedRequests()
                    : DEFAULT_IN_SERVICE_COUNT;
            member.queueRatio = report.queuedRequests() / Math.max(1, inServiceCount);
            GroupState group = member.group;
            // A queue of writes at the primary says nothing about replicas.
            if (member != group.primary) {
                // One report counts little, since the other replicas may be idle. Many reports within a moment count
                // no more, since they show the same queue.
                group.queueRatio += Math.min(
                                THIRTY_SAMPLE_WEIGHT,
                                1 - Math.exp((group.queueRatioAt - now) / SERVER_TIME_CONSTANT_NANOS))
                        * (member.queueRatio - group.queueRatio);
                group.queueRatioAt = now;
            }
        }
        if (report.position() == NONE) {
            return;
        }
        double lag = now - report.position();
        member.isPositionStuck = member.group.newestPosition > report.position() + 2 * STUCK_POSITION_NANOS
                && report.position() <= member.position
                && now - member.positionAt > STUCK_POSITION_NANOS;
        // The position of a hung primary stands still, so it does not show the age of the report.
        if (report.role() == Role.PRIMARY && lag < 2 * STUCK_POSITION_NANOS) {
            reportAge = lag > reportAge ? lag : reportAge + TEN_SAMPLE_WEIGHT * TEN_SAMPLE_WEIGHT * (lag - reportAge);
        }
        if (!replication.reportsInline() || report.position() > member.position) {
            recordPosition(member, report.position(), lag - reportAge, lag);
        }
    }

    /** Records a role of the server as of a time. It is ignored if the role is known for a later time. */
    private void recordRole(MemberState member, Role role, long since) {
        if (role == Role.UNKNOWN || since < member.roleAt) {
            return;
        }
        member.roleAt = since;
        GroupState group = member.group;
        if (role == Role.PRIMARY ? since >= group.primaryRoleAt : group.primary == member) {
            group.primary = role == Role.PRIMARY ? member : null;
            group.primaryRoleAt = since;
        }
    }

    /**
     * Looks for the primary of a group where none is known or the known one takes no writes. One held write at a time
     * is sent to one member after the other. The search continues after each attempt that does not show the primary.
     */
    private void searchForPrimary(GroupState group) {
        if (group.searchingRequest != null || now < group.nextSearchAt || group.heldRequests.isEmpty()) {
            return;
        }
        RequestState write = null;
        for (RequestState candidate : group.heldRequests) {
            if (candidate.isHeld
                    && candidate.requestClass.consistency() == Consistency.WRITE
                    && mayRepeat(candidate)
                    && candidate.pendingAttemptCount == 0
                    && candidate.attemptCount < limits.maxAttempts()
                    && (write == null || candidate.deadline > write.deadline)) {
                write = candidate;
            }
        }
        while (write != null && group.nextSearchIndex < group.members.size()) {
            MemberState member = group.members.get(group.nextSearchIndex++);
            if (takesWrites(member) && isListed(member) && slowStartAllows(member, write)) {
                group.searchingRequest = write;
                write.route = Route.PRIMARY_SEARCH;
                sendAttempt(write, member);
                return;
            }
        }
        group.nextSearchIndex = write == null ? group.nextSearchIndex : 0;
        group.nextSearchAt = now + (write == null ? 0 : PRIMARY_SEARCH_PAUSE_NANOS);
    }

    /**
     * Handles a newest attempt that has taken far longer than usual. A long request takes long on any server, so the
     * delay alone does not move the request. If the server has answered nothing since the attempt was sent, it is
     * probed. A bad report, or silence for four times the usual latency, counts as a fault.
     *
     * <p>Once the server is ejected or unhealthy, a request that is safe or has a key is tried on another server within
     * the retry budget: as a second copy, or, where those are not permitted, after the attempt is cancelled. This
     * covers servers that hang, are silent, are overloaded or are cut off. The cost is a probe, and a copy of a request
     * that was only long.
     */
    private void handleOverdueAttempt(RequestState request) {
        int attempt = request.attemptCount - 1;
        MemberState member = request.attemptMembers[attempt];
        if (request.attemptEnded[attempt]) {
            return;
        }
        boolean isSilent = member.lastHeardAt <= request.attemptSentAt[attempt];
        boolean probeIsPending = isSilent && !request.overdueProbeRequested && requestProbe(member, "overdue");
        request.overdueProbeRequested = true;
        scheduleOverdueCheck(request, probeIsPending ? PROBE_WAIT_NANOS : overdueDelay(request, member));
        if (isSilent
                && !request.silenceRecorded
                && (isUnhealthy(member)
                        || now - request.attemptSentAt[attempt] > SEVERE_DELAY_FACTOR * usualLatency(request))) {
            request.silenceRecorded = true;
            recordLatency(member, request, (double) (now - request.attemptSentAt[attempt]));
            unansweredShares[member.zone] += THIRTY_SAMPLE_WEIGHT * (1 - unansweredShares[member.zone]);
            recordFault(member, "silence");
        }
        boolean mayRetry = retryBudget >= 1 && mayRepeat(request) && request.attemptCount < limits.maxAttempts();
        MemberState alternative = mayRetry && (isEjected(member) || isUnhealthy(member)) ? chooseMember(request) : null;
        if (alternative != null && !limits.maySendSecondCopies()) {
            gateway.cancelAttempt(request.id, attempt);
        } else if (alternative != null) {
            retryBudget--;
            sendAttempt(request, alternative);
        }
    }

    /** Records a latency for the server and for its group, since the server shares the group's load. */
    private void recordLatency(MemberState member, RequestState request, double elapsed) {
        double ratio = Math.min(SLOWDOWN_LIMIT, elapsed / usualLatency(request));
        member.slowdown.addSample(ratio, now, member.group.slowdown.valueAt(now, 1));
        member.group.slowdown.addSample(ratio, now, 1);
    }

    private void recordResult(MemberState member, Result result, long elapsed, RequestState request) {
        switch (result) {
            case OK -> {
                recordAnswer(member);
                slowStart.recordAnswer(member.warmUp, now);
                if (request != null) {
                    // The rest of the time was spent in the queue, which the queue ratio accounts for.
                    double serviceTime = elapsed / (1 + member.queueRatio);
                    recordLatency(member, request, serviceTime);
                    slowStart.recordServiceTime(member.warmUp, request.classIndex, serviceTime, now);
                    usualLatencies[request.classIndex].addSample(
                            serviceTime, now, request.requestClass.aim() * INITIAL_LATENCY_AIM_SHARE);
                }
                member.usualInFlight +=
                        TEN_SAMPLE_WEIGHT * TEN_SAMPLE_WEIGHT * (member.inFlight - member.usualInFlight);
                member.faultScore /= 2;
                if (request != null && request.requiredPosition != NONE && serversCheckReads) {
                    member.position = Math.max(member.position, request.requiredPosition);
                    member.lag = Math.min(member.lag, (double) (now - elapsed - request.requiredPosition));
                }
            }
            case ERROR -> {
                recordAnswer(member);
                recordFault(member, "errors");
            }
            // This does not show that the server responds: a hung server becomes full too.
            case FULL -> member.busyUntil = now + FULL_BUSY_NANOS;
            case SPOILT -> {
                // The server runs, so an occasional malformed answer is no reason to avoid it.
                recordAnswer(member);
                recordFault(member, "spoilt answers", MALFORMED_ANSWER_FAULT_WEIGHT);
            }
            case MISS -> {
                recordAnswer(member);
                if (request != null && request.requestClass.consistency() == Consistency.WRITE) {
                    recordRole(member, Role.REPLICA, now);
                } else if (request != null && request.requiredPosition != NONE) {
                    member.lag = Math.max(member.lag, (double) (now - request.requiredPosition));
                }
            }
            case CONNECT_FAILED -> recordFault(member, "connections");
            // A kept connection may break although its server is up.
            case RESET -> recordFault(member, "connections", RESET_FAULT_WEIGHT);
            default -> {}
        }
    }

    /**
     * Records that the server responds. A server that took no connections or answered no probe may have restarted
     * unnoticed, so it is treated as cold.
     */
    private void recordReachable(MemberState member) {
        if (member.mayHaveRestarted) {
            beginSlowStart(member, now, "was unreachable");
        }
        member.mayHaveRestarted = false;
    }

    private void recordAnswer(MemberState member) {
        unansweredShares[member.zone] -= THIRTY_SAMPLE_WEIGHT * unansweredShares[member.zone];
        recordReachable(member);
        member.isSuspected = false;
        member.lastHeardAt = now;
    }

    /**
     * Adds a fault to the server's score, which counts errors, broken connections and unanswered requests together. Two
     * faults almost in a row, or one fault of an unhealthy server, eject the server for a time that doubles with each
     * ejection. A good answer halves the score; only the passing of time shortens the next ejection.
     *
     * <p>Where the server's zone leaves many requests unanswered, more faults are needed. In any zone, at most half of
     * a group is ejected at a time. The reason for both is that a failure of all servers does not have its cause in one
     * of them. The cost is that chance may eject a server for half a second.
     */
    private void recordFault(MemberState member, String cause) {
        recordFault(member, cause, isUnhealthy(member) ? FAULT_LIMIT : 1);
    }

    private void recordFault(MemberState member, String cause, double weight) {
        member.faultScore += weight;
        // Connections may break although their server is up: a server that has just answered is neither down nor
        // restarted. Resets say even less about a primary, which no other server can replace.
        long recentSpan = weight < 1 && member == member.group.primary ? RECENTLY_HEARD_NANOS : JUST_HEARD_NANOS;
        boolean heardRecently = cause.equals("connections") && member.lastHeardAt > now - recentSpan;
        boolean isUnreachable = cause.equals("connections") || cause.equals("probe");
        member.mayHaveRestarted |= member.faultScore >= FAULT_LIMIT && weight >= 1 && !heardRecently && isUnreachable;
        double limit =
                Math.max(FAULT_LIMIT, Math.log(FALSE_SUSPICION_PROBABILITY) / Math.log(unansweredShares[member.zone]));
        List<MemberState> group = member.group.members;
        boolean tooManyEjected = !member.isSuspected
                && 2 * (group.stream().filter(this::isEjected).count() + 1) > group.size();
        if (member.faultScore < limit || member.ejectedUntil > now || tooManyEjected || heardRecently) {
            return;
        }
        member.ejectionCount =
                (int) Math.max(0, member.ejectionCount - (now - member.ejectedAt) / EJECTION_EXPIRY_NANOS);
        member.ejectedAt = now;
        member.ejectedForErrors = cause.equals("errors");
        member.isSuspected = true;
        member.ejectedUntil =
                now + (FIRST_EJECTION_NANOS << Math.min(member.ejectionCount++, EJECTION_DOUBLINGS_LIMIT));
        // Operators search their logs for this prefix.
        gateway.log("server rests: " + cause + ", server " + member.serverId + " for "
                + (member.ejectedUntil - now) / NANOS_PER_MILLI + " ms");
    }

    /** Whether the server is ejected, or was and, where probes are permitted, has not yet reported well since. */
    private boolean isEjected(MemberState member) {
        return member.ejectedUntil > now || (member.isSuspected && limits.mayProbe());
    }

    /**
     * Whether the server's report is bad: its log position stands still, or it is a replica with many more requests
     * waiting than in service.
     */
    private boolean isUnhealthy(MemberState member) {
        return member.isPositionStuck
                || (member != member.group.primary && estimatedQueueRatio(member) > SEVERE_DELAY_FACTOR);
    }

    private void beginSlowStart(MemberState member, long startedAt, String cause) {
        slowStart.begin(member.warmUp, startedAt, now);
        if (slowStart.isCold(member.warmUp, now)) {
            gateway.count("slow start", cause);
            gateway.log("slow start: server " + member.serverId + " " + cause + ", age "
                    + (now - startedAt) / NANOS_PER_MILLI + " ms");
        }
    }

    /** Whether slow start permits the request at the server now. */
    private boolean slowStartAllows(MemberState member, RequestState request) {
        if (!slowStart.isCold(member.warmUp, now)) {
            return true;
        }
        boolean isAllowed = slowStart.allows(member.warmUp, request.classIndex, usualLatency(request), now);
        gateway.count("slow start", isAllowed ? "allowed" : "withheld");
        return isAllowed;
    }

    /** Logs the budgets of the cold servers that were asked for since the last such line, with their inputs. */
    private void logSlowStart() {
        if (now - slowStartLoggedAt >= SLOW_START_LOG_INTERVAL_NANOS) {
            slowStartLoggedAt = now;
            slowStart.describe(now).ifPresent(gateway::log);
        }
    }

    @Override
    public void onServerList(long currentTime, ListKind kind, List<Gateway.ListEntry> entries) {
        now = currentTime;
        if (!hasStarted) {
            hasStarted = true;
            gateway.startTimer(settings.tick(), SWEEP_TOKEN);
            tenantAllowances.start(now);
            if (settings.listOnRequest()) {
                gateway.watchServerList(true);
            }
        }
        listMayBeStale |= kind == ListKind.SILENT || kind == ListKind.FAILED;
        if (kind == ListKind.SILENT) {
            return;
        }
        if (kind == ListKind.FAILED) {
            gateway.startTimer(listBackoff.nextWait(now - listCalledAt, random), LIST_RETRY_TOKEN);
            return;
        }
        listBackoff.reset();
        listCount++;
        entries.forEach(this::applyListEntry);
        listMayBeStale = kind == ListKind.CACHED && !settings.listOnRequest();
        for (int i = members.size() - 1; i >= 0; i--) {
            MemberState member = members.get(i);
            if (kind == ListKind.FULL && member.lastListNumber < listCount) {
                applyListedState(member, member.isDraining, true);
            }
            // Members that were replaced long ago would otherwise take part in every count and every pass.
            if (member.isMissing
                    && member.inFlight == 0
                    && (member.isGone
                            || now - Math.max(member.departureListedAt, member.lastHeardAt)
                                    > ABSENT_MEMBER_RETENTION_NANOS)) {
                membersByServer.remove(member.serverId);
                members.remove(i);
                slowStart.remove(member.warmUp);
                member.group.members.remove(member);
                member.group.primary = member.group.primary == member ? null : member.group.primary;
            }
        }
    }

    @Override
    public void onDiscoveryMoved(long currentTime) {
        now = currentTime;
        listMayBeStale = true;
        listBackoff.reset();
        if (settings.listOnRequest()) {
            gateway.watchServerList(true);
        }
    }

    /** Applies an entry of the list; a server that is draining stays so until it has restarted. */
    private void applyListEntry(Gateway.ListEntry entry) {
        MemberState member = membersByServer.get(entry.server());
        if (member == null) {
            member = new MemberState();
            member.serverId = entry.server();
            member.warmUp = slowStart.add(entry.server());
            member.group = findOrCreateGroup(entry.group());
            membersByServer.put(member.serverId, member);
            members.add(member);
            member.group.members.add(member);
            member.group.members.sort(Comparator.comparingLong(x -> x.serverId));
        }
        member.zone = entry.zone();
        member.lastListNumber = listCount;
        unansweredShares = member.zone < unansweredShares.length
                ? unansweredShares
                : Arrays.copyOf(unansweredShares, member.zone + 1);
        boolean hasRestarted = entry.startedAt() > member.startedAt;
        if (hasRestarted) {
            member.startedAt = entry.startedAt();
            beginSlowStart(member, member.startedAt, "was started");
        }
        applyListedState(
                member,
                entry.state() == ListedState.DRAINING || (member.isDraining && !hasRestarted),
                entry.state() == ListedState.GONE);
        if (entry.isPrimary() && member.roleAt == NONE && member.group.primaryRoleAt == NONE) {
            member.group.primary = member;
        }
    }

    private void applyListedState(MemberState member, boolean isDraining, boolean isGone) {
        member.departureListedAt = member.isDraining || member.isMissing
                ? member.departureListedAt
                : now - (listMayBeStale ? rules.drainGrace() : 0);
        member.isDraining = isDraining;
        member.isMissing = isGone;
        member.isGone = isGone && rules.removalBinds();
        slowStart.setListed(member.warmUp, isListed(member));
    }

    @Override
    public void onProbeEnded(long currentTime, long server, long elapsed, Result result, Report report) {
        now = currentTime;
        MemberState member = membersByServer.get(server);
        if (member == null) {
            return;
        }
        member.probePending = false;
        if (result == Result.OK) {
            recordReachable(member);
            if (report != null) {
                recordReport(member, report);
                if (member.isSuspected && isUnhealthy(member)) {
                    recordFault(member, "report");
                } else if (member.isSuspected && member.ejectedUntil <= now) {
                    member.isSuspected = false;
                    member.faultScore /= 2;
                }
                routeHeldRequests(member.group);
            }
        } else {
            recordFault(member, "probe");
        }
    }

    /**
     * Probes a server: only where a request needs it, and not again shortly after the last probe. Returns whether a
     * probe is pending.
     */
    private boolean requestProbe(MemberState member, String cause) {
        if (!limits.mayProbe()
                || member.probePending
                || (member.probedAt != NONE && now - member.probedAt < PROBE_INTERVAL_NANOS)) {
            return member.probePending;
        }
        member.probePending = true;
        member.probedAt = now;
        gateway.count("probe", cause);
        gateway.probeServer(member.serverId);
        return true;
    }

    @Override
    public void onPeerMessage(long currentTime, int from, byte[] message) {
        now = currentTime;
    }

    /** Routes the held requests of all groups again and looks for primaries that are not known. */
    private void sweepHeldRequests() {
        // Most groups hold no requests.
        for (GroupState group : List.copyOf(groupsWithHeldRequests)) {
            routeHeldRequests(group);
            if (group.primary == null || !takesWrites(group.primary)) {
                searchForPrimary(group);
            }
        }
    }

    private void routeHeldRequests(GroupState group) {
        List<RequestState> requests = List.copyOf(group.heldRequests);
        group.heldRequests.clear();
        groupsWithHeldRequests.remove(group);
        for (RequestState request : requests) {
            if (request.isHeld) {
                request.isHeld = false;
                routeRequest(request);
            }
        }
    }

    /**
     * Gives the final answer for a request that is not served: a refusal if a further try is harmless, else a failure.
     */
    private void rejectRequest(RequestState request, String cause) {
        gateway.count(request.requestClass.name(), cause);
        boolean isRefusable = request.requestClass.idempotency() == Idempotency.SAFE
                || firstUncertainSendTime(request) == NONE
                || (request.requestClass.idempotency() == Idempotency.KEYED
                        && request.requestClass.deduplicationScope() == DeduplicationScope.ALL);
        if (isRefusable) {
            long wait = (long) (request.requestClass.aim() * (0.5 + random.nextDouble()));
            gateway.refuse(request.id, limits.mayAdviseRetry() ? Math.min(wait, limits.maxRetryAfter()) : 0);
        } else {
            gateway.fail(request.id);
        }
        endRequest(request);
    }

    /** Ends the request and cancels its pending attempts. */
    private void endRequest(RequestState request) {
        if (request.pendingAttemptCount == 0) {
            requestsById.remove(request.id);
        }
        if (request.isOver) {
            return;
        }
        request.isOver = true;
        request.isHeld = false;
        if (request.group.searchingRequest == request) {
            request.group.searchingRequest = null;
        }
        cancelPendingAttempts(request);
    }

    private void cancelPendingAttempts(RequestState request) {
        for (int i = 0; i < request.attemptCount && limits.mayCancel(); i++) {
            if (!request.attemptEnded[i]) {
                gateway.cancelAttempt(request.id, i);
            }
        }
    }

    private GroupState findOrCreateGroup(int number) {
        return groupsByNumber.computeIfAbsent(number, n -> new GroupState());
    }
}
