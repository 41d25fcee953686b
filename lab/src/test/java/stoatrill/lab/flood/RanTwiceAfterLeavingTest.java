package stoatrill.lab.flood;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import stoatrill.lab.flood.LeavingWriter.Leave;
import stoatrill.lab.rig.Wait;

/** Writes ran twice when their ids came again after the client that had sent them first had left. */
@Timeout(60)
class RanTwiceAfterLeavingTest {
    private static final int WRITES_COUNT = 1500;
    private static final int REPEATS_COUNT = 200;
    private static final int RAN_BEFORE_LEAVING_COUNT = 30;
    private static final long WAIT_MILLIS = 3000;

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
    void noWriteRunsTwice(Leave leave) throws Exception {
        List<String> ids = LeavingWriter.ids(leave.name(), WRITES_COUNT);
        try (LeavingWriter first = new LeavingWriter(routers.flooded().port());
                LeavingWriter second = new LeavingWriter(routers.flooded().port())) {
            first.send(ids, WAIT_MILLIS);
            Wait.until(() -> ran(leave).size() >= RAN_BEFORE_LEAVING_COUNT);
            first.leave(leave);
            second.send(ids.subList(0, REPEATS_COUNT), WAIT_MILLIS);
            second.readAnswers(REPEATS_COUNT);
        }
        Map<String, Integer> ran = ran(leave);
        System.out.printf(
                "%s: %d writes ran, %d twice%n", leave, ran.size(), twice(ran).size());
        assertEquals(List.of(), twice(ran));
    }

    private static List<String> twice(Map<String, Integer> ran) {
        return ran.keySet().stream().filter(id -> ran.get(id) > 1).sorted().toList();
    }

    private static Map<String, Integer> ran(Leave leave) throws Exception {
        Map<String, Integer> all = new TreeMap<>(routers.deployment().ran());
        all.keySet().removeIf(id -> !id.startsWith(leave.name()));
        return all;
    }
}
