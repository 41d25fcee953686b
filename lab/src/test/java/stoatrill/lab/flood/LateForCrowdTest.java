package stoatrill.lab.flood;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import stoatrill.lab.rig.Wait;

/** Other clients got their answers late, or memory ran out, while hundreds sent large requests or half of one. */
@Timeout(90)
class LateForCrowdTest {
    private static final int CLIENTS_COUNT = 600;
    private static final int PROBES_BEFORE_COUNT = 20;
    private static final int PROBES_DURING_COUNT = 200;
    private static final long MOST_RESIDENT_KIB = 192 * 1024L;

    @ParameterizedTest
    @EnumSource
    void othersAreAnsweredInTime(CrowdKind kind, @TempDir Path dir) throws Exception {
        try (FloodRig routers = new FloodRig(dir)) {
            Probes flooded = new Probes(routers.flooded().port());
            Probes quiet = new Probes(routers.quiet().port());
            try (flooded;
                    quiet) {
                Wait.until(() -> flooded.count() >= PROBES_BEFORE_COUNT && quiet.count() >= PROBES_BEFORE_COUNT);
                int before = flooded.count();
                for (int node = 0; kind == CrowdKind.HELD_BACK_REPLIES && node < FloodRig.NODES_COUNT; node++) {
                    routers.deployment().hang(node, true);
                }
                try (Crowd crowd =
                        new Crowd(kind, CLIENTS_COUNT, routers.flooded().port())) {
                    Wait.until(() -> flooded.count() >= before + PROBES_DURING_COUNT && crowd.isEverythingSent());
                }
            }
            long residentKib = routers.residentKib();
            System.out.printf(
                    "%s: slowest probe %.0f ms (quiet router %.0f ms), %d of %d turned away, %d KiB resident%n",
                    kind,
                    FloodVerdict.slowestNanos(flooded.results()) / 1e6,
                    FloodVerdict.slowestNanos(quiet.results()) / 1e6,
                    FloodVerdict.turnedAway(flooded.results()),
                    flooded.results().size(),
                    residentKib);
            assertEquals(List.of(), FloodVerdict.lost(flooded.results(), quiet.results()));
            assertTrue(residentKib <= MOST_RESIDENT_KIB, residentKib + " KiB resident");
            assertEquals(List.of(), routers.troubles());
        }
    }
}
