package stoatrill.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import stoatrill.Gateway.ListKind;
import stoatrill.Gateway.Result;
import stoatrill.Gateway.Role;
import stoatrill.core.Answer;
import stoatrill.core.ClientRequest;
import stoatrill.core.Clocks;
import stoatrill.core.DeadlineQueue;
import stoatrill.core.NoOpEffects;
import stoatrill.core.Reducer;
import stoatrill.core.ServerAnswer;
import stoatrill.core.Statement;
import stoatrill.discovery.ServerList;
import stoatrill.scenario.Scenario;

/** Random settings over the ranges that the protocol specification allows, and invalid settings. */
class GeneratedSettingsTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long START_NANOS = 1_700_000_000_000L * NANOS_PER_MILLI;
    private static final String[] SEMANTICS = {"pure", "token", "side_effect"};
    private static final String[] READ_LEVELS = {"lag_bound", "eventual", "causal", "strong"};

    /** A generated configuration with its request classes: their names, which ones write, and their time limits. */
    private record Deployment(
            String config, List<String> classNames, List<Boolean> isWrite, List<Long> giveUpMillis, int groupCount) {}

    private static String pickQuoted(Random random, String... choices) {
        return "\"" + choices[random.nextInt(choices.length)] + "\"";
    }

    private static Deployment generate(Random random) {
        List<String> classNames = new ArrayList<>();
        List<Boolean> isWrite = new ArrayList<>();
        List<Long> giveUpMillis = new ArrayList<>();
        List<String> classes = new ArrayList<>();
        List<String> readLevels = new ArrayList<>();
        List<String> lagBounds = new ArrayList<>();
        for (int i = 1 + random.nextInt(6); i > 0; i--) {
            boolean writesData = random.nextInt(3) == 0;
            long limitMillis = 60L + random.nextInt(8_000);
            String level = writesData ? "\"mutate\"" : pickQuoted(random, READ_LEVELS);
            classNames.add(List.of("a", "b-2", "3", "long_name", "X.y").get(random.nextInt(5)) + "-" + i);
            isWrite.add(writesData);
            giveUpMillis.add(limitMillis);
            readLevels.add(level);
            lagBounds.add(
                    level.equals("\"lag_bound\"") ? Long.toString((50 + random.nextInt(900)) * NANOS_PER_MILLI) : "0");
            classes.add("{\"name\":\"" + classNames.get(classNames.size() - 1) + "\",\"aim\":"
                    + (limitMillis * NANOS_PER_MILLI / (1 + random.nextInt(8)))
                    + ",\"giveUp\":" + limitMillis * NANOS_PER_MILLI + ",\"gain\":" + random.nextInt(9)
                    + ",\"lateWorth\":"
                    + random.nextDouble()
                    + ",\"semantics\":"
                    + (writesData ? pickQuoted(random, "token", "side_effect") : pickQuoted(random, SEMANTICS))
                    + ",\"group\":"
                    + pickQuoted(random, "all", "zone", "cell") + ",\"repeatWindow\":"
                    + random.nextInt(5_000) * NANOS_PER_MILLI + "}");
        }
        int zoneCount = 1 + random.nextInt(4);
        int groupCount = 1 + random.nextInt(3);
        List<String> zoneNames = new ArrayList<>();
        for (int i = 0; i < zoneCount; i++) {
            zoneNames.add("\"z-" + i + "\"");
        }
        List<String> targets = new ArrayList<>();
        for (int i = 0; i < groupCount * (1 + random.nextInt(5)); i++) {
            targets.add("{\"uid\":\"s" + i + "\",\"endpoint\":\"127.0.0.1:" + (i + 1) + "\",\"az\":"
                    + zoneNames.get(random.nextInt(zoneCount))
                    + ",\"model\":\"m\",\"pod_group\":" + i % groupCount + ",\"state\":"
                    + pickQuoted(random, "Ready", "Ready", "Terminating")
                    + ",\"boot_ms\":"
                    + (random.nextBoolean() ? 0 : START_NANOS / NANOS_PER_MILLI - random.nextInt(30_000))
                    + ",\"access\":"
                    + pickQuoted(random, "writer", "reader") + "}");
        }
        List<String> tenants = new ArrayList<>();
        for (int i = random.nextInt(4); i > 0; i--) {
            tenants.add("{\"name\":\"t-" + i + "\",\"share\":0.2,\"allowancePerS\":" + random.nextInt(300) + "}");
        }
        String settings = "\"allowed\":{\"cancel\":" + random.nextBoolean() + ",\"connIdle\":"
                + (1 + random.nextInt(60)) * 1_000L * NANOS_PER_MILLI
                + ",\"connectTimeout\":" + (50 + random.nextInt(950)) * NANOS_PER_MILLI + ",\"maxAttempts\":"
                + (1 + random.nextInt(9))
                + ",\"maxRetryAfter\":" + random.nextInt(2_000) * NANOS_PER_MILLI + ",\"mayProbe\":"
                + random.nextBoolean()
                + ",\"mostHeld\":20000,\"peers\":false,\"retryAfter\":" + random.nextBoolean() + ",\"secondCopies\":"
                + random.nextBoolean() + "},\"classes\":[" + String.join(",", classes) + "],\"discovery\":"
                + pickQuoted(random, "on_request", "pushed") + ",\"hostTypes\":[\"m\"],\"zones\":["
                + String.join(",", zoneNames)
                + "],\"zone\":" + random.nextInt(zoneCount) + ",\"me\":0,\"replicasOfMe\":" + (1 + random.nextInt(120))
                + ",\"step\":"
                + (1 + random.nextInt(10)) * NANOS_PER_MILLI + ",\"overShareWorth\":0.1,\"realms\":["
                + String.join(",", tenants)
                + "],\"familyInfo\":{\"serverChecks\":" + pickQuoted(random, "off", "bounce", "await")
                + ",\"holdsFor\":"
                + random.nextInt(200) * NANOS_PER_MILLI
                + ",\"progressTold\":" + random.nextBoolean() + ",\"tokenMode\":"
                + pickQuoted(random, "brought", "kept")
                + ",\"showsRole\":"
                + pickQuoted(random, "trailing", "static", "off") + ",\"oldestData\":[" + String.join(",", lagBounds)
                + "],\"readLevel\":["
                + String.join(",", readLevels) + "]},\"report\":{\"columns\":[\"x0\",\"q\"],\"how\":"
                + pickQuoted(random, "inline", "on_probe", "off")
                + "},\"rules\":{\"answerSlack\":8000000,\"askWithin\":"
                + (1 + random.nextInt(20)) * 1_000L * NANOS_PER_MILLI
                + ",\"coldFrom\":"
                + random.nextDouble() + ",\"drainGrace\":" + (250 + random.nextInt(1_750)) * NANOS_PER_MILLI
                + ",\"tipAfter\":"
                + (200 + random.nextInt(3_000)) * NANOS_PER_MILLI + ",\"tipMultiple\":" + (1 + 3 * random.nextDouble())
                + ",\"warmAfter\":"
                + random.nextInt(20_000) * NANOS_PER_MILLI + "}";
        return new Deployment(
                "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:9\",\"seed\":\""
                        + Integer.toHexString(random.nextInt()) + "\",\"limits\":{\"sockets\":"
                        + (64 + random.nextInt(960))
                        + "},\"known\":{\"rev\":5,\"all\":true,\"targets\":[" + String.join(",", targets)
                        + "]},\"settings\":{" + settings + "}}",
                classNames,
                isWrite,
                giveUpMillis,
                groupCount);
    }

    /** Servers that randomly answer, miss, fail, reset or hang. Counts the answers to each request. */
    private static final class RandomServers extends NoOpEffects {
        private final Random random;
        private final List<Runnable> pending = new ArrayList<>();
        private final int[] answerCounts;
        private Reducer reducer;
        private long nowNanos = START_NANOS;

        RandomServers(Random random, int requestCount) {
            this.random = random;
            this.answerCounts = new int[requestCount];
        }

        private void runLater(Runnable action) {
            pending.add(random.nextInt(pending.size() + 1), action);
        }

        @Override
        public void openConnection(long connection, InetSocketAddress endpoint) {
            runLater(() -> {
                if (random.nextInt(8) > 0) {
                    reducer.onServerConnected(nowNanos, connection);
                } else {
                    reducer.onServerConnectionLost(nowNanos, connection, stoatrill.core.DisconnectCause.ENDED);
                }
            });
        }

        @Override
        public void sendQuery(long connection, Statement statement, long waitMillis) {
            reducer.onQueryWritten(connection);
            answer(connection);
        }

        @Override
        public void synchronize(long connection) {
            int chance = random.nextInt(9);
            runLater(() -> {
                if (chance < 7) {
                    reducer.onServerSynchronized(nowNanos, connection);
                } else if (chance < 8) {
                    reducer.onServerConnectionLost(nowNanos, connection, stoatrill.core.DisconnectCause.SURPLUS);
                } // otherwise the server hangs
            });
        }

        @Override
        public void sendProbe(long connection) {
            answer(connection);
        }

        private void answer(long connection) {
            Result[] results = {Result.OK, Result.OK, Result.MISS, Result.ERROR, Result.FULL};
            int chance = random.nextInt(9);
            runLater(() -> {
                if (chance < results.length) {
                    reducer.onServerAnswer(
                            nowNanos,
                            connection,
                            new ServerAnswer(
                                    results[chance],
                                    random.nextBoolean() ? Role.PRIMARY : Role.REPLICA,
                                    nowNanos / NANOS_PER_MILLI - random.nextInt(400),
                                    null,
                                    new byte[1]),
                            true);
                } else if (chance < 7) {
                    reducer.onServerConnectionLost(nowNanos, connection, stoatrill.core.DisconnectCause.SPOILT);
                } // otherwise the server hangs
            });
        }

        @Override
        public void answerClient(long client, long slot, Answer answer) {
            answerCounts[(int) slot]++;
        }
    }

    @Property(tries = 150)
    void answersEachRequestOnceBeforeItsDeadlineWithAnySettings(@ForAll long seed) throws Exception {
        Random random = new Random(seed);
        Deployment deployment = generate(random);
        Config config = Config.parse(deployment.config(), Map.of());
        int requestCount = 120;
        RandomServers servers = new RandomServers(random, requestCount);
        Reducer reducer = new Reducer(
                servers,
                new Clocks(START_NANOS, START_NANOS),
                new DeadlineQueue(),
                config.reducerSetup(30, config.seed()));
        servers.reducer = reducer;
        reducer.onServerList(
                START_NANOS,
                ListKind.CACHED,
                ServerList.parse(config.knownServerList()).entries());
        long[] deadlines = new long[requestCount];
        for (int step = 0, slot = 0; step < 10_000 && (slot < requestCount || reducer.unansweredCount() > 0); step++) {
            servers.nowNanos += NANOS_PER_MILLI;
            if (slot < requestCount && random.nextInt(3) == 0) {
                int classIndex = random.nextInt(deployment.classNames().size());
                deadlines[slot] = servers.nowNanos
                        + deployment.giveUpMillis().get(classIndex) * NANOS_PER_MILLI
                        + 8 * NANOS_PER_MILLI;
                reducer.onRequest(
                        servers.nowNanos,
                        1,
                        slot,
                        new ClientRequest(
                                "q" + slot,
                                deployment.classNames().get(classIndex),
                                "k" + random.nextInt(5),
                                random.nextInt(deployment.groupCount()),
                                deployment.giveUpMillis().get(classIndex),
                                0,
                                random.nextBoolean(),
                                deployment.isWrite().get(classIndex),
                                wait -> new byte[1]));
                slot++;
            }
            for (int n = servers.pending.size() / 4; n > 0; n--) {
                servers.pending.remove(0).run();
            }
            reducer.runDueDeadlines(servers.nowNanos);
            for (int i = 0; i < slot; i++) {
                assertTrue(servers.answerCounts[i] <= 1, "two answers");
                assertTrue(
                        servers.answerCounts[i] == 1 || servers.nowNanos <= deadlines[i],
                        "no answer before the deadline");
            }
        }
        assertEquals(0, reducer.unansweredCount());
        assertEquals(Map.of(), reducer.brokenInvariants());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
      "aim": 150000000 | "aim": 0 | settings: classes.0.aim is 0; a whole number from 1 on is expected
      "gain": 1.0 | "gain": "much" | settings: classes.0.gain is much; a number from 0 on is expected
      "gain": 1.0 | "gain": "NaN" | settings: classes.0.gain is NaN; a number from 0 on is expected
      "name": "recent", | | settings: classes.0.name is missing; a value is expected
      "pure" | "maybe" | settings: classes.0.semantics is maybe; one of [pure, side_effect, token] is expected
      "lag_bound", | | settings: classes.count is 3 where familyInfo.readLevel has 2 and familyInfo.oldestData 3 \
      entries; one of each a class is expected
      "on_request" | 7 | settings: discovery is 7; one of [on_request, pushed] is expected
      "cancel": true | "cancel": "yes" | settings: allowed.cancel is yes; one of [false, true] is expected
      "connIdle": 30000000000 | "connIdle": -1 | settings: allowed.connIdle is -1; a whole number from 0 on is expected
      "maxAttempts": 4 | "maxAttempts": 0 | settings: allowed.maxAttempts is 0; a whole number from 1 on is expected
      "sockets": 128 | "sockets": "many" | limits.sockets is "many"; a whole number from 1 on is expected
      "sockets": 128 | "sockets": [] | limits.sockets is []; a whole number from 1 on is expected
      """)
    void invalidSettingIsReportedWithPathValueAndExpectation(String validText, String invalidText, String message)
            throws Exception {
        String text = Scenario.defaultConfig();
        assertTrue(text.contains(validText));
        String invalidConfig =
                text.replaceFirst(java.util.regex.Pattern.quote(validText), invalidText == null ? "" : invalidText);
        assertEquals(
                message,
                assertThrows(ConfigException.class, () -> Config.parse(invalidConfig, Map.of()))
                        .getMessage());
    }
}
