package stoatrill;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stoatrill.scenario.RouterProcessDriver;

/**
 * Servers that send surplus data behind an answer, which arrives only once the router sends the next message on the
 * connection. Guards against a copy of an earlier answer being taken for the answer to a later request.
 */
class SurplusAnswerTest extends RouterProcessDriver {
    private static final int REQUEST_COUNT = 20;
    /** Exchanges that pass the time before a connection is used again; a fixed pause would do no more. */
    private static final int EXCHANGES_BETWEEN_COUNT = 20;

    /** A read after a read: the copy of the first value must not be served for the second. */
    @ParameterizedTest
    @ValueSource(strings = {"copy", "noise"})
    void readsAreServedTheirOwnValues(String surplus) throws Exception {
        StringBuilder steps = new StringBuilder(CONNECTED + "r1 send surplus " + surplus + "\n");
        for (int id = 1; id <= REQUEST_COUNT; id++) {
            steps.append("""
            c send read %1$d
            r1 expect read %1$d
            r1 send row value %1$d
            c expect row value %1$d
            """.formatted(id));
        }
        runScenario(steps.toString());
    }

    /** A write after a write: it must not be reported as stored before it ran, nor with the value of the first one. */
    @ParameterizedTest
    @ValueSource(strings = {"copy", "noise"})
    void writesAreServedTheirOwnValues(String surplus) throws Exception {
        StringBuilder steps = new StringBuilder(CONNECTED + READER + "p send surplus " + surplus + "\n");
        for (int id = 1; id <= REQUEST_COUNT; id++) {
            steps.append("""
            c send write %1$d
            p expect write %1$d
            p send row value %1$d
            c expect row value %1$d
            """.formatted(id)).append(exchanges(id));
        }
        runScenario(steps.toString());
    }

    /** A copy of a refusal must not be taken for the answer to the repeat of the write, which would run twice. */
    @Test
    void writeIsNotRepeatedForTheCopyOfARefusal() throws Exception {
        StringBuilder steps = new StringBuilder(CONNECTED + READER);
        for (int id = 1; id <= REQUEST_COUNT; id++) {
            steps.append("""
            p send surplus copy
            c send write %1$d
            p expect write %1$d
            p send error 53300
            p expect write %1$d
            p send surplus none
            p send row value %1$d
            c expect row value %1$d
            """.formatted(id)).append(exchanges(id)).append("p expect nothing\n");
        }
        runScenario(steps.toString());
    }

    private static final String READER = "d send startup\nd expect ready\nr1 send reads x\n";

    /** Reads of another client at another server. */
    private static String exchanges(int id) {
        StringBuilder steps = new StringBuilder();
        for (int n = 0; n < EXCHANGES_BETWEEN_COUNT; n++) {
            steps.append("d send read %1$dr%2$d\nr1 expect read %1$dr%2$d\nd expect row x\n".formatted(id, n));
        }
        return steps.toString();
    }
}
