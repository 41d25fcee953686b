package stoatrill.slowstart;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stoatrill.Gateway.Rules;

/** All routers together keep the budget of a cold server, whatever is requested and whatever the routers know. */
class SlowStartTest {
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final long STEP_NANOS = 5_000_000L;
    private static final long START_NANOS = 1_700_000_000L * SECOND_NANOS;
    private static final double COLD_SHARE = 0.25;
    private static final double OVERLOAD_FACTOR = 3;
    private static final long WARM_UP_NANOS = 18 * SECOND_NANOS;
    private static final Rules RULES =
            new Rules(0, 0, 2 * SECOND_NANOS, COLD_SHARE, WARM_UP_NANOS, OVERLOAD_FACTOR, SECOND_NANOS, true);

    /** What a warm server can do in a second, at 40 ms for each request. */
    private static final int WARM_PER_SECOND_COUNT = 100;

    private static final double SERVICE_NANOS = 40e6;

    /** The class of the requests, and one of lighter ones. */
    private static final int READ = 0;

    private static final int LIGHT_READ = 1;

    /** One router: its limits, its warm servers and a cold one. */
    private static final class Router {
        final SlowStart slowStart;
        final List<ServerWarmUp> warm = new ArrayList<>();
        ServerWarmUp cold;

        Router(int routers, int warmCount, long seed) {
            slowStart = new SlowStart(RULES, routers, new SplittableRandom(seed), true, true);
            for (int i = 0; i < warmCount; i++) {
                warm.add(slowStart.add(i));
                slowStart.setListed(warm.get(i), true);
            }
        }

        void startCold(long now) {
            cold = slowStart.add(1000);
            slowStart.setListed(cold, true);
            slowStart.begin(cold, now, now);
        }

        void loseWarm() {
            warm.forEach(server -> slowStart.setListed(server, false));
        }
    }

    private final List<Router> routers = new ArrayList<>();
    private final SplittableRandom random = new SplittableRandom(5);

    /** Requests that came to the cold server, by time. */
    private final List<Long> arrivals = new ArrayList<>();

    private double answersOwed;

    private void startRouters(int count, int warmCount, long firstSeed) {
        routers.clear();
        for (int i = 0; i < count; i++) {
            routers.add(new Router(count, warmCount, firstSeed + i));
        }
    }

    /** Each warm server answers at its limit for this long, to routers drawn at random. */
    private long answerWarm(long from, long span) {
        int warmCount = routers.get(0).warm.size();
        long gap = SECOND_NANOS / ((long) WARM_PER_SECOND_COUNT * warmCount);
        for (long now = from; now < from + span; now += gap) {
            Router router = routers.get(random.nextInt(routers.size()));
            router.slowStart.recordAnswer(router.warm.get(random.nextInt(warmCount)), now);
        }
        return from + span;
    }

    /**
     * Every router asks for the cold server at each step for this long, as under any overload. The server answers what
     * it can. Asserts that no window of a second has more than the rules allow.
     */
    private void demandEverything(long from, long span, long startedAt) {
        for (long now = from; now < from + span; now += STEP_NANOS) {
            double capacity = capacity(now, startedAt);
            answersOwed = Math.min(answersOwed + capacity * STEP_NANOS / (double) SECOND_NANOS, 1);
            for (int i = 0; i < routers.size(); i++) {
                Router router = routers.get((i + (int) (now / STEP_NANOS % routers.size())) % routers.size());
                while (router.slowStart.allows(router.cold, READ, SERVICE_NANOS, now)) {
                    router.slowStart.recordSent(router.cold);
                    arrivals.add(now);
                    if (answersOwed >= 1) {
                        answersOwed--;
                        router.slowStart.recordAnswer(router.cold, now);
                    }
                }
            }
            long until = now;
            long inSpan =
                    arrivals.stream().filter(at -> at > until - SECOND_NANOS).count();
            double allowed = OVERLOAD_FACTOR * capacity;
            double limit = allowed + 2 * Math.sqrt(allowed) + 2;
            assertTrue(inSpan <= limit, inSpan + " in a second at age " + (now - startedAt) + ", limit " + limit);
        }
    }

    private static double capacity(long now, long startedAt) {
        double progress = Math.min(1, (double) (now - startedAt) / WARM_UP_NANOS);
        return WARM_PER_SECOND_COUNT * (COLD_SHARE + (1 - COLD_SHARE) * progress);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 52, 300, 1400})
    void routersKeepTheBudgetOfAColdServerOnceNoWarmOneIsLeft(int count) {
        startRouters(count, 9, 1);
        long now = answerWarm(START_NANOS, 20 * SECOND_NANOS);
        for (Router router : routers) {
            router.startCold(now);
            router.loseWarm();
        }
        demandEverything(now, 6 * SECOND_NANOS, now);
        assertTrue(arrivals.size() > 6 * WARM_PER_SECOND_COUNT * COLD_SHARE / 2, arrivals.size() + " sent in 6 s");
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 52, 300, 1400})
    void newRoutersKeepTheBudgetOfAColdServerThatIsTheOnlyOne(int count) {
        startRouters(count, 0, 100);
        routers.forEach(router -> router.startCold(START_NANOS));
        demandEverything(START_NANOS, 6 * SECOND_NANOS, START_NANOS);
        assertTrue(arrivals.size() > 6, arrivals.size() + " sent in 6 s");
    }

    /** Permits that all routers saved up while the server was not asked for would be used at one moment. */
    @ParameterizedTest
    @ValueSource(ints = {52, 300, 1400})
    void routersThatHaveNotUsedTheColdServerDoNotAllSendAtOnce(int count) {
        startRouters(count, 9, 300);
        long start = answerWarm(START_NANOS, 20 * SECOND_NANOS);
        routers.forEach(router -> router.startCold(start));
        long now = answerWarm(start, 2 * SECOND_NANOS);
        for (Router router : routers) {
            router.slowStart.allows(router.cold, READ, SERVICE_NANOS, now);
            router.loseWarm();
        }
        demandEverything(now + 2 * SECOND_NANOS, SECOND_NANOS, start);
    }

    @Test
    void oneWarmServerOfManyThatIsLeftDoesNotRaiseTheBudget() {
        startRouters(52, 9, 500);
        long now = answerWarm(START_NANOS, 20 * SECOND_NANOS);
        for (Router router : routers) {
            router.startCold(now);
            router.warm.subList(1, 9).forEach(server -> router.slowStart.setListed(server, false));
        }
        demandEverything(now, 6 * SECOND_NANOS, now);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 52, 300})
    void routersUseTheColdServerMoreAndMoreWhileListedWarmOnesAnswerNothing(int count) {
        startRouters(count, 9, 900);
        long startedAt = answerWarm(START_NANOS, 20 * SECOND_NANOS);
        routers.forEach(router -> router.startCold(startedAt));
        demandEverything(startedAt, 16 * SECOND_NANOS, startedAt);
        long lastSeconds = startedAt + 14 * SECOND_NANOS;
        double sentPerSecond = arrivals.stream().filter(at -> at >= lastSeconds).count() / 2.0;
        assertTrue(sentPerSecond >= capacity(lastSeconds, startedAt) / 2, sentPerSecond + " a second");
    }

    /** Warm servers that answer eight times as many light reads do the same work. */
    @ParameterizedTest
    @ValueSource(ints = {1, 52, 300})
    void heavyReadsKeepTheBudgetThoughWarmServersAnsweredLightOnes(int count) {
        startRouters(count, 9, 1100);
        long now = START_NANOS;
        for (long until = now + 20 * SECOND_NANOS; now < until; now += SECOND_NANOS / (9 * 8 * WARM_PER_SECOND_COUNT)) {
            Router router = routers.get(random.nextInt(count));
            ServerWarmUp server = router.warm.get(random.nextInt(9));
            router.slowStart.recordAnswer(server, now);
            router.slowStart.recordServiceTime(server, LIGHT_READ, SERVICE_NANOS / 8, now);
        }
        for (Router router : routers) {
            router.startCold(now);
            router.loseWarm();
        }
        demandEverything(now, 6 * SECOND_NANOS, now);
        assertTrue(arrivals.size() > 6 * WARM_PER_SECOND_COUNT * COLD_SHARE / 2, arrivals.size() + " sent in 6 s");
    }

    @Test
    void aRestartedServerBeginsWithoutThePermitsAndAnswersOfBefore() {
        startRouters(1, 9, 700);
        long now = answerWarm(START_NANOS, 20 * SECOND_NANOS);
        Router router = routers.get(0);
        router.startCold(now);
        long later = now + SECOND_NANOS;
        assertTrue(router.slowStart.allows(router.cold, READ, SERVICE_NANOS, later), "a permit after a second");
        router.slowStart.begin(router.cold, later, later);
        assertEquals(0.0, router.cold.permittedWork);
        assertEquals(0.0, router.cold.answerRate.perSecond(later));
    }
}
