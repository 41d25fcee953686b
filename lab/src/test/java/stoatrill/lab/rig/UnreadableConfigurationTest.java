package stoatrill.lab.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.abort;
import static stoatrill.lab.rig.Wait.until;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The configuration alone can't be opened, for a moment or for good, at a start and at SIGHUP. */
@Timeout(120)
class UnreadableConfigurationTest {
    private static final String CONFIG = "unreadable-for-a-while.json";
    private static final String AGAIN = "the configuration is read again until it can be";
    private static final String ANEW = "configuration read anew";
    /** Opens that fail before they succeed again. */
    private static final int SOME = 3;

    private static final int WRONG_CONFIGURATION = 2;

    @TempDir
    private Path dir;

    private CallFaults faults;
    private RouterProc router;

    /** Starts a router whose configuration can't be opened until the faults are healed, if {@code fails}. */
    private void start(boolean fails) throws Exception {
        RunLine run = RunLine.find(Path.of(""));
        Map<String, String> variables = new HashMap<>(faults.environment(library()));
        variables.put("STOATRILL_CALL_FAULTS_PATH", CONFIG);
        Path config = dir.resolve(CONFIG);
        Files.copy(run.root().resolve("router/src/test/resources/config.json"), config);
        faults.fail(SystemCall.FILE_OPEN, fails ? 1 : 0, List.of(Errno.EIO));
        router = new RouterProc(run, "router", config, dir.resolve("router.log"), variables, pid -> {});
    }

    private CallFaultLibrary library() throws Exception {
        try {
            return CallFaultLibrary.build(dir);
        } catch (CallFaultLibrary.NoCompilerException e) {
            System.out.println("NOT RUN: " + e.getMessage());
            abort(e.getMessage());
            throw e;
        }
    }

    @BeforeEach
    void plan() throws Exception {
        faults = new CallFaults(dir.resolve("calls"), 1);
    }

    private long said(String text) throws Exception {
        return router.logLines().stream().filter(line -> line.contains(text)).count();
    }

    @Test
    void aStartTriesAgainForAWhile() throws Exception {
        start(true);
        try (RouterProc started = router) {
            until(() -> faults.failed(SystemCall.FILE_OPEN) >= SOME);
            faults.heal(SystemCall.FILE_OPEN);
            assertTrue(started.await() > 0);
        }
    }

    @Test
    void aStartEndsWithOneLineIfItStaysSo() throws Exception {
        start(true);
        until(() -> !router.alive());
        assertEquals(WRONG_CONFIGURATION, router.exitStatus());
        assertEquals(1, said("stoatrill: can't read PROXY_CONFIG"));
        assertTrue(faults.failed(SystemCall.FILE_OPEN) > SOME, "it was not tried again");
    }

    @Test
    void aHangUpIsCarriedOutOnceTheConfigurationCanBeRead() throws Exception {
        start(false);
        try (RouterProc started = router) {
            started.await();
            faults.fail(SystemCall.FILE_OPEN, 1, List.of(Errno.EIO));
            started.signal("HUP");
            until(() -> faults.failed(SystemCall.FILE_OPEN) >= SOME);
            assertEquals(0, said(ANEW));
            faults.heal(SystemCall.FILE_OPEN);
            until(() -> said(ANEW) > 0);
            assertEquals(1, said(AGAIN));
        }
    }
}
