package stoatrill.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SettingsTest {
    private static List<String> problems(String text) {
        return assertThrows(SettingsException.class, () -> {
                    Problems problems = new Problems();
                    BlockReader reader = new BlockReader(SettingsFile.parse("f", text), problems);
                    reader.timeSpan("age", 0, 60_000_000_000L, 0);
                    reader.share("part", 0, 1, 0);
                    reader.readBlock("pool", pool -> pool.count("size", 1, 9, 1));
                    reader.reportUnknown();
                    problems.throwIfAny();
                })
                .problems();
    }

    @Test
    void parsesWordsStringsCommentsAndBlocksWithPositions() throws Exception {
        Block block = SettingsFile.parse("f", "a b \"c # \\\"d\\\"\" # e\n\npool x {\n  size 3\n}\n");
        assertEquals(
                List.of("b", "c # \"d\""),
                block.directives().get(0).words().stream().map(Word::text).toList());
        Directive size = block.directives().get(1).block().directives().get(0);
        assertEquals(new SourcePosition("f", 4, 8), size.words().get(0).position());
    }

    @ParameterizedTest
    @CsvSource({
        "SPAN,300ms,300000000",
        "SPAN,1.5s,1500000000",
        "SIZE,64KiB,65536",
        "RATE,730/s,63072000",
        "SHARE,2.5%,25000",
        "COUNT,12,12",
        "NUMBER,2.4,2400"
    })
    void parsesAndFormatsQuantitiesExactly(Quantity kind, String text, long value) {
        assertEquals(value, kind.parse(text));
        assertEquals(value, kind.parse(kind.format(value)));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "age 300|f:1:5: \"300\" has no unit; write for example 300ms, 2s, 5m, 1h or 1d",
                "age 300mn|f:1:5: \"300mn\" has the unit \"mn\", which is not one of ns, us, ms, s, m, "
                        + "h, d; write for example 300ms, 2s, 5m, 1h or 1d",
                "age 61s|f:1:5: \"61s\" is out of range; write 0s to 1m",
                "agee 3s|f:1:1: \"agee\" is not known here; did you mean \"age\"?",
                "zebra 3s|f:1:1: \"zebra\" is not known here; known are: age, part, pool",
                "part 0.3|f:1:6: \"0.3\" has no unit; write for example 30% or 2.5%",
                "age 1s 2s|f:1:1: \"age\" takes one value, and has 2",
                "pool 3|f:1:1: \"pool\" opens a block; end the line with '{'",
                "age \"1s|f:1:5: the string is not closed; add '\"' before the end of the line",
                "}|f:1:1: this '}' closes nothing; remove it or look for a missing '{'",
                "pool {|f:1:6: the block \"pool\" is not closed; add a line with '}'",
                "{|f:1:1: a block needs a name before its '{'"
            })
    void errorsNamePositionAndCorrection(String text, String problem) {
        assertEquals(problem, problems(text).get(0));
    }

    @Test
    void reportsAllErrorsOfAFileAtOnce() {
        assertEquals(
                List.of(
                        "f:2:7: \"x\" is not a whole number; write for example 12",
                        "f:4:5: \"7\" has no unit; write for example 300ms, 2s, 5m, 1h or 1d",
                        "f:5:1: \"age\" is already given in line 4; keep one of them"),
                problems("pool {\n size x\n}\nage 7\nage 8s"));
    }
}
