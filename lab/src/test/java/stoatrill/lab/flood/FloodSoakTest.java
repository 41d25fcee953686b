package stoatrill.lab.flood;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Short soaks of floods by fixed seeds; {@code lab flood} plays longer ones by others. */
@Timeout(180)
class FloodSoakTest {
    private static final long LENGTH_NANOS = 8_000_000_000L;
    private static final long FIRST_SEED = 101;
    private static final int SEED_COUNT = 3;

    @Test
    void everyInvariantHolds(@TempDir Path dir) throws Exception {
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; seed++) {
            FloodSoak.Result result =
                    FloodSoak.play(seed, LENGTH_NANOS, Files.createDirectories(dir.resolve("seed" + seed)));
            System.out.println(result);
            assertTrue(result.clean(), result.toString());
        }
    }

    @Test
    void theSameSeedGivesTheSamePlan() {
        assertEquals(
                FloodPlan.draw(7, FloodRig.NODES_COUNT, LENGTH_NANOS),
                FloodPlan.draw(7, FloodRig.NODES_COUNT, LENGTH_NANOS));
        assertNotEquals(
                FloodPlan.draw(7, FloodRig.NODES_COUNT, LENGTH_NANOS),
                FloodPlan.draw(8, FloodRig.NODES_COUNT, LENGTH_NANOS));
    }
}
