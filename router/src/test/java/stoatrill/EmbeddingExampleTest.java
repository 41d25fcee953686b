package stoatrill;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.junit.jupiter.api.Test;

/** Example of a minimal gateway that embeds the module. */
class EmbeddingExampleTest {

    /** Owns the clock and the timers, and simulates servers that answer after 20 ms. */
    static final class TinyGateway implements Gateway {
        private record Task(long dueAt, Runnable action) {}

        private final PriorityQueue<Task> pendingTasks = new PriorityQueue<>(Comparator.comparingLong(Task::dueAt));
        final List<Long> usedServers = new ArrayList<>();
        private long now = 1_000_000_000L;
        private Events module;

        void start(Settings settings, List<ListEntry> servers) {
            module = new Decide(this, settings, 42);
            module.onServerList(now, ListKind.CACHED, servers);
        }

        void request(long id, int classIndex) {
            module.onRequest(now, id, 0, 0, now + 2_000_000_000L, 0, false, classIndex, 0);
        }

        void run(long span) {
            long end = now + span;
            while (!pendingTasks.isEmpty() && pendingTasks.peek().dueAt() <= end) {
                Task task = pendingTasks.poll();
                now = Math.max(now, task.dueAt());
                task.action().run();
            }
            now = end;
        }

        @Override
        public void sendAttempt(long request, long server, long timeout) {
            usedServers.add(server);
            pendingTasks.add(new Task(
                    now + 20_000_000L,
                    () -> module.onAttemptEnded(
                            now,
                            request,
                            0,
                            server,
                            Result.OK,
                            20_000_000L,
                            true,
                            now,
                            server == 1 ? Role.PRIMARY : Role.REPLICA,
                            null)));
        }

        @Override
        public void startTimer(long delay, long token) {
            pendingTasks.add(new Task(now + delay, () -> module.onTimer(now, token)));
        }

        @Override
        public void refuse(long request, long retryAfter) {}

        @Override
        public void fail(long request) {}

        @Override
        public void cancelAttempt(long request, int attempt) {}

        @Override
        public void probeServer(long server) {}

        @Override
        public void closeIdleConnections(long server) {}

        @Override
        public void sendToPeer(int peer, byte[] message) {}

        @Override
        public void watchServerList(boolean enabled) {}

        @Override
        public void fetchServerList() {}

        @Override
        public void log(String line) {}
    }

    @Test
    void sendsWriteToPrimaryAndReadToLocalReplica() {
        TinyGateway gateway = new TinyGateway();
        gateway.start(
                RecordingGateway.settings(
                        Gateway.Idempotency.KEYED, Gateway.DeduplicationScope.GROUP, Gateway.StalenessCheck.NONE, true),
                List.of(
                        RecordingGateway.member(1, 0, true),
                        RecordingGateway.member(2, 0, false),
                        RecordingGateway.member(3, 1, false)));
        gateway.request(1, RecordingGateway.WRITE);
        gateway.request(2, RecordingGateway.ANY);
        gateway.run(100_000_000L);
        assertEquals(List.of(1L, 2L), gateway.usedServers);
    }
}
