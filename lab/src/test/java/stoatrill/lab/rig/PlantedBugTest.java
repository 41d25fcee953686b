package stoatrill.lab.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stoatrill.lab.rig.Wait.until;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Function;
import javax.tools.JavaCompiler;
import javax.tools.ToolProvider;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * The checker finds bugs planted in a build of the test's own: a class of the router compiled anew with a line
 * changed, and put before the shipped jar on the run line. The shipped build has no such switch. Each is played
 * beside the shipped build in the same scenario, which must keep the rule.
 */
@Timeout(240)
class PlantedBugTest {
    private static final String GUARD =
            "if (firstUncertainAt == NONE || request.requestClass.idempotency() == Idempotency.SAFE) {";

    private static final String BOUND = "? now - request.requestClass.maxStaleness()";

    private static final String ANSWERED = "if (reply.slot == slot && reply.bytes == null) {";

    /**
     * The run line with one source file of the router changed and compiled anew, before the shipped jar.
     *
     * @param file the file under {@code router/src/main/java}
     */
    static RunLine planted(Path dir, String file, String line, String instead) throws Exception {
        RunLine shipped = RunLine.find(Path.of(""));
        String source =
                Files.readString(shipped.root().resolve("router/src/main/java").resolve(file));
        assertTrue(source.contains(line), file + " has changed: plant the bug anew where it was: " + line.strip());
        Path src = Files.createDirectories(dir.resolve("src"));
        Path classes = Files.createDirectories(dir.resolve("classes"));
        Path changed = src.resolve(Path.of(file).getFileName());
        Files.writeString(changed, source.replace(line, instead));
        JavaCompiler javac = ToolProvider.getSystemJavaCompiler();
        ByteArrayOutputStream said = new ByteArrayOutputStream();
        int status = javac.run(
                null,
                said,
                said,
                "-nowarn",
                "-cp",
                System.getProperty("java.class.path"),
                "-d",
                classes.toString(),
                changed.toString());
        assertEquals(0, status, said.toString(StandardCharsets.UTF_8));
        String jar = "-jar router/target/stoatrill.jar";
        assertTrue(shipped.command().contains(jar), shipped.command());
        return new RunLine(
                shipped.root(),
                shipped.command().replace(jar, "-cp " + classes + ":router/target/stoatrill.jar stoatrill.Main"));
    }

    private interface Played {
        Checker.Verdict play(RunLine run, Path dir) throws Exception;
    }

    /**
     * Plays a planted build, which must break a rule, and the shipped one, which must keep it; returns the latter's
     * verdict.
     */
    private static Checker.Verdict caught(
            Path dir, RunLine planted, Played scenario, Function<Checker.Verdict, List<String>> broken)
            throws Exception {
        Checker.Verdict caught = scenario.play(planted, Files.createDirectories(dir.resolve("planted")));
        assertFalse(broken.apply(caught).isEmpty(), "the planted bug was not caught: " + caught);
        Checker.Verdict kept =
                scenario.play(RunLine.find(Path.of("")), Files.createDirectories(dir.resolve("shipped")));
        assertTrue(kept.ok() > 0, "nothing was served, so the scenario shows nothing: " + kept);
        assertEquals(List.of(), broken.apply(kept), "the shipped build broke the rule: " + kept);
        return kept;
    }

    @Test
    void aRefusalLeftUnansweredIsCaughtAsNoFinalAnswer(@TempDir Path dir) throws Exception {
        RunLine planted = planted(
                dir,
                "stoatrill/pg/PgClient.java",
                ANSWERED,
                "if (reply.slot == slot && reply.bytes == null && !(answer instanceof Answer.Refused)) {");
        Checker.Verdict kept = caught(dir, planted, PlantedBugTest::cutOff, Checker.Verdict::noFinalAnswer);
        assertTrue(kept.refused() > 0, "nothing was refused, so the scenario shows nothing: " + kept);
    }

    /** Reads alone, by 2 routers, while every node is cut off until 8 requests ended. */
    private static Checker.Verdict cutOff(RunLine run, Path dir) throws Exception {
        try (Rig rig = new Rig(run, 2, 4, dir)) {
            rig.clients(4, 0);
            until(() -> rig.history().ops() >= 20);
            long before = rig.history().ops();
            for (int node = 0; node < 4; node++) {
                rig.cut(node, true);
            }
            until(() -> rig.history().ops() >= before + 8);
            for (int node = 0; node < 4; node++) {
                rig.cut(node, false);
            }
            long after = rig.history().ops();
            until(() -> rig.history().ops() >= after + 20);
            return Checker.check(rig.finish());
        }
    }

    @Test
    void anUploadSentAgainAfterAResetIsCaughtAsRanTwice(@TempDir Path dir) throws Exception {
        RunLine planted = planted(
                dir, "stoatrill/Decide.java", GUARD, "if (firstUncertainAt == NONE || firstUncertainAt != NONE) {");
        caught(dir, planted, PlantedBugTest::play, Checker.Verdict::ranTwice);
    }

    /** Uploads alone, by 2 routers, while 20 answers of the primary are reset after their statement reached it. */
    private static Checker.Verdict play(RunLine run, Path dir) throws Exception {
        try (Rig rig = new Rig(run, 2, 4, dir)) {
            rig.clients(4, 1.0);
            until(() -> rig.history().ops() >= 20);
            rig.node(0).resetAnswers(20);
            until(() -> rig.node(0).resets() >= 20);
            long after = rig.history().ops();
            until(() -> rig.history().ops() >= after + 20);
            return Checker.check(rig.finish());
        }
    }

    @Test
    void aReadWhoseBoundIsIgnoredIsCaughtAsStale(@TempDir Path dir) throws Exception {
        RunLine planted =
                planted(dir, "stoatrill/Decide.java", BOUND, "? now - 1_000 * request.requestClass.maxStaleness()");
        caught(dir, planted, PlantedBugTest::lagging, Checker.Verdict::stale);
    }

    /** Reads and uploads by 2 routers, while every replica falls 2 s behind and stays there until 60 requests ended. */
    private static Checker.Verdict lagging(RunLine run, Path dir) throws Exception {
        try (Rig rig = new Rig(run, 2, 4, dir)) {
            rig.clients(4, 0.3);
            until(() -> rig.history().ops() >= 20);
            for (int node = 1; node < 4; node++) {
                rig.lag(node, true);
            }
            for (int node = 1; node < 4; node++) {
                int behind = node;
                until(() -> rig.lagMillis(behind) >= 2000);
            }
            long before = rig.history().ops();
            until(() -> rig.history().ops() >= before + 60);
            for (int node = 1; node < 4; node++) {
                rig.lag(node, false);
            }
            return Checker.check(rig.finish());
        }
    }
}
