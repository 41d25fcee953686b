package stoatrill.contract;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import stoatrill.settings.SettingsException;

class ContractsTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MILLI;
    private static final long NANOS_PER_DAY = 86_400 * NANOS_PER_SECOND;
    private static final long START = 1_700_000_000L * NANOS_PER_SECOND;

    private static Accounts accounts(String text) throws SettingsException {
        return new Accounts(Contracts.parse("c", text), START);
    }

    private static boolean admits(Accounts accounts, int team, long now) {
        return accounts.admit(team, true, now) == Accounts.ADMITTED;
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "team a {\\n share 60%\\n}\\nteam b {\\n share 50%\\n}|c:4:1: with this team 110% of the "
                        + "primary are promised, and there are 100%; lower a share",
                "team a {\\n share 30%\\n team x {\\n share 40%\\n }\\n}|c:3:2: with this team 40% of "
                        + "team \"a\" are promised, and there are 30%; lower a share",
                "team a {\\n rate 10/s\\n team x {\\n rate 11/s\\n }\\n}|c:3:2: \"a.x\" is promised "
                        + "11/s, and the team above it 10/s; lower this rate",
                "team a {\\n rate 10\\n}|c:2:7: \"10\" has no unit; write for example 200/s, 30/m or 5/h",
                "team a {\\n budget 5 in 1h\\n}|c:2:2: \"budget\" can't be read; write: budget 100000 per 1h",
                "team a {\\n sahre 5%\\n}|c:2:2: \"sahre\" is not known here; did you mean \"share\"?",
                "team a {\\n}\\nteam a {\\n}|c:3:6: team \"a\" is already in line 1; rename one of them",
                "unknown team z|c:1:14: there is no team \"z\"; name one of this file, with its parents joined by dots",
                "team a {\\n over sometimes\\n}|c:2:7: \"sometimes\" is not one of refuse, when-short",
                "team a {\\n rate 1000003/d\\n burst 1000000\\n}|c:2:2: this rate can't be counted "
                        + "exactly with a burst of 1000000; round the rate to whole requests a second or minute, "
                        + "or lower the burst"
            })
    void reportsPositionAndRemedyOfErrors(String text, String problem) {
        List<String> problems = assertThrows(
                        SettingsException.class, () -> Contracts.parse("c", text.replace("\\n", "\n")))
                .problems();
        assertTrue(problems.contains(problem), problems.toString());
    }

    @Test
    void refusesUnknownTeamOrMapsItToDefault() throws Exception {
        assertEquals(-1, Contracts.parse("c", "team a {\n}\n").indexOf("b"));
        Contracts contracts = Contracts.parse("c", "team a {\n team x {\n }\n}\nteam rest {\n}\nunknown team rest\n");
        assertEquals(contracts.indexOf("rest"), contracts.indexOf("b"));
        assertEquals("a.x", contracts.all().get(contracts.indexOf("a.x")).path());
    }

    /**
     * Whatever the times of the requests: any span admits at most the burst plus the rate times the span, and a refused
     * request is admitted exactly at the advised time.
     */
    @Property(tries = 300)
    void admitsExactlyTheRateInAnySpan(
            @ForAll @LongRange(min = 1, max = 500_000_000L) long perDay,
            @ForAll @IntRange(min = 1, max = 50) int burst,
            @ForAll @Size(min = 1, max = 150) List<@LongRange(min = 0, max = 3_600_000_000_000L) Long> gaps) {
        RateBucket bucket = new RateBucket(perDay, burst, START);
        List<Long> taken = new ArrayList<>();
        long now = START;
        for (long gap : gaps) {
            now += gap % (gap % 2 == 0 ? 3_600_000_000_000L : 20 * NANOS_PER_MILLI);
            if (bucket.hasRoom(now)) {
                bucket.take();
                taken.add(now);
                long from = now;
                for (int i = taken.size() - 1; i >= 0; i--) {
                    double limit = burst + (double) (from - taken.get(i)) * perDay / NANOS_PER_DAY;
                    assertTrue(taken.size() - i <= limit + 1e-6, "exceeded in a span of " + (from - taken.get(i)));
                }
            } else {
                long ready = bucket.readyAt(now);
                RateBucket bucketBefore = replay(perDay, burst, taken);
                assertTrue(
                        !bucketBefore.hasRoom(ready - 1)
                                && replay(perDay, burst, taken).hasRoom(ready),
                        "not ready exactly at the advised time");
            }
        }
    }

    private static RateBucket replay(long perDay, int burst, List<Long> taken) {
        RateBucket bucket = new RateBucket(perDay, burst, START);
        for (long at : taken) {
            assertTrue(bucket.hasRoom(at));
            bucket.take();
        }
        return bucket;
    }

    @Property(tries = 300)
    void neverExceedsBudgetInAnyWindowAndAdvisesWhenReady(
            @ForAll @IntRange(min = 1, max = 20) int limit,
            @ForAll @Size(min = 1, max = 120) List<@LongRange(min = 0, max = 20_000_000_000L) Long> gaps) {
        long window = 60 * NANOS_PER_SECOND;
        WindowBudget budget = new WindowBudget(limit, window, START);
        List<Long> taken = new ArrayList<>();
        long now = START;
        for (long gap : gaps) {
            now += gap;
            if (budget.hasRoom(now)) {
                budget.take();
                taken.add(now);
                long from = now - window;
                assertTrue(taken.stream().filter(t -> t > from).count() <= limit);
            } else {
                long ready = budget.readyAt(now);
                assertTrue(
                        ready > now && ready <= now + window * 66 / 64 + NANOS_PER_SECOND, "ready in " + (ready - now));
                if (gap % 3 == 0) {
                    now = ready;
                    assertTrue(budget.hasRoom(now), "no room at the advised time");
                }
            }
        }
    }

    /** Charging and refunding leave the accounts unchanged: the same requests are admitted afterwards. */
    @Property(tries = 200)
    void refundRestoresExactState(@ForAll @Size(min = 1, max = 80) List<@IntRange(min = 0, max = 400) Integer> steps)
            throws Exception {
        String text = "team a {\n rate 7/s\n burst 9\n budget 40 per 30s\n team x {\n rate 5/s\n burst 4\n }\n}\n";
        Accounts plain = accounts(text);
        Accounts refunded = accounts(text);
        long now = START;
        for (int step : steps) {
            now += step * NANOS_PER_MILLI;
            if (admits(refunded, 1, now)) {
                refunded.charge(1, true, now);
                refunded.refund(1, true, now);
                refunded.refund(1, true, now);
            }
            assertEquals(plain.admit(1, true, now), refunded.admit(1, true, now));
            assertEquals(plain.spent(0, now), refunded.spent(0, now));
        }
    }

    @Test
    void chargesAllAncestorsOrNone() throws Exception {
        Accounts accounts =
                accounts("team a {\n budget 3 per 1h\n team x {\n rate 1/h\n burst 2\n }\n team y {\n }\n}\n");
        assertTrue(admits(accounts, 1, START), "the first");
        assertTrue(admits(accounts, 1, START), "the second");
        long ready = accounts.admit(1, true, START);
        assertEquals(START + 3600 * NANOS_PER_SECOND, ready);
        assertEquals(2, accounts.spent(0, START), "a refused request was charged");
        assertTrue(admits(accounts, 2, START));
        assertTrue(accounts.admit(2, true, START) > START, "the team above has spent its budget");
    }

    @Test
    void refusesBeyondRateOnlyWhenGroupIsShort() throws Exception {
        Accounts accounts = accounts("team a {\n rate 1/s\n burst 1\n over when-short\n}\n");
        for (int i = 0; i < 100; i++) {
            assertEquals(Accounts.ADMITTED, accounts.admit(0, false, START));
        }
        assertTrue(admits(accounts, 0, START), "requests beyond the rate left a debt");
        assertEquals(START + NANOS_PER_SECOND, accounts.admit(0, true, START));
    }

    @Test
    void limitsBurstAcrossMidnight() throws Exception {
        Accounts accounts = accounts("team a {\n budget 100 per 1d\n}\n");
        long midnight = (START / NANOS_PER_DAY + 1) * NANOS_PER_DAY;
        int admitted = 0;
        for (long now = midnight - 60 * NANOS_PER_SECOND;
                now < midnight + 60 * NANOS_PER_SECOND;
                now += NANOS_PER_SECOND / 2) {
            admitted += admits(accounts, 0, now) ? 1 : 0;
        }
        assertEquals(100, admitted);
        assertTrue(admits(accounts, 0, midnight + NANOS_PER_DAY + NANOS_PER_DAY / 32));
    }

    @Test
    void reloadKeepsSpending() throws Exception {
        Accounts accounts = accounts("team a {\n rate 10/s\n burst 40\n budget 100 per 1h\n}\n");
        for (int i = 0; i < 30; i++) {
            assertTrue(admits(accounts, 0, START));
        }
        Accounts halved = new Accounts(
                Contracts.parse("c", "team new {\n}\nteam a {\n rate 5/s\n burst 20\n budget 50 per 1h\n}\n"),
                accounts,
                START);
        assertTrue(halved.admit(1, true, START) > START, "30 requests of a burst of 20 are spent");
        assertEquals(30, halved.spent(1, START));
        int more = 0;
        for (long now = START; now < START + 600 * NANOS_PER_SECOND; now += NANOS_PER_SECOND) {
            more += admits(halved, 1, now) ? 1 : 0;
        }
        assertEquals(20, more, "the rest of the halved budget");
        assertTrue(admits(halved, 0, START + 600 * NANOS_PER_SECOND), "a new team has spent nothing");
    }

    @Test
    void rateStaysExactForAHundredYears() {
        RateBucket bucket = new RateBucket(7, 1, START);
        long now = START;
        long taken = 0;
        while (taken < 7L * 36_500) {
            now = bucket.readyAt(now);
            assertTrue(bucket.hasRoom(now));
            bucket.take();
            taken++;
        }
        long off = Math.abs(now - (START + 36_500 * NANOS_PER_DAY - NANOS_PER_DAY / 7));
        assertTrue(off <= 7L * 36_500, "off by " + off + " ns, more than one nanosecond for each request");
    }

    @Test
    void handlesTenThousandTeamsInThreeLevels() throws Exception {
        StringBuilder text = new StringBuilder();
        for (int accounts = 0; accounts < 10; accounts++) {
            text.append("team t").append(accounts).append(" {\n share 10%\n rate 1000/s\n");
            for (int b = 0; b < 9; b++) {
                text.append(" team u").append(b).append(" {\n share 1%\n rate 100/s\n");
                for (int c = 0; c < 110; c++) {
                    text.append("  team v").append(c).append(" {\n   rate 1/s\n   burst 1\n  }\n");
                }
                text.append(" }\n");
            }
            text.append("}\n");
        }
        Contracts contracts = Contracts.parse("c", text.toString());
        assertEquals(10 + 90 + 9900, contracts.all().size());
        Accounts accounts = new Accounts(contracts, START);
        int admitted = 0;
        for (int team = 0; team < contracts.all().size(); team++) {
            admitted += contracts.all().get(team).path().startsWith("t3.u4.") && admits(accounts, team, START) ? 1 : 0;
        }
        assertEquals(100, admitted, "110 teams may send one each, and the team above them 100 at once");
    }
}
