package stoatrill.slowstart;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.SplittableRandom;
import stoatrill.Gateway.Rules;
import stoatrill.estimate.DecayingRate;

/**
 * Limits the attempts of one router to cold servers. The budget of a cold server grows as it warms up (rule 4). It is
 * shared by all routers: each takes the share that its own traffic has. Times are nanoseconds of the router's clock.
 * Not thread-safe.
 */
public final class SlowStart {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Share of the rules' budget that is used; the rest covers traffic of others that is not seen here. */
    private static final double BUDGET_SHARE = 0.4;

    /** Time constant of the rates of requests and answers. */
    private static final double RATE_TIME_CONSTANT_NANOS = 3e9;

    /** A warm server heard from within this span counts as one that answers. */
    private static final long RECENTLY_HEARD_NANOS = 1000 * NANOS_PER_MILLI;

    private final Rules rules;
    private final SplittableRandom random;
    private final List<ServerWarmUp> servers = new ArrayList<>();
    private final DecayingRate requestRate = new DecayingRate(RATE_TIME_CONSTANT_NANOS);

    /** The rate of answers from servers that are not cold. */
    private final DecayingRate warmAnswerRate = new DecayingRate(RATE_TIME_CONSTANT_NANOS);

    /**
     * Creates the limits of one router.
     *
     * @param random the source of the initial budgets
     */
    public SlowStart(Rules rules, SplittableRandom random) {
        this.rules = rules;
        this.random = random;
    }

    /** Adds a server, which counts as warm until {@link #begin}. */
    public ServerWarmUp add(long serverId) {
        ServerWarmUp server = new ServerWarmUp(serverId);
        servers.add(server);
        return server;
    }

    /** Removes a server that is no longer known. */
    public void remove(ServerWarmUp server) {
        servers.remove(server);
    }

    /** Whether the server may still be warming up. */
    public boolean isCold(ServerWarmUp server, long now) {
        return server.startedAt != ServerWarmUp.LONG_AGO && now - server.startedAt < rules.warmUpSpan();
    }

    /** Begins the slow start of a server that started, or may have restarted, at {@code startedAt}. */
    public void begin(ServerWarmUp server, long startedAt, long now) {
        server.startedAt = startedAt;
        server.filledAt = now;
        server.tokens = random.nextDouble();
    }

    /** Records a request of a client. */
    public void recordRequest(long now) {
        requestRate.recordEvent(now);
    }

    /** Records that the server served an attempt. */
    public void recordAnswer(ServerWarmUp server, long now) {
        if (!isCold(server, now)) {
            warmAnswerRate.recordEvent(now);
        }
    }

    /** Charges the server's budget for an attempt. */
    public void recordSent(ServerWarmUp server) {
        server.tokens--;
        server.sentCount++;
    }

    /**
     * Whether one more attempt may be sent to the server now. Where a router's share of the budget is less than one
     * request, a random initial budget decides when it sends one.
     *
     * <p>The rate of requests counts, not the rate of attempts sent: if all servers were thought cold, their budgets
     * would otherwise stay empty. The rate is limited to what each warm server answers here, since under overload more
     * is requested than any server could handle.
     */
    public boolean allows(ServerWarmUp server, long now) {
        if (!isCold(server, now)) {
            return true;
        }
        double ownRate = requestRate.perSecond(now) / Math.max(1, listedCount());
        int warmCount = warmCount(now);
        if (warmCount > 0) {
            ownRate = Math.min(ownRate, warmAnswerRate.perSecond(now) / warmCount);
        }
        server.tokensPerSecond = BUDGET_SHARE * rules.overloadMultiple() * capacityShare(server, now) * ownRate;
        double tokenLimit = Math.max(1, server.tokensPerSecond * rules.overloadSpan() / NANOS_PER_SECOND / 2);
        double earned = server.tokensPerSecond * (now - server.filledAt) / NANOS_PER_SECOND;
        server.tokens = Math.min(Math.max(0, server.tokens) + earned, tokenLimit);
        server.filledAt = now;
        server.withheldCount += server.tokens < 1 ? 1 : 0;
        return server.tokens >= 1;
    }

    /** The share of its full capacity that a cold server has reached at least. */
    private double capacityShare(ServerWarmUp server, long now) {
        double warmUpProgress = Math.max(0, (double) (now - server.startedAt) / rules.warmUpSpan());
        return rules.coldStartShare() + (1 - rules.coldStartShare()) * warmUpProgress;
    }

    private int listedCount() {
        int count = 0;
        for (ServerWarmUp server : servers) {
            count += server.isListed ? 1 : 0;
        }
        return count;
    }

    /** The number of listed servers that are warm and were heard from recently. */
    private int warmCount(long now) {
        int count = 0;
        for (ServerWarmUp server : servers) {
            boolean isWarm = server.isListed && !isCold(server, now);
            count += isWarm && server.heardAt > now - RECENTLY_HEARD_NANOS ? 1 : 0;
        }
        return count;
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
        return budgets.length() == 0 ? Optional.empty() : Optional.of(describeInputs(now) + budgets);
    }

    private String describeInputs(long now) {
        return String.format(
                Locale.ROOT,
                "slow start: requests %.1f/s, servers listed %d, warm %d answering %.1f/s",
                requestRate.perSecond(now),
                listedCount(),
                warmCount(now),
                warmAnswerRate.perSecond(now));
    }

    private static String describe(ServerWarmUp server, long now) {
        return String.format(
                Locale.ROOT,
                "; server %d: age %d ms, budget %.2f/s, sent %d, withheld %d",
                server.serverId,
                (now - server.startedAt) / NANOS_PER_MILLI,
                server.tokensPerSecond,
                server.sentCount,
                server.withheldCount);
    }
}
