package stoatrill.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import org.junit.jupiter.api.Test;
import stoatrill.Gateway;
import stoatrill.config.Config;
import stoatrill.discovery.ServerList;
import stoatrill.scenario.Scenario;

/** Memory grew by the timers of requests that were over, for as long as their clients had said they would wait. */
class RequestTimersTest {
    private static final long START_TIME = 1_767_225_600_000_000_000L;
    private static final long CLIENT = 1;
    private static final long LONGEST_WAIT_MILLIS = 30_000;
    private static final int REQUEST_COUNT = 10_000;

    @Test
    void noTimerOutlivesItsRequest() throws Exception {
        Config config = Config.parse(Scenario.defaultConfig(), Map.of());
        DeadlineQueue deadlines = new DeadlineQueue();
        Reducer reducer = new Reducer(
                new NoOpEffects() {},
                new Clocks(START_TIME, 0),
                deadlines,
                config.reducerSetup(Integer.MAX_VALUE, config.seed()));
        reducer.onServerList(
                START_TIME,
                Gateway.ListKind.CACHED,
                ServerList.parse(config.knownServerList()).entries());
        int pendingBefore = deadlines.size();
        for (int i = 0; i < REQUEST_COUNT; i++) {
            reducer.onRequest(
                    START_TIME,
                    CLIENT,
                    i,
                    new ClientRequest(
                            "q" + i, "archive", "k", 0, LONGEST_WAIT_MILLIS, 0, false, false, wait -> new byte[1]));
            reducer.onRequestCancelled(START_TIME, CLIENT, i);
        }
        reducer.onClientDisconnected(START_TIME, CLIENT);
        assertEquals(0, reducer.heldEntryCounts().get(1), "requests that are held");
        assertEquals(pendingBefore, deadlines.size() - reducer.serverConnectionCount(), "pending deadlines");
    }
}
