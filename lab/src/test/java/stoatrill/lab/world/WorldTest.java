package stoatrill.lab.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import org.junit.jupiter.api.Test;
import stoatrill.Gateway;
import stoatrill.Gateway.ListEntry;
import stoatrill.Gateway.ListKind;
import stoatrill.Gateway.Report;
import stoatrill.Gateway.Result;
import stoatrill.Gateway.Role;
import stoatrill.lab.policy.Policy;
import stoatrill.settings.BlockReader;
import stoatrill.settings.Problems;
import stoatrill.settings.SettingsFile;

class WorldTest {
    private static final String MODEL = "day 20s\nmodel {\n routers 2\n nodes 6\n load 40%\n";

    static Plan plan(String text) throws Exception {
        Problems problems = new Problems();
        BlockReader in = new BlockReader(SettingsFile.parse("t", text), problems);
        Plan plan = Plan.read(in);
        in.reportUnknown();
        problems.throwIfAny();
        return plan;
    }

    private static World play(String text, Policy policy) throws Exception {
        World world = new World(plan(text), 3, policy);
        world.run();
        return world;
    }

    private static World sane(String text) throws Exception {
        World world = play(text, Policy.DECIDE);
        assertEquals(Map.of(), world.audit().counts(), world.audit().first().toString());
        assertEquals(0, world.invariants());
        return world;
    }

    static String trouble(String kind, String rest) {
        return "trouble " + kind + " {\n " + rest.replace(";", "\n") + "\n}\n";
    }

    private static long ends(World w, Tally.End end) {
        return w.tally().ends(end);
    }

    @Test
    void aCalmDayIsServedNearlyWhole() throws Exception {
        World w = sane(MODEL + "}\n");
        assertTrue(w.tally().whole() > 0.95, "served " + w.tally().whole());
        assertTrue(w.tally().requests > 5_000);
        assertTrue(
                w.tally().crossing() < 0.3,
                "reads stay in their zone: " + w.tally().crossing());
    }

    @Test
    void aPrimaryThatDiesWithWritesInItLosesNoRuleAndAnotherTakesOver() throws Exception {
        World w = sane(MODEL + "}\n" + trouble("node-crash", "at 5s; for 8s; part 15%; size 100%"));
        assertEquals(1, w.failovers());
        assertTrue(ends(w, Tally.End.FAILED) > 0, "what was in it failed");
        assertTrue(w.tally().whole() > 0.5);
    }

    @Test
    void aNodeThatIsColdAndFloodedTipsOverAndTheModuleDoesNotFloodIt() throws Exception {
        String text = "day 20s\nmodel {\n routers 2\n nodes 2\n load 60%\n cold-from 5%\n warm-after 18s\n"
                + " tip-multiple 1.5\n speed-spread 0%\n}\n"
                + trouble("node-crash", "at 4s; for 4s; part 50%; size 0%");
        assertTrue(play(text, Policy.RANDOM).audit().counts().getOrDefault(Audit.Rule.COLD, 0L) > 0);
        assertEquals(0, play(text, Policy.DECIDE).audit().counts().getOrDefault(Audit.Rule.COLD, 0L));
    }

    @Test
    void aListFiveSecondsLateAndThenDownBreaksNoDrain() throws Exception {
        World w = sane(MODEL + " list-notice 5s\n}\n" + trouble("node-drain", "at 3s; for 9s; part 30%; extra 8s")
                + trouble("list-down", "at 9s; for 8s"));
        assertTrue(w.tally().whole() > 0.5);
    }

    @Test
    void routersRestartedMidRequestLoseOnlyWhatTheyHeld() throws Exception {
        World w = sane(MODEL + "}\n" + trouble("router-restart", "at 5s; for 5s; part 100%; size 50%; extra 500ms"));
        assertTrue(ends(w, Tally.End.ROUTER_LOST) > 0);
        assertTrue(ends(w, Tally.End.ROUTER_DOWN) > 0, "the front sends on to a dead router");
        assertTrue(w.tally().whole() > 0.7);
    }

    @Test
    void troublesThatOverlapBreakNoRule() throws Exception {
        sane(MODEL + "}\n" + trouble("slow-apply", "at 4s; for 8s; part 90%; size 15")
                + trouble("jump", "at 6s; for 5s; size 2.4; extra 200ms")
                + trouble("fast-errors", "at 5s; for 6s; part 20%; size 90%"));
        sane(MODEL + "}\n" + trouble("node-hang", "at 4s; for 6s; part 30%; size 100%")
                + trouble("shared-slow", "at 5s; for 6s; size 2.7"));
    }

    @Test
    void troublesLeaveNodesAloneThatWereReplacedMeanwhile() throws Exception {
        String replaced = trouble("node-replace", "at 3s; for 6s; part 50%; extra 1s");
        for (String other : List.of(
                trouble("zone-crash", "at 6s; for 5s"),
                trouble("node-replace", "at 4s; for 8s; part 50%; extra 1s"),
                trouble("node-hang", "at 4s; for 8s; part 60%; size 100%"),
                trouble("slow-apply", "at 2s; for 9s; part 90%; size 15"),
                trouble("node-drain", "at 4s; for 8s; part 60%; extra 5s"))) {
            World w = sane(MODEL + "}\n" + replaced + other);
            assertTrue(w.tally().requests > 1_000, other);
        }
    }

    @Test
    void aZoneCutOffIsServedByWhatItCanReach() throws Exception {
        World w = play(MODEL + "}\n" + trouble("cut-zone", "at 5s; for 5s"), Policy.DECIDE);
        assertEquals(Map.of(), w.audit().counts(), w.audit().first().toString());
        assertTrue(w.tally().whole() > 0.6, "served " + w.tally().whole());
    }

    /** Breaks one rule on purpose: the audit must see it. */
    private static final class Saboteur implements Gateway.Events {
        private final Gateway out;
        private final String how;
        private List<ListEntry> members = List.of();

        Saboteur(Gateway out, String how) {
            this.out = out;
            this.how = how;
        }

        private long one(boolean primary) {
            return members.stream()
                    .filter(m -> m.isPrimary() == primary)
                    .findFirst()
                    .orElseThrow()
                    .server();
        }

        @Override
        public void onRequest(
                long now, long id, long key, int group, long deadline, long age, boolean repeat, int kind, int tenant) {
            boolean write = kind == 2;
            switch (how) {
                case "twice" -> {
                    out.sendAttempt(id, one(true), 0);
                    if (write) {
                        out.sendAttempt(id, one(true), 0);
                    }
                }
                case "old" -> out.sendAttempt(id, write ? one(true) : one(false), 0);
                default ->
                    out.sendAttempt(id, members.get((int) (id % members.size())).server(), 0);
            }
        }

        @Override
        public void onServerList(long now, ListKind kind, List<ListEntry> list) {
            if (kind == ListKind.CACHED) {
                members = List.copyOf(list);
                out.watchServerList(true);
            }
        }

        @Override
        public void onAttemptEnded(
                long now,
                long id,
                int attempt,
                long server,
                Result result,
                long took,
                boolean over,
                long position,
                Role role,
                Report report) {
            if (!over) {
                out.fail(id);
            }
        }

        @Override
        public void onDiscoveryMoved(long now) {}

        @Override
        public void onAnswerBegun(long now, long id, int attempt, long server) {}

        @Override
        public void onClientLeft(long now, long id) {}

        @Override
        public void onTimer(long now, long token) {}

        @Override
        public void onProbeEnded(long now, long server, long took, Result result, Report report) {}

        @Override
        public void onPeerMessage(long now, int from, byte[] message) {}
    }

    private static long caught(Audit.Rule rule, String how, String text) throws Exception {
        BiFunction<Gateway, Policy.Sight, Gateway.Events> bad = (gateway, sight) -> new Saboteur(gateway, how);
        World world = new World(plan(text), 3, bad);
        world.run();
        return world.audit().counts().getOrDefault(rule, 0L);
    }

    @Test
    void theAuditSeesWhatBreaksARule() throws Exception {
        assertTrue(caught(Audit.Rule.ONCE, "twice", MODEL + "}\n") > 0);
        assertTrue(caught(
                        Audit.Rule.STALE,
                        "old",
                        MODEL + "}\n" + trouble("slow-apply", "at 2s; for 15s; part 100%; size 20"))
                > 0);
        assertTrue(caught(
                        Audit.Rule.DRAIN,
                        "any",
                        MODEL + "}\n" + trouble("node-drain", "at 2s; for 15s; part 30%; extra 14s"))
                > 0);
        assertEquals(0, caught(Audit.Rule.DRAIN, "any", MODEL + "}\n"));
    }
}
