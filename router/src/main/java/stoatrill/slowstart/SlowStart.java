package stoatrill.slowstart;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.SplittableRandom;
import stoatrill.Gateway.Consistency;
import stoatrill.Gateway.RequestClass;
import stoatrill.Gateway.Rules;
import stoatrill.Gateway.Settings;
import stoatrill.estimate.DecayingRate;
import stoatrill.estimate.RelativeWork;
import stoatrill.estimate.ServerThroughput;

/**
 * Limits the attempts of one router to cold servers (rule 4). The rules give a cold server a budget: a multiple of what
 * it can do at the moment. All routers share the budget without talking to each other, so each takes a part such that
 * all parts add up to less than the budget, whatever is requested.
 *
 * <p>A router's part is derived from what servers have answered here, and never from what is requested: requests grow
 * without bound when servers leave and clients retry, but servers answer no more than they can. The part is what a warm
 * server has answered to this router, times the share of its capacity that the cold server has reached. While no warm
 * server is listed, the last estimate holds. A router that has hardly had answers from warm servers, such as a new one,
 * or has had none for some time though they are listed, takes as its part what the cold server itself answers to it.
 *
 * <p>Servers fall by work, so a request that is heavier than the mean of those answered takes up as much more of the
 * part.
 *
 * <p>Times are nanoseconds of the router's clock. Not thread-safe.
 */
public final class SlowStart {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Share of the rules' budget that is used; the rest covers chance, and routers that don't know of the start. */
    private static final double BUDGET_SHARE = 0.5;

    /**
     * By how much of the rules' multiple above 1 the attempts may exceed what the server answers, so that they grow
     * while it keeps up.
     */
    private static final double GROWTH_SHARE = 0.25;

    /** Requests in the span over which overload counts, below which the rules allow more for chance. */
    private static final double SMALL_BUDGET_COUNT = 30;

    /** Time constant of the throughput of warm servers. */
    private static final double WARM_TIME_CONSTANT_NANOS = 10e9;

    /** The span over which the throughput of warm servers is averaged at least. */
    private static final double WARM_LEAST_SPAN_NANOS = 1e9;

    /** Answers from warm servers from which on their throughput is known. */
    private static final int KNOWN_ANSWER_COUNT = 10;

    /** For how long listed warm servers may answer nothing here before their throughput counts as unknown. */
    private static final long SILENCE_LIMIT_NANOS = 5_000_000_000L;

    private final Rules rules;
    private final int routerCount;
    private final SplittableRandom random;
    private final List<ServerWarmUp> servers = new ArrayList<>();
    private final ServerThroughput warmThroughput =
            new ServerThroughput(WARM_TIME_CONSTANT_NANOS, WARM_LEAST_SPAN_NANOS);

    /** The work of requests compared with those that warm servers have answered here. */
    private final RelativeWork relativeWork;

    /** The number of listed warm servers as of {@code countedAt}. */
    private int warmCount;

    private long countedAt;
    private boolean isCountOutdated;

    /**
     * Creates the limits of one router.
     *
     * @param routerCount the number of routers that share the budgets, at least 1
     * @param random decides when a part of less than one attempt is used
     * @param isRead whether each class of requests, by index, is of reads; writes wait for replication, so the time for
     *     their answers doesn't tell their work
     */
    public SlowStart(Rules rules, int routerCount, SplittableRandom random, boolean... isRead) {
        this.rules = rules;
        this.routerCount = routerCount;
        this.random = random;
        this.relativeWork = new RelativeWork(WARM_TIME_CONSTANT_NANOS, isRead);
    }

    /** Creates the limits of a router with these settings; {@code random} as in the constructor. */
    public static SlowStart of(Settings settings, SplittableRandom random) {
        List<RequestClass> classes = settings.classes();
        boolean[] isRead = new boolean[classes.size()];
        for (int i = 0; i < isRead.length; i++) {
            isRead[i] = classes.get(i).consistency() != Consistency.WRITE;
        }
        return new SlowStart(settings.rules(), settings.gatewayCount(), random, isRead);
    }

    /** Adds a server, which counts as warm until {@link #begin} and as not listed until {@link #setListed}. */
    public ServerWarmUp add(long serverId) {
        ServerWarmUp server = new ServerWarmUp(serverId);
        servers.add(server);
        return server;
    }

    /** Removes a server that is no longer known. */
    public void remove(ServerWarmUp server) {
        servers.remove(server);
        isCountOutdated = true;
    }

    /** Sets whether the server is on the list and does not drain. */
    public void setListed(ServerWarmUp server, boolean isListed) {
        server.isListed = isListed;
        isCountOutdated = true;
    }

    /** Whether the server may still be warming up. */
    public boolean isCold(ServerWarmUp server, long now) {
        return server.startedAt != ServerWarmUp.LONG_AGO && now - server.startedAt < rules.warmUpSpan();
    }

    /** Begins the slow start of a server that started, or may have restarted, at {@code startedAt}. */
    public void begin(ServerWarmUp server, long startedAt, long now) {
        server.startedAt = startedAt;
        server.answerRate = new DecayingRate((double) rules.overloadSpan());
        server.permittedWork = 0;
        server.grantedUntil = now;
        isCountOutdated = true;
    }

    /** Records that the server served an attempt. */
    public void recordAnswer(ServerWarmUp server, long now) {
        if (isCold(server, now)) {
            server.answerRate.recordEvent(now);
        } else if (server.isListed) {
            countWarm(now);
            warmThroughput.recordAnswer(Math.max(1, warmCount), now);
        }
    }

    /** Records how long the server took for an answer to a request of a class. */
    public void recordServiceTime(ServerWarmUp server, int classIndex, double nanos, long now) {
        if (server.isListed && !isCold(server, now)) {
            relativeWork.record(classIndex, nanos, now);
        }
    }

    /** Charges the server's budget for an attempt of the request that last asked for it. */
    public void recordSent(ServerWarmUp server) {
        server.permittedWork = Math.max(0, server.permittedWork - server.askedWork);
        server.sentCount++;
    }

    /**
     * Whether one more attempt may be sent to the server now.
     *
     * @param classIndex the request's class
     * @param serviceNanos the usual time that a server takes for such a request, positive
     */
    public boolean allows(ServerWarmUp server, int classIndex, double serviceNanos, long now) {
        if (!isCold(server, now)) {
            return true;
        }
        countWarm(now);
        server.askedWork = isWarmThroughputKnown() ? relativeWork.of(classIndex, serviceNanos) : 1;
        server.workPerSecond = ownPart(server, serviceNanos, now);
        grantPermits(server, now);
        boolean isAllowed = server.permittedWork >= server.askedWork;
        server.withheldCount += isAllowed ? 0 : 1;
        return isAllowed;
    }

    /**
     * This router's part of the budget, in requests of mean work a second. The parts of all routers add up to less than
     * the budget: the warm servers have answered what the parts are derived from, or the cold one has, and any server
     * handles one request at a time.
     */
    private double ownPart(ServerWarmUp server, double serviceNanos, long now) {
        double capacityShare = capacityShare(server, now);
        double least = leastBudget(capacityShare * NANOS_PER_SECOND / serviceNanos) / routerCount * server.askedWork;
        if (isWarmThroughputKnown()) {
            return Math.max(
                    least, BUDGET_SHARE * rules.overloadMultiple() * capacityShare * warmThroughput.perSecond());
        }
        double growth = 1 + GROWTH_SHARE * (rules.overloadMultiple() - 1);
        return least + growth * server.answerRate.perSecond(now);
    }

    /**
     * The attempts a second from all routers to a server that can do {@code throughput} requests a second. This
     * includes a part of what the rules allow for chance, which is most of the budget of a small server.
     */
    private double leastBudget(double throughput) {
        double spanSeconds = rules.overloadSpan() / NANOS_PER_SECOND;
        double allowed = rules.overloadMultiple() * throughput * spanSeconds;
        double chance = allowed < SMALL_BUDGET_COUNT ? 3 * Math.sqrt(allowed) + 3 : 2 * Math.sqrt(allowed) + 2;
        return BUDGET_SHARE * (allowed + chance) / spanSeconds;
    }

    private boolean isWarmThroughputKnown() {
        return warmThroughput.answerCount() >= KNOWN_ANSWER_COUNT
                && warmThroughput.silenceNanos() <= SILENCE_LIMIT_NANOS;
    }

    /**
     * Grants the permits of the time since the last grant. Permits that are not used expire after half the span over
     * which overload counts. A fraction of a permit is granted by chance, so that routers whose parts are less than one
     * attempt don't all save up for one and use it at the same moment.
     */
    private void grantPermits(ServerWarmUp server, long now) {
        double lifetimeNanos = rules.overloadSpan() / 2.0;
        if (now - server.grantedAt > lifetimeNanos) {
            server.permittedWork = 0;
        }
        double elapsedNanos = Math.min((double) (now - server.grantedUntil), lifetimeNanos);
        double expectedCount = server.workPerSecond / server.askedWork * elapsedNanos / NANOS_PER_SECOND;
        int grantedCount = (int) expectedCount;
        grantedCount += random.nextDouble() < expectedCount - grantedCount ? 1 : 0;
        server.grantedUntil = now;
        if (grantedCount > 0) {
            double limit = Math.max(server.askedWork, server.workPerSecond * lifetimeNanos / NANOS_PER_SECOND);
            server.permittedWork = Math.min(server.permittedWork + grantedCount * server.askedWork, limit);
            server.grantedAt = now;
        }
    }

    /** The share of its full capacity that a cold server has reached at least. */
    private double capacityShare(ServerWarmUp server, long now) {
        double warmUpProgress = Math.max(0, (double) (now - server.startedAt) / rules.warmUpSpan());
        return rules.coldStartShare() + (1 - rules.coldStartShare()) * warmUpProgress;
    }

    /** Counts the warm servers, and the time until now for those counted before. */
    private void countWarm(long now) {
        if (countedAt == now && !isCountOutdated) {
            return;
        }
        warmThroughput.advance(warmCount, now);
        int count = 0;
        for (ServerWarmUp server : servers) {
            count += server.isListed && !isCold(server, now) ? 1 : 0;
        }
        warmCount = count;
        countedAt = now;
        isCountOutdated = false;
    }

    /**
     * Describes the budgets of the cold servers that were asked for since the last description, with the inputs of the
     * budgets; empty if none was.
     */
    public Optional<String> describe(long now) {
        StringBuilder budgets = new StringBuilder();
        for (ServerWarmUp server : servers) {
            if (isCold(server, now) && server.sentCount + server.withheldCount > 0) {
                budgets.append(describe(server, now));
            }
            server.sentCount = 0;
            server.withheldCount = 0;
        }
        return budgets.length() == 0 ? Optional.empty() : Optional.of(describeInputs() + budgets);
    }

    private String describeInputs() {
        return String.format(
                Locale.ROOT,
                "slow start: %d warm servers listed, each answers %.2f/s here%s",
                warmCount,
                warmThroughput.perSecond(),
                isWarmThroughputKnown() ? "" : " (not yet known)");
    }

    private static String describe(ServerWarmUp server, long now) {
        return String.format(
                Locale.ROOT,
                "; server %d: age %d ms, answers %.2f/s, budget %.2f/s, sent %d, withheld %d",
                server.serverId,
                (now - server.startedAt) / NANOS_PER_MILLI,
                server.answerRate.perSecond(now),
                server.workPerSecond,
                server.sentCount,
                server.withheldCount);
    }
}
