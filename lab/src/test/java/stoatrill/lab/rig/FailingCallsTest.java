package stoatrill.lab.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.abort;
import static stoatrill.lab.rig.Wait.until;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * System calls of real routers fail for a while, as Linux documents: every request still gets its one final answer, no
 * upload runs twice, and no router ends.
 */
@Timeout(240)
class FailingCallsTest {
    private static final int ROUTERS = 2;
    private static final int NODES = 4;
    private static final int CLIENTS = 6;
    private static final double UPLOADS = 0.3;
    /** The share of calls that fail, while they do. */
    private static final double SHARE = 0.25;

    private static final long PATIENCE_NANOS = 30_000_000_000L;
    private static final int WARM_OPS = 60;
    private static final int HANGUPS = 5;
    private static final int FAILING_OPS = 150;

    @TempDir
    private static Path shared;

    private static CallFaultLibrary library;

    @BeforeAll
    static void compile() throws Exception {
        try {
            library = CallFaultLibrary.build(shared);
        } catch (CallFaultLibrary.NoCompilerException e) {
            System.out.println("NOT RUN: " + e.getMessage());
            abort(e.getMessage());
        }
    }

    /** Every call fails a part of the time, in every way that is documented for it. */
    @ParameterizedTest
    @EnumSource(
            mode = EnumSource.Mode.EXCLUDE,
            names = {"FILE_READ", "FILE_OPEN", "WALL_CLOCK"})
    void callsThatFailForAWhileLoseNothing(SystemCall call, @TempDir Path dir) throws Exception {
        try (Rig rig = rig(dir)) {
            rig.clients(CLIENTS, UPLOADS);
            opsAfter(rig, WARM_OPS);
            for (int router = 0; router < ROUTERS; router++) {
                rig.failCalls(router, call, SHARE, call.documented());
            }
            opsAfter(rig, FAILING_OPS);
            for (int router = 0; router < ROUTERS; router++) {
                for (int n = 0; n < HANGUPS; n++) {
                    rig.hangUp(router); // takes a thread, a wake-up and a line of the log
                }
            }
            opsAfter(rig, WARM_OPS);
            long failed = 0;
            for (int router = 0; router < ROUTERS; router++) {
                rig.healCalls(router, call);
                failed += rig.calls(router).failed(call);
            }
            opsAfter(rig, WARM_OPS);
            System.out.println(call + " failed " + failed + " times");
            assertClean(Checker.check(rig.finish()));
        }
    }

    /** From before the first client on, no file can be opened or read. */
    @ParameterizedTest
    @EnumSource(
            mode = EnumSource.Mode.INCLUDE,
            names = {"FILE_READ", "FILE_OPEN"})
    void aRouterThatServesNeedsNoFile(SystemCall call, @TempDir Path dir) throws Exception {
        try (Rig rig = rig(dir)) {
            for (int router = 0; router < ROUTERS; router++) {
                rig.failCalls(router, call, 1, List.of(Errno.EIO));
            }
            rig.clients(CLIENTS, UPLOADS);
            opsAfter(rig, FAILING_OPS);
            rig.node(0).resetAnswers(3);
            opsAfter(rig, FAILING_OPS);
            rig.cut(1, true);
            opsAfter(rig, FAILING_OPS);
            for (int router = 0; router < ROUTERS; router++) {
                rig.failCalls(router, SystemCall.CONNECT, SHARE, List.of(Errno.ECONNREFUSED));
            }
            opsAfter(rig, FAILING_OPS);
            for (int router = 0; router < ROUTERS; router++) {
                assertEquals(
                        0, rig.calls(router).failed(call), "router" + router + " needed a file: " + rig.log(router));
            }
            assertClean(Checker.check(rig.finish()));
        }
    }

    private static Rig rig(Path dir) throws Exception {
        return new Rig(RunLine.find(Path.of("")), ROUTERS, NODES, dir, library);
    }

    /** Waits for so many more requests to end; gives up where they don't, or where a router has ended. */
    private static void opsAfter(Rig rig, int more) throws Exception {
        long before = rig.history().ops();
        long until = System.nanoTime() + PATIENCE_NANOS;
        until(() -> rig.history().ops() >= before + more
                || System.nanoTime() > until
                || rig.history().lines().stream().anyMatch(line -> line.startsWith("ended\t")));
        assertTrue(
                rig.history().ops() >= before + more,
                "requests end no more: " + Checker.check(rig.history().lines()));
    }

    private static void assertClean(Checker.Verdict verdict) {
        assertTrue(verdict.ok() > 0, verdict.toString());
        assertTrue(verdict.clean(), verdict.toString());
    }

    @Test
    void theLibraryMakesCallsFail(@TempDir Path dir) throws Exception {
        try (Rig rig = rig(dir)) {
            rig.clients(CLIENTS, UPLOADS);
            rig.failCalls(0, SystemCall.SOCKET_READ, SHARE, List.of(Errno.EAGAIN));
            until(() -> rig.calls(0).failed(SystemCall.SOCKET_READ) > 0);
            assertTrue(rig.calls(0).seen(SystemCall.SOCKET_READ) > rig.calls(0).failed(SystemCall.SOCKET_READ));
        }
    }
}
