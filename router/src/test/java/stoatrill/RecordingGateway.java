package stoatrill;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/** A gateway that records the actions of the module, with a clock that the test sets. */
final class RecordingGateway implements Gateway {
    static final long NANOS_PER_MILLI = 1_000_000L;
    static final long START = 1_000_000 * NANOS_PER_MILLI;
    static final int WRITE = 0;
    static final int SESSION = 1;
    static final int BOUNDED = 2;
    static final int ANY = 3;

    final List<String> actions = new ArrayList<>();
    final List<Long> sentTo = new ArrayList<>();
    final List<Long> timers = new ArrayList<>();
    private final PriorityQueue<long[]> pendingTimers = new PriorityQueue<>(Comparator.comparingLong(t -> t[0]));
    Decide module;
    long now = START;
    private long nextRequestId = 1;

    /** Starts the module with one group: members 1 (the primary) and 2 in the own zone, 3 and 4 in the other zone. */
    static RecordingGateway start(Settings settings) {
        return start(settings, 7);
    }

    static RecordingGateway start(Settings settings, long seed) {
        RecordingGateway gateway = new RecordingGateway();
        gateway.module = new Decide(gateway, settings, seed);
        gateway.module.onServerList(
                gateway.now,
                ListKind.CACHED,
                List.of(member(1, 0, true), member(2, 0, false), member(3, 1, false), member(4, 1, false)));
        gateway.actions.clear();
        return gateway;
    }

    static ListEntry member(long server, int zone, boolean primary) {
        return new ListEntry(server, 0, zone, 0, 1, 0, primary, ListedState.READY);
    }

    static Settings settings(Idempotency effect, DeduplicationScope scope, StalenessCheck check, boolean secondCopies) {
        return settings(effect, scope, check, secondCopies, false, 2);
    }

    static Settings settings(
            Idempotency effect,
            DeduplicationScope scope,
            StalenessCheck check,
            boolean secondCopies,
            boolean probes,
            int gateways) {
        List<RequestClass> classes = List.of(
                requestClass("write", 600, 3, Consistency.WRITE, 0, effect, scope),
                requestClass("session", 500, 2, Consistency.SESSION, 0, Idempotency.SAFE, DeduplicationScope.ALL),
                requestClass("bounded", 300, 1, Consistency.BOUNDED, 1000, Idempotency.SAFE, DeduplicationScope.ALL),
                requestClass("any", 400, 1, Consistency.ANY, 0, Idempotency.SAFE, DeduplicationScope.ALL));
        return new Settings(
                0,
                gateways,
                0,
                5 * NANOS_PER_MILLI,
                false,
                0.1,
                new Limits(true, probes, false, secondCopies, true, 6, 1000 * NANOS_PER_MILLI),
                new Rules(
                        20 * NANOS_PER_MILLI,
                        0,
                        500 * NANOS_PER_MILLI,
                        0.2,
                        10_000 * NANOS_PER_MILLI,
                        2,
                        1500 * NANOS_PER_MILLI,
                        true),
                new Replication(check, 50 * NANOS_PER_MILLI, true, false, ListedRole.AT_START, false),
                classes,
                List.of());
    }

    /** The default settings with a list that comes only on request. */
    static Settings settingsWithListOnRequest() {
        Settings usual = settings(Idempotency.UNSAFE, DeduplicationScope.GROUP, StalenessCheck.NONE, true);
        return new Settings(
                usual.gatewayIndex(),
                usual.gatewayCount(),
                usual.zone(),
                usual.tick(),
                true,
                usual.overAllowanceWorthFactor(),
                usual.limits(),
                usual.rules(),
                usual.replication(),
                usual.classes(),
                usual.tenants());
    }

    private static RequestClass requestClass(
            String name,
            long aim,
            double worth,
            Consistency need,
            long bound,
            Idempotency effect,
            DeduplicationScope scope) {
        return new RequestClass(
                name,
                aim * NANOS_PER_MILLI,
                2000 * NANOS_PER_MILLI,
                worth,
                0.5,
                need,
                bound * NANOS_PER_MILLI,
                effect,
                scope,
                1000 * NANOS_PER_MILLI,
                false);
    }

    /** Advances the clock in steps of 10 ms and delivers the timers that expire. */
    RecordingGateway advance(long millis) {
        for (long end = now + millis * NANOS_PER_MILLI; now < end; ) {
            now += 10 * NANOS_PER_MILLI;
            while (!pendingTimers.isEmpty() && pendingTimers.peek()[0] <= now) {
                module.onTimer(now, pendingTimers.remove()[1]);
            }
        }
        return this;
    }

    /** Starts a request with a deadline in two seconds; returns its id. */
    long request(int classIndex) {
        return request(classIndex, 5);
    }

    long request(int classIndex, long session) {
        long id = nextRequestId++;
        module.onRequest(now, id, session, 0, now + 2000 * NANOS_PER_MILLI, 0, false, classIndex, 0);
        return id;
    }

    void outcome(long id, int attempt, long server, Result result) {
        outcome(id, attempt, server, result, NO_POSITION, Role.UNKNOWN);
    }

    void outcome(long id, int attempt, long server, Result result, long position, Role role) {
        module.onAttemptEnded(
                now, id, attempt, server, result, 50 * NANOS_PER_MILLI, result == Result.OK, position, role, null);
    }

    /** Starts a request and answers its first attempt; returns the server that got it. */
    long serve(int classIndex) {
        long id = request(classIndex);
        long server = lastServer();
        outcome(id, 0, server, Result.OK, now, server == 1 ? Role.PRIMARY : Role.REPLICA);
        return server;
    }

    /** Delivers a report that a server has applied the log up to now. */
    void reportCurrentPosition(long server) {
        module.onProbeEnded(now, server, NANOS_PER_MILLI, Result.OK, new Report(now, Role.UNKNOWN, -1, -1));
    }

    /** Delivers a report of a server on its queued requests and all requests at it. */
    void reportQueue(long server, double waiting, double held) {
        module.onProbeEnded(
                now, server, NANOS_PER_MILLI, Result.OK, new Report(NO_POSITION, Role.UNKNOWN, waiting, held));
    }

    long lastServer() {
        return sentTo.get(sentTo.size() - 1);
    }

    boolean hasAction(String action) {
        return actions.contains(action);
    }

    long countActions(String prefix) {
        return actions.stream().filter(a -> a.startsWith(prefix)).count();
    }

    @Override
    public void sendAttempt(long request, long server, long timeout) {
        actions.add("send " + request + " to " + server);
        sentTo.add(server);
    }

    @Override
    public void refuse(long request, long retryAfter) {
        actions.add("refuse " + request);
    }

    @Override
    public void fail(long request) {
        actions.add("fail " + request);
    }

    @Override
    public void cancelAttempt(long request, int attempt) {
        actions.add("cancel " + request + "/" + attempt);
    }

    @Override
    public void startTimer(long delay, long token) {
        timers.add(token);
        pendingTimers.add(new long[] {now + delay, token});
        actions.add("timer " + token);
    }

    @Override
    public void probeServer(long server) {
        actions.add("probe " + server);
    }

    @Override
    public void closeIdleConnections(long server) {
        actions.add("dropIdle " + server);
    }

    @Override
    public void sendToPeer(int peer, byte[] message) {
        actions.add("tell " + peer);
    }

    @Override
    public void watchServerList(boolean enabled) {
        actions.add("follow " + enabled);
    }

    @Override
    public void fetchServerList() {
        actions.add("fetch");
    }

    @Override
    public void log(String line) {
        actions.add("log " + line);
    }
}
