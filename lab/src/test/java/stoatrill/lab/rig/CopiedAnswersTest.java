package stoatrill.lab.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stoatrill.lab.rig.Wait.until;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Real routers whose servers send copies of answers, held back until the router's next message. A build of the test's
 * own that uses a connection again without synchronizing it is caught.
 */
@Timeout(240)
class CopiedAnswersTest {
    private static final int ROUTERS = 2;
    private static final int NODES = 4;
    private static final int CLIENTS = 6;
    private static final double UPLOADS = 0.3;
    private static final int COPY_INTERVAL = 10;
    private static final int OPS = 400;

    @Test
    void requestsAreServedTheirOwnValues(@TempDir Path dir) throws Exception {
        Checker.Verdict verdict = play(RunLine.find(Path.of("")), dir);
        assertTrue(verdict.ok() > OPS / 2, verdict.toString());
        assertTrue(verdict.clean(), verdict.toString());
    }

    @Test
    void aConnectionUsedAgainAtOnceIsCaught(@TempDir Path dir) throws Exception {
        RunLine planted = PlantedBugTest.planted(
                dir,
                "stoatrill/core/ServerPool.java",
                "effects.synchronize(connection.id);",
                "connectionSynchronized(now, connection);");
        Checker.Verdict verdict = play(planted, Files.createDirectories(dir.resolve("planted")));
        assertFalse(verdict.foreign().isEmpty(), verdict.toString());
    }

    private static Checker.Verdict play(RunLine run, Path dir) throws Exception {
        try (Rig rig = new Rig(run, ROUTERS, NODES, dir)) {
            rig.copyAnswers(COPY_INTERVAL);
            rig.clients(CLIENTS, UPLOADS);
            until(() -> rig.history().ops() >= OPS && rig.copies() > 0);
            Checker.Verdict verdict = Checker.check(rig.finish());
            assertEquals(verdict.requests(), rig.history().ops(), verdict.toString());
            return verdict;
        }
    }
}
