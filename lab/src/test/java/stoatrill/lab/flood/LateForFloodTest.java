package stoatrill.lab.flood;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import stoatrill.lab.rig.Wait;

/** Other clients got their answers late or never while a few sent one kind of message at full speed. */
@Timeout(60)
class LateForFloodTest {
    private static final int FLOODING_CLIENTS_COUNT = 6;
    private static final int PROBES_BEFORE_COUNT = 20;
    private static final int PROBES_DURING_COUNT = 200;
    private static final long FLOOD_LIMIT_NANOS = 5_000_000_000L;
    private static final long MOST_RESIDENT_KIB = 192 * 1024L;

    private static FloodRig routers;

    @BeforeAll
    static void start(@TempDir Path dir) throws Exception {
        routers = new FloodRig(dir);
    }

    @AfterAll
    static void stop() {
        routers.close();
    }

    @ParameterizedTest
    @EnumSource
    void othersAreAnsweredInTime(FloodKind kind) throws Exception {
        Probes flooded = new Probes(routers.flooded().port());
        Probes quiet = new Probes(routers.quiet().port());
        long sentBytes;
        try (flooded;
                quiet) {
            Wait.until(() -> flooded.count() >= PROBES_BEFORE_COUNT && quiet.count() >= PROBES_BEFORE_COUNT);
            int before = flooded.count();
            long startedAt = System.nanoTime();
            try (Flood flood =
                    new Flood(kind, FLOODING_CLIENTS_COUNT, routers.flooded().port())) {
                Wait.until(() -> flooded.count() >= before + PROBES_DURING_COUNT
                        || System.nanoTime() - startedAt > FLOOD_LIMIT_NANOS);
                sentBytes = flood.sentBytes();
            }
        }
        long residentKib = routers.residentKib();
        System.out.printf(
                "%s: %.1f MB sent, slowest probe %.0f ms (quiet router %.0f ms), %d KiB resident%n",
                kind,
                sentBytes / 1e6,
                FloodVerdict.slowestNanos(flooded.results()) / 1e6,
                FloodVerdict.slowestNanos(quiet.results()) / 1e6,
                residentKib);
        assertTrue(sentBytes > 0);
        assertEquals(List.of(), FloodVerdict.lost(flooded.results(), quiet.results()));
        assertEquals(0, FloodVerdict.turnedAway(flooded.results()));
        assertTrue(residentKib <= MOST_RESIDENT_KIB, residentKib + " KiB resident");
        assertEquals(List.of(), routers.troubles());
    }
}
