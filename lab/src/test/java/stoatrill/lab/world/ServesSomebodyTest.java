package stoatrill.lab.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stoatrill.lab.world.WorldTest.trouble;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import stoatrill.Decide;
import stoatrill.Gateway;
import stoatrill.lab.policy.Policy;

/**
 * On days without a fault of their own and while instances are replaced and all routers restarted, no router of a
 * fleet turns away all that it gets for 4 s on end, with 15 requests or more and no attempt in between. The operators
 * bear it of one router in ten. All routers run the real reducer and module on one fake clock.
 */
class ServesSomebodyTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long MOST_SPAN = 4 * SECOND;
    private static final int MOST_REFUSED = 15;
    private static final String CALM = trouble("jump", "at 5s; for 6s; size 1.5; extra 500ms");
    private static final String ROLL = trouble("node-replace", "at 4s; for 9s; part 50%; extra 3s")
            + trouble("router-restart", "at 4s; for 9s; part 100%; size 10%; extra 500ms");

    /** What one process of a router has refused since its last attempt. */
    private static final class Refusals {
        private long now;
        private long since = -1;
        private int refused;
        private int most;
        private int asked;

        void refused() {
            since = refused == 0 ? now : since;
            refused++;
            if (now - since >= MOST_SPAN) {
                most = Math.max(most, refused);
            }
        }

        boolean servesNobody() {
            return most >= MOST_REFUSED;
        }
    }

    private interface Decisions {
        Gateway.Events make(Gateway out, Policy.Sight sight);
    }

    /** Plays a day of a fleet in which a router gets some ten requests a second; returns all its routers' refusals. */
    private static List<Refusals> play(int routers, String troubles, long seed, Decisions decisions) throws Exception {
        List<Refusals> all = new ArrayList<>();
        BiFunction<Gateway, Policy.Sight, Gateway.Events> counted = (out, sight) -> {
            Refusals own = new Refusals();
            all.add(own);
            return timed(own, decisions.make(counting(own, out), sight));
        };
        int groups = Math.max(1, routers / 12);
        World world = new World(
                WorldTest.plan("day 20s\nmodel {\n routers " + routers + "\n groups " + groups + "\n nodes "
                        + 6 * groups + "\n rate " + 10 * routers + "/s\n cold-from 24%\n}\n" + troubles),
                seed,
                counted);
        world.run();
        assertEquals(Map.of(), world.audit().counts(), world.audit().first().toString());
        return all;
    }

    /** The gateway, counting what its module refuses and that it sends. */
    private static Gateway counting(Refusals own, Gateway out) {
        return (Gateway) Proxy.newProxyInstance(
                Gateway.class.getClassLoader(), new Class<?>[] {Gateway.class}, (proxy, method, args) -> {
                    if (method.getName().equals("refuse")) {
                        own.refused();
                    } else if (method.getName().equals("sendAttempt")) {
                        own.refused = 0;
                    }
                    return method.invoke(out, args);
                });
    }

    /** The module, with the time of each event kept. */
    private static Gateway.Events timed(Refusals own, Gateway.Events module) {
        return (Gateway.Events) Proxy.newProxyInstance(
                Gateway.class.getClassLoader(), new Class<?>[] {Gateway.Events.class}, (proxy, method, args) -> {
                    own.now = (long) args[0];
                    own.asked += method.getName().equals("onRequest") ? 1 : 0;
                    return method.invoke(module, args);
                });
    }

    private static Gateway.Events shipped(Gateway out, Policy.Sight sight) {
        return new Decide(out, sight.settings(), sight.seed());
    }

    private static long servingNobody(List<Refusals> all) {
        return all.stream().filter(Refusals::servesNobody).count();
    }

    @ParameterizedTest
    @CsvSource({"3,CALM", "3,ROLL", "14,CALM", "14,ROLL", "60,CALM", "60,ROLL", "100,ROLL"})
    void noRouterOfAFleetTurnsAwayAllThatItGetsForFourSeconds(int routers, String day) throws Exception {
        for (long seed = 11; seed <= 12; seed++) {
            List<Refusals> all = play(routers, day.equals("CALM") ? CALM : ROLL, seed, ServesSomebodyTest::shipped);
            int asked = all.stream().mapToInt(r -> r.asked).sum();
            assertTrue(asked > 100 * routers, "requests that came: " + asked);
            assertEquals(0, servingNobody(all), routers + " routers, seed " + seed);
        }
    }

    /** Of eight routers one refuses all that it gets in its first 8 s. */
    @Test
    void aRouterThatTurnsAllAwayIsSeen() throws Exception {
        int[] made = {0};
        List<Refusals> all = play(8, "", 11, (out, sight) -> {
            Gateway.Events module = shipped(out, sight);
            boolean bad = made[0]++ == 3;
            long[] first = {-1};
            return (Gateway.Events) Proxy.newProxyInstance(
                    Gateway.class.getClassLoader(), new Class<?>[] {Gateway.Events.class}, (proxy, method, args) -> {
                        first[0] = first[0] < 0 ? (long) args[0] : first[0];
                        boolean early = (long) args[0] - first[0] < 2 * MOST_SPAN;
                        if (bad && early && method.getName().equals("onRequest")) {
                            out.refuse((long) args[1], 0);
                            return null;
                        }
                        return method.invoke(module, args);
                    });
        });
        assertEquals(1, servingNobody(all));
    }
}
