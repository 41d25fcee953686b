package stoatrill.lab.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import javax.tools.JavaCompiler;
import javax.tools.ToolProvider;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * The checker finds a bug planted in a build of the test's own: the module compiled anew with its guard on uploads
 * that may have run taken out, and put before the shipped jar. The shipped build has no such switch.
 */
@Timeout(240)
class PlantedBugTest {
  private static final String GUARD = "    if (first == NONE || r.kind.effect() == Effect.SAFE) {";

  @Test
  void anUploadSentAgainAfterAResetIsCaughtAsRanTwice(@TempDir Path dir) throws Exception {
    RunLine shipped = RunLine.find(Path.of(""));
    String source = Files.readString(shipped.root().resolve("router/src/main/java/stoatrill/Decide.java"));
    assertTrue(source.contains(GUARD), "Decide.mayRepeat has changed: plant the bug anew where it guards uploads");
    Path src = Files.createDirectories(dir.resolve("src/stoatrill"));
    Path classes = Files.createDirectories(dir.resolve("classes"));
    Files.writeString(src.resolve("Decide.java"), source.replace(GUARD, "    if (first == NONE || first != NONE) {"));
    JavaCompiler javac = ToolProvider.getSystemJavaCompiler();
    ByteArrayOutputStream said = new ByteArrayOutputStream();
    int status = javac.run(null, said, said, "-nowarn", "-cp", System.getProperty("java.class.path"), "-d",
        classes.toString(), src.resolve("Decide.java").toString());
    assertEquals(0, status, said.toString(StandardCharsets.UTF_8));
    String jar = "-jar router/target/stoatrill.jar";
    assertTrue(shipped.command().contains(jar), shipped.command());
    RunLine planted = new RunLine(shipped.root(),
        shipped.command().replace(jar, "-cp " + classes + ":router/target/stoatrill.jar stoatrill.Main"));

    Checker.Verdict caught = play(planted, Files.createDirectories(dir.resolve("planted")));
    assertFalse(caught.ranTwice().isEmpty(), "the planted bug was not caught: " + caught);
    Checker.Verdict kept = play(shipped, Files.createDirectories(dir.resolve("shipped")));
    assertEquals(List.of(), kept.ranTwice(), "the shipped build ran uploads twice: " + kept);
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

  private static void until(java.util.function.BooleanSupplier condition) {
    while (!condition.getAsBoolean()) {
      Thread.onSpinWait();
    }
  }
}
