package stoatrill.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

class CommandsTest {
    private final StringWriter output = new StringWriter();

    @TempDir
    private Path directory;

    private int run(String... args) {
        CommandLine line = Commands.newCommandLine();
        line.setOut(new PrintWriter(output, true)).setErr(new PrintWriter(output, true));
        return line.execute(args);
    }

    @Test
    void usageErrorPrintsOneLineAndExitsWithTwo() {
        assertEquals(2, run("serv"));
        assertEquals(2, run());
        assertEquals(2, run("serve", "--log", "xml"));
        assertEquals(3, output.toString().lines().count(), output.toString());
    }

    @Test
    void everyCommandHasHelpAndVersion() {
        for (String command : new String[] {"serve", "simhost", "check"}) {
            assertEquals(0, run(command, "--help"));
            assertEquals(0, run(command, "--version"));
        }
        assertTrue(output.toString().contains("Usage: stoatrill check"));
    }

    @Test
    void checkReportsErrorsInFile() throws Exception {
        assertEquals(0, run("check", "src/test/resources/config.json"));
        assertEquals(1, run("check", directory.resolve("none").toString()));
        Path broken = Files.writeString(directory.resolve("b.conf"), "pool {\n");
        assertEquals(1, run("check", broken.toString()));
        assertEquals(
                1,
                run(
                        "check",
                        Files.writeString(directory.resolve("b.json"), "{\"name\": \"x\"}")
                                .toString()));
        assertTrue(output.toString().contains("there is no such file"));
        assertTrue(output.toString().contains(broken + ":1:6: the block \"pool\" is not closed"));
        assertTrue(
                output.toString().contains("b.json: settings: familyInfo.readLevel is missing; a value is expected"),
                output.toString());
    }
}
