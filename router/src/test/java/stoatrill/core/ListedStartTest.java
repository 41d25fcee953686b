package stoatrill.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stoatrill.Gateway.ListKind;
import stoatrill.Gateway.ListedState;
import stoatrill.config.Config;
import stoatrill.scenario.Scenario;

/** The start that a list states holds, however the clocks drift or are stepped between the lists. */
class ListedStartTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long START_MILLIS = 1_767_225_600_000L;
    private static final long START_NANOS = START_MILLIS * NANOS_PER_MILLI;
    private static final long HOUR_MILLIS = 3_600_000;
    private static final long AGE_MILLIS = 40;
    private static final int LISTS_COUNT = 100;
    private static final int DRIFT_NANOS = 2_000;

    private final List<String> log = new ArrayList<>();
    private final Clocks clocks = new Clocks(START_NANOS, START_NANOS);

    @Test
    void theSameStartIsNoRestartHoweverTheClocksDrift() throws Exception {
        Reducer reducer = reducer();
        Random random = new Random(1);
        reducer.onServerList(START_NANOS, ListKind.CACHED, List.of(startedAt(START_MILLIS - 10)));
        for (int i = 1; i <= LISTS_COUNT; i++) {
            long now = START_NANOS + i * NANOS_PER_MILLI;
            clocks.resync(now + random.nextInt(2 * DRIFT_NANOS) - DRIFT_NANOS, now);
            reducer.onServerList(now, ListKind.DELTA, List.of(startedAt(START_MILLIS - 10)));
        }
        assertEquals(1, starts(), log.toString());
        long restart = START_NANOS + 2 * LISTS_COUNT * NANOS_PER_MILLI;
        reducer.onServerList(restart, ListKind.DELTA, List.of(startedAt(START_MILLIS + LISTS_COUNT)));
        assertEquals(2, starts(), log.toString());
        assertTrue(log.stream().noneMatch(line -> line.contains("decision failed")), log.toString());
    }

    /** The start is told in the time of peers whose clocks go on. */
    @ParameterizedTest
    @ValueSource(longs = {HOUR_MILLIS, -HOUR_MILLIS, 5_000, -5_000})
    void aServerThatJustStartedIsColdThoughTheRoutersOwnClockWasStepped(long stepMillis) throws Exception {
        Reducer reducer = reducer();
        reducer.onServerList(START_NANOS, ListKind.CACHED, List.of(startedAt(0)));
        clocks.resync(START_NANOS + stepMillis * NANOS_PER_MILLI, START_NANOS);
        long now = START_NANOS + AGE_MILLIS * NANOS_PER_MILLI;
        clocks.resync(now + stepMillis * NANOS_PER_MILLI, now);
        reducer.onServerList(now, ListKind.DELTA, List.of(startedAt(START_MILLIS)));
        assertStartedOnce();
    }

    @ParameterizedTest
    @ValueSource(longs = {HOUR_MILLIS, -HOUR_MILLIS, 5_000, -5_000})
    void aServerThatJustStartedIsColdThoughAllClocksWereStepped(long stepMillis) throws Exception {
        Reducer reducer = reducer();
        reducer.onServerList(START_NANOS, ListKind.CACHED, List.of(startedAt(START_MILLIS - HOUR_MILLIS / 2)));
        clocks.resync(START_NANOS + stepMillis * NANOS_PER_MILLI, START_NANOS);
        long now = START_NANOS + AGE_MILLIS * NANOS_PER_MILLI;
        reducer.onServerList(now, ListKind.DELTA, List.of(startedAt(START_MILLIS + stepMillis)));
        assertStartedOnce();
    }

    private void assertStartedOnce() {
        assertEquals(1, starts(), log.toString());
        assertTrue(
                log.stream().anyMatch(line -> line.endsWith("was started, age " + AGE_MILLIS + " ms")), log.toString());
    }

    private Reducer reducer() throws Exception {
        Config config = Config.parse(Scenario.defaultConfig(), Map.of());
        return new Reducer(
                new NoOpEffects() {
                    @Override
                    public void log(String line) {
                        log.add(line);
                    }
                },
                clocks,
                new DeadlineQueue(),
                config.reducerSetup(100, config.seed()));
    }

    private long starts() {
        return log.stream().filter(line -> line.contains("was started")).count();
    }

    private static ServerEntry startedAt(long millis) {
        return new ServerEntry(
                "s1",
                InetSocketAddress.createUnresolved("127.0.0.1", 1),
                "north",
                "m",
                0,
                1,
                millis,
                false,
                ListedState.READY);
    }
}
