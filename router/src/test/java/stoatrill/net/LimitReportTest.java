package stoatrill.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** A flood gives one line an interval, whose length does not follow the number of events. */
class LimitReportTest {
    private static final int EVENT_COUNT = 100_000;
    private static final int LINE_LIMIT_CHARS = 300;

    private final LimitReport report = new LimitReport();

    @Test
    void isSilentWhenNoLimitIsMet() {
        report.count("closed", "peer ended");
        report.count("connection", "server");
        report.offer(new LimitReport.ClientCost("a", 1, 1, 0));
        assertNull(report.takeLine());
    }

    @Test
    void namesTheCausesAndTheCostliestClientOnce() {
        for (int i = 0; i < EVENT_COUNT; i++) {
            report.count("error", "0A000");
            report.count("turn", "used up");
            report.offer(new LimitReport.ClientCost("/127.0.0.1:" + i, i, 1024L * i, i));
        }
        String line = report.takeLine();
        assertEquals(
                "counts error.0A000=100000 turn.used-up=100000; costliest client /127.0.0.1:99999: 99999 messages, "
                        + "99999 KiB of work, 99999 turns used up",
                line);
        assertTrue(line.length() < LINE_LIMIT_CHARS);
        assertNull(report.takeLine());
    }
}
