package stoatrill.lab.run;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;
import stoatrill.cli.Commands;
import stoatrill.lab.cli.Lab;
import stoatrill.settings.SettingsException;

class ExperimentTest {
    private static final String SMALL = """
            experiment small
            day 6s
            seeds 3
            policies decide random
            without random
            model {
             routers 2
             nodes 3
             load 30%
            }
            claim broken decide is 0
            claim served decide above 0.5
            claim score decide above score random by -1
            """;

    @TempDir
    private Path folder;

    private final StringWriter out = new StringWriter();

    private int lab(String... args) {
        CommandLine line = Commands.newCommandLine();
        line.addSubcommand(new Lab());
        Commands.withErrorHandlers(line).setOut(new PrintWriter(out, true)).setErr(new PrintWriter(out, true));
        return line.execute(args);
    }

    private String file(String name, String text) throws IOException {
        return Files.writeString(folder.resolve(name), text).toString();
    }

    @Test
    void theSameSeedGivesTheSameBytesAloneAndSideBySide() throws Exception {
        String conf = file("small.conf", SMALL);
        assertEquals(
                0,
                lab(
                        "lab",
                        "run",
                        conf,
                        "--threads",
                        "1",
                        "--out",
                        folder.resolve("a").toString()));
        assertEquals(
                0,
                lab(
                        "lab",
                        "run",
                        conf,
                        "--threads",
                        "4",
                        "--out",
                        folder.resolve("b").toString()));
        for (String name : List.of("days.csv", "summary.json", "report.html")) {
            assertArrayEquals(
                    Files.readAllBytes(folder.resolve("a").resolve(name)),
                    Files.readAllBytes(folder.resolve("b").resolve(name)),
                    name);
        }
        assertTrue(out.toString().contains("small seed=1 claims=3 held=3 decide="), out.toString());
        lab("lab", "run", conf, "--seed", "2", "--out", folder.resolve("c").toString());
        assertTrue(Files.mismatch(folder.resolve("a/days.csv"), folder.resolve("c/days.csv")) >= 0);
    }

    @Test
    void aClaimThatFailsIsStatusOne() throws Exception {
        String conf = file("small.conf", SMALL + "claim p50-ms decide below 1\n");
        assertEquals(1, lab("lab", "run", conf, "--seeds", "1"));
        assertTrue(out.toString().contains("FAILS  p50-ms decide below 1"), out.toString());
        assertTrue(out.toString().contains("claims=4 held=3"), out.toString());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "model {\\n load 0.5\\n}|e:2:7: \"0.5\" has no unit; write for example 30% or 2.5%",
                "class a {\\n share 40%\\n age 300\\n}|e:3:6: \"300\" has no unit; write for example "
                        + "300ms, 2s, 5m, 1h or 1d",
                "trouble flood {\\n}|e:1:9: \"flood\" is not one of router-restart, jump, fast-errors, "
                        + "slow-apply, shared-slow, node-crash, node-hang, node-drain, node-replace, zone-crash, "
                        + "cut-zone, list-down",
                "policies decide randm|e:1:17: \"randm\" is not one of decide, primary, random, least, "
                        + "truth; did you mean \"random\"?",
                "policies decide\\nclaim score random above 0.5|e:2:1: this claim names a policy that is "
                        + "not played; add it to \"policies\"",
                "claim score decide about 0.5|e:1:20: \"about\" is not one of above, below, is; did you "
                        + "mean \"above\"?",
                "trouble jump {\\n for 9s..3s\\n}|e:2:6: \"9s..3s\" goes down; write the smaller value first",
                "model {\\n nodes 2\\n groups 3\\n}|e:2:2: 2 nodes can't make 3 groups; a group needs one at least"
            })
    void aBrokenFileSaysWhereAndWhatToWrite(String text, String problem) {
        SettingsException e = assertThrows(
                SettingsException.class, () -> Experiment.parse("e", text.replace("\\n", "\n"), Map.of(), null));
        assertTrue(e.problems().contains(problem), e.problems().toString());
    }

    @Test
    void wrongFilesAndUsageEndWithOneClearLine() throws Exception {
        assertEquals(2, lab("lab"));
        assertEquals(2, lab("lab", "run"));
        assertEquals(2, lab("lab", "run", file("x.conf", "policies none\n")));
        assertEquals(2, lab("lab", "run", folder.resolve("none.conf").toString()));
        assertEquals(2, lab("lab", "run", file("s.conf", SMALL), "--threads", "0"));
        assertEquals(5, out.toString().lines().count(), out.toString());
    }

    @Test
    void contractsKeepAJumpFromTheOtherTeamsAndWithoutThemItShows() {
        assertEquals(0, lab("lab", "run", "experiments/contracts.conf", "--seeds", "2"), out.toString());
        assertEquals(1, lab("lab", "run", "experiments/contracts.conf", "--seeds", "2", "--without"), out.toString());
    }

    @Test
    void everyExperimentOfTheRepositoryCanBeUsed() throws Exception {
        try (java.util.stream.Stream<Path> files = Files.list(Path.of("experiments"))) {
            for (Path file : files.filter(f -> f.toString().endsWith(".conf")).toList()) {
                assertTrue(Experiment.read(file, Map.of()).claims().size() >= 3, file.toString());
            }
        }
    }

    @Test
    void settingsOfTheModelGoBeforeTheFile() throws Exception {
        Experiment e = Experiment.parse("e", SMALL, Map.of("nodes", "9", "zones", "a b c"), null);
        assertEquals(9, e.plan().nodes);
        assertEquals(List.of("a", "b", "c"), e.plan().zones);
        assertEquals(2, e.plan().routers);
    }

    @Test
    void aRecordedTraceIsPlayedAndABadLineIsNamed() throws Exception {
        file("t.csv", "at_ms,class,team,key,group,work_ms\n10,archive-read,,5,0,20\n1500,reading-upload,,6,0,30\n");
        Path conf = Path.of(file("t.conf", "day 4s\ntrace t.csv\n"));
        assertEquals(
                2,
                Runner.day(Experiment.read(conf, Map.of()).plan(), stoatrill.lab.policy.Policy.DECIDE, 1)
                        .figures()
                        .get(Metric.REQUESTS));
        file("t.csv", "at_ms,class,team,key,group,work_ms\n10,archive-read,,x,0,20\n");
        String message = assertThrows(SettingsException.class, () -> Experiment.read(conf, Map.of()))
                .getMessage();
        assertTrue(message.contains("t.csv:2: "), message);
    }
}
