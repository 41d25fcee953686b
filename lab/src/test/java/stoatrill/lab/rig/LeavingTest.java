package stoatrill.lab.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stoatrill.lab.rig.Wait.until;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Several real routers whose watches fall silent while nodes begin to drain: nothing is sent to those once the
 * grace is over. A build of the test's own that waits on in a silent watch is caught.
 */
@Timeout(240)
class LeavingTest {
    private static final long SECOND = 1_000_000_000L;
    private static final String NOTICED = "now + holdMillis * Timing.NANOS_PER_MILLI + timing.holdOverrun()";

    private interface Played {
        Checker.Verdict play(RunLine run, Path dir) throws Exception;
    }

    @Test
    void nothingIsSentToNodesThatBeganToDrainBehindSilentWatches(@TempDir Path dir) throws Exception {
        kept(
                PlantedBugTest.planted(
                        dir, "stoatrill/discovery/DiscoveryClient.java", NOTICED, "now + 600_000_000_000L"),
                dir,
                LeavingTest::silences);
    }

    @Test
    void nothingIsSentToNodesThatBeganToDrainWhileDiscoveryWasAway(@TempDir Path dir) throws Exception {
        kept(
                PlantedBugTest.planted(
                        dir,
                        "stoatrill/Decide.java",
                        "LIST_RETRY_NANOS = 500 * NANOS_PER_MILLI",
                        "LIST_RETRY_NANOS = 60_000 * NANOS_PER_MILLI"),
                dir,
                LeavingTest::away);
    }

    /**
     * Plays a scene with a planted build, which must be caught, and beside it with the shipped one, which must be
     * clean.
     */
    private static void kept(RunLine planted, Path dir, Played scene) throws Exception {
        CompletableFuture<Checker.Verdict> waitsOn = CompletableFuture.supplyAsync(() -> {
            try {
                return scene.play(planted, Files.createDirectories(dir.resolve("planted")));
            } catch (Exception e) {
                throw new CompletionException(e);
            }
        });
        Checker.Verdict kept = scene.play(RunLine.find(Path.of("")), Files.createDirectories(dir.resolve("shipped")));
        assertFalse(waitsOn.join().toLeaving().isEmpty(), "the planted bug was not caught: " + waitsOn.join());
        assertTrue(kept.ok() > 100, kept.toString());
        assertTrue(kept.clean(), kept.toString());
    }

    /** Three routers: the watches fall silent, two of four nodes drain, and it goes on until all graces are over. */
    private static Checker.Verdict silences(RunLine run, Path dir) throws Exception {
        try (Rig rig = new Rig(run, 3, 4, dir)) {
            rig.clients(6, 0.1);
            History h = rig.history();
            until(() -> h.ops() >= 50);
            long ends = rig.silence();
            assertEquals(List.of("router0", "router1", "router2"), silent(h), "every router's watch fell silent");
            rig.announce(2);
            rig.announce(3);
            until(() -> h.now() > ends + 6 * SECOND);
            long after = h.ops();
            until(() -> h.ops() >= after + 50);
            return Checker.check(rig.finish());
        }
    }

    /** Three routers whose calls fail for longer than any wait after a failure; two of four nodes drain meanwhile. */
    private static Checker.Verdict away(RunLine run, Path dir) throws Exception {
        try (Rig rig = new Rig(run, 3, 4, dir)) {
            rig.clients(6, 0.1);
            History h = rig.history();
            until(() -> h.ops() >= 50);
            rig.discoveryAway(true);
            long away = h.now();
            until(() -> h.now() > away + 8 * SECOND);
            rig.announce(2);
            rig.announce(3);
            rig.discoveryAway(false);
            long back = h.now();
            until(() -> h.now() > back + 10 * SECOND);
            long after = h.ops();
            until(() -> h.ops() >= after + 50);
            return Checker.check(rig.finish());
        }
    }

    private static List<String> silent(History h) {
        return h.lines().stream()
                .filter(l -> l.startsWith("silent"))
                .map(l -> l.split("\t", 0)[2])
                .sorted()
                .toList();
    }
}
