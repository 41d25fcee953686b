package stoatrill.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import stoatrill.Gateway;
import stoatrill.config.Config;
import stoatrill.discovery.ServerList;
import stoatrill.scenario.Scenario;

/** A write that may have run is not sent again under its id, however its first client left. */
class RepeatedWriteTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long START_TIME = 1_767_225_600_000L * NANOS_PER_MILLI;
    private static final long WAIT_MILLIS = 1000;
    private static final long FIRST_CLIENT = 1;
    private static final long SECOND_CLIENT = 2;
    /** Ten times the longest deadline, and the quarter by which ids may be forgotten late. */
    private static final long FORGOTTEN_AFTER_MILLIS = 37_500;

    private final List<Long> opened = new ArrayList<>();
    private final List<Long> written = new ArrayList<>();
    private final Map<Long, Answer> answers = new HashMap<>();
    private final Reducer reducer;

    private final class RecordingEffects extends NoOpEffects {
        @Override
        public void openConnection(long connection, InetSocketAddress endpoint) {
            opened.add(connection);
        }

        @Override
        public void sendQuery(long connection, Statement statement, long waitMillis) {
            written.add(connection);
        }

        @Override
        public void answerClient(long client, long slot, Answer answer) {
            answers.put(client, answer);
        }
    }

    RepeatedWriteTest() throws Exception {
        Config config = Config.parse(Scenario.defaultConfig(), Map.of());
        reducer = new Reducer(
                new RecordingEffects(),
                new Clocks(START_TIME, 0),
                new DeadlineQueue(),
                config.reducerSetup(Integer.MAX_VALUE, config.seed()));
        reducer.onServerList(
                START_TIME,
                Gateway.ListKind.CACHED,
                ServerList.parse(config.knownServerList()).entries());
    }

    private static long at(long millis) {
        return START_TIME + millis * NANOS_PER_MILLI;
    }

    private void request(long millis, long client) {
        reducer.onRequest(
                at(millis),
                client,
                0,
                new ClientRequest("w1", "upload", "k", 0, WAIT_MILLIS, 0, false, true, wait -> new byte[1]));
        for (long connection : List.copyOf(opened)) {
            reducer.onServerConnected(at(millis), connection);
        }
        opened.clear();
    }

    @Test
    void isNotSentAgainAfterItsClientHasLeft() {
        request(0, FIRST_CLIENT);
        assertEquals(1, written.size());
        reducer.onQueryWritten(at(1), written.get(0));
        reducer.onClientDisconnected(at(2), FIRST_CLIENT);
        request(3, SECOND_CLIENT);
        assertEquals(1, written.size(), "the write was sent twice");
        assertInstanceOf(Answer.Failed.class, answers.get(SECOND_CLIENT));
        assertEquals(Map.of(), reducer.brokenInvariants());
    }

    @Test
    void isSentIfItWasNeverWritten() {
        request(0, FIRST_CLIENT);
        reducer.onClientDisconnected(at(2), FIRST_CLIENT);
        request(3, SECOND_CLIENT);
        assertEquals(2, written.size());
    }

    @Test
    void isForgottenOnceNoClientCanWaitForItAnyLonger() {
        request(0, FIRST_CLIENT);
        reducer.onQueryWritten(at(1), written.get(0));
        reducer.onClientDisconnected(at(2), FIRST_CLIENT);
        reducer.runDueDeadlines(at(FORGOTTEN_AFTER_MILLIS));
        request(3 + FORGOTTEN_AFTER_MILLIS, SECOND_CLIENT);
        assertEquals(2, written.size());
    }
}
