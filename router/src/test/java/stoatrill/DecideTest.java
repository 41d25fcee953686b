package stoatrill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stoatrill.RecordingGateway.ANY;
import static stoatrill.RecordingGateway.BOUNDED;
import static stoatrill.RecordingGateway.NANOS_PER_MILLI;
import static stoatrill.RecordingGateway.SESSION;
import static stoatrill.RecordingGateway.WRITE;

import java.util.List;
import org.junit.jupiter.api.Test;
import stoatrill.Gateway.DeduplicationScope;
import stoatrill.Gateway.Idempotency;
import stoatrill.Gateway.Result;
import stoatrill.Gateway.Role;
import stoatrill.Gateway.StalenessCheck;

class DecideTest {
    private RecordingGateway gateway = start(Idempotency.UNSAFE, DeduplicationScope.GROUP);

    private static RecordingGateway start(Idempotency effect, DeduplicationScope scope) {
        return RecordingGateway.start(RecordingGateway.settings(effect, scope, StalenessCheck.NONE, true));
    }

    // Choice of a server without overload or faults.

    @Test
    void sendsWriteToPrimary() {
        gateway.request(WRITE);
        assertEquals(1, gateway.lastServer());
    }

    @Test
    void sendsReadToLocalReplica() {
        gateway.request(ANY);
        assertEquals(2, gateway.lastServer());
    }

    @Test
    void sendsBoundedReadToFreshRemoteReplicaWhenLocalIsStale() {
        gateway.reportCurrentPosition(2);
        gateway.reportCurrentPosition(4);
        gateway.request(BOUNDED);
        assertEquals(2, gateway.lastServer());
        gateway.now += 900 * NANOS_PER_MILLI;
        gateway.reportCurrentPosition(4);
        gateway.now += 200 * NANOS_PER_MILLI;
        gateway.request(BOUNDED);
        assertEquals(4, gateway.lastServer());
    }

    @Test
    void sendsBoundedReadToPrimaryWhenNoReplicaIsKnownFresh() {
        gateway.request(BOUNDED);
        assertEquals(1, gateway.lastServer());
    }

    @Test
    void triesLocalReplicaOfUnknownPositionWhenServersCheckReads() {
        gateway = RecordingGateway.start(
                RecordingGateway.settings(Idempotency.UNSAFE, DeduplicationScope.GROUP, StalenessCheck.WAIT, true));
        gateway.request(BOUNDED);
        assertEquals(2, gateway.lastServer());
    }

    @Test
    void avoidsBusyLocalReplica() {
        for (int i = 0; i < 40; i++) {
            long id = gateway.request(ANY);
            gateway.module.onAttemptEnded(
                    gateway.now,
                    id,
                    0,
                    gateway.lastServer(),
                    Result.OK,
                    gateway.lastServer() == 2 ? 900 * NANOS_PER_MILLI : 20 * NANOS_PER_MILLI,
                    true,
                    Gateway.NO_POSITION,
                    Role.UNKNOWN,
                    null);
            gateway.advance(50);
        }
        long local = gateway.sentTo.stream().filter(s -> s == 2).count();
        assertTrue(local < 20, local + " of 40 reads sent to a busy server");
    }

    @Test
    void retriesOnAnotherReplicaAfterRefusalAsFull() {
        long id = gateway.request(ANY);
        gateway.outcome(id, 0, 2, Result.FULL);
        assertTrue(gateway.lastServer() >= 3, "went to " + gateway.lastServer());
    }

    @Test
    void sendsSessionReadOnlyToServerThatHasItsWrite() {
        long write = gateway.request(WRITE, 77);
        gateway.reportCurrentPosition(2);
        gateway.now += 10 * NANOS_PER_MILLI;
        gateway.outcome(write, 0, 1, Result.OK, gateway.now, Role.PRIMARY);
        gateway.request(SESSION, 77);
        assertEquals(1, gateway.lastServer());
        gateway.request(SESSION, 78);
        assertEquals(2, gateway.lastServer());
        gateway.now += 10 * NANOS_PER_MILLI;
        gateway.reportCurrentPosition(2);
        gateway.request(SESSION, 77);
        assertEquals(2, gateway.lastServer());
    }

    @Test
    void waitsForReportOfLocalReplicaWithOldPosition() {
        gateway = RecordingGateway.start(RecordingGateway.settings(
                Idempotency.UNSAFE, DeduplicationScope.GROUP, StalenessCheck.NONE, true, true, 2));
        gateway.advance(2000);
        assertEquals(0, gateway.countActions("probe"), "probes without a request that needs one");
        gateway.request(BOUNDED);
        assertEquals(1, gateway.countActions("probe 2"));
        assertEquals(0, gateway.countActions("send"));
        gateway.reportCurrentPosition(2);
        assertEquals(2, gateway.lastServer());
    }

    @Test
    void sendsReadElsewhereWhenReportDoesNotArrive() {
        gateway = RecordingGateway.start(RecordingGateway.settings(
                Idempotency.UNSAFE, DeduplicationScope.GROUP, StalenessCheck.NONE, true, true, 2));
        gateway.serve(WRITE);
        gateway.sentTo.clear();
        gateway.now += 1100 * NANOS_PER_MILLI;
        gateway.request(BOUNDED);
        assertEquals(0, gateway.sentTo.size());
        gateway.advance(40);
        assertEquals(1, gateway.lastServer());
        assertEquals(1, gateway.countActions("probe 2"));
    }

    @Test
    void doesNotTrustPrimaryKnownOnlyFromList() {
        gateway = RecordingGateway.start(RecordingGateway.settings(
                Idempotency.UNSAFE, DeduplicationScope.GROUP, StalenessCheck.NONE, true, true, 2));
        long id = gateway.request(BOUNDED);
        gateway.advance(100);
        assertEquals(0, gateway.countActions("send " + id + " "));
        gateway.reportCurrentPosition(3);
        gateway.advance(30);
        assertEquals(3, gateway.lastServer());
    }

    @Test
    void keepsWorthOfTenantBurstWithinAllowance() {
        Gateway.Settings plain =
                RecordingGateway.settings(Idempotency.UNSAFE, DeduplicationScope.GROUP, StalenessCheck.NONE, true);
        gateway = RecordingGateway.start(new Gateway.Settings(
                plain.gatewayIndex(),
                plain.gatewayCount(),
                plain.zone(),
                plain.tick(),
                plain.listOnRequest(),
                plain.overAllowanceWorthFactor(),
                plain.limits(),
                plain.rules(),
                plain.replication(),
                plain.classes(),
                List.of(new Gateway.Tenant("one", plain.gatewayCount()))));
        for (int i = 0; i < 30; i++) {
            long id = gateway.request(ANY);
            gateway.module.onAttemptEnded(
                    gateway.now,
                    id,
                    0,
                    gateway.lastServer(),
                    Result.OK,
                    200 * NANOS_PER_MILLI,
                    true,
                    Gateway.NO_POSITION,
                    Role.UNKNOWN,
                    null);
            gateway.advance(1000);
        }
        for (int i = 0; i < 2; i++) {
            long id = gateway.request(ANY);
            gateway.module.onAttemptEnded(
                    gateway.now,
                    id,
                    0,
                    gateway.lastServer(),
                    Result.OK,
                    200 * NANOS_PER_MILLI,
                    true,
                    Gateway.NO_POSITION,
                    Role.UNKNOWN,
                    null);
            assertEquals(
                    1, gateway.countActions("send " + id + " "), "request " + i + " of a burst within the allowance");
        }
    }

    // Rule 1: each request gets one final answer in time.

    @Test
    void answersHeldRequestAtDeadline() {
        gateway.module.onServerList(gateway.now, Gateway.ListKind.FULL, List.of());
        gateway.now += 1000 * NANOS_PER_MILLI;
        long id = gateway.request(WRITE);
        assertEquals(0, gateway.countActions("send"));
        assertTrue(gateway.timers.contains(id));
        gateway.now += 1995 * NANOS_PER_MILLI;
        gateway.module.onTimer(gateway.now, id);
        gateway.module.onTimer(gateway.now, id);
        assertEquals(1, gateway.countActions("refuse " + id));
    }

    @Test
    void ignoresLateEventsOfEndedRequest() {
        long id = gateway.request(ANY);
        gateway.module.onClientLeft(gateway.now, id);
        gateway.outcome(id, 0, 2, Result.CANCELLED);
        gateway.module.onClientLeft(gateway.now, id);
        gateway.module.onTimer(gateway.now, id);
        gateway.outcome(id, 0, 2, Result.OK);
        gateway.outcome(id, 0, 99, Result.OK);
        assertEquals(1, gateway.countActions("send"));
        assertEquals(0, gateway.countActions("refuse") + gateway.countActions("fail"));
    }

    @Test
    void doesNotCancelStreamThatHasBegun() {
        long id = gateway.request(ANY);
        gateway.module.onAnswerBegun(gateway.now, id, 0, 2);
        gateway.module.onTimer(gateway.now + 2000 * NANOS_PER_MILLI, id);
        assertEquals(0, gateway.countActions("cancel") + gateway.countActions("refuse") + gateway.countActions("fail"));
    }

    // Rule 2: no request has its effect twice.

    @Test
    void failsUnsafeWriteThatMayHaveRun() {
        for (Result result : List.of(Result.ERROR, Result.TIMEOUT, Result.RESET, Result.CANCELLED)) {
            gateway = start(Idempotency.UNSAFE, DeduplicationScope.GROUP);
            long id = gateway.request(WRITE);
            gateway.outcome(id, 0, 1, result);
            assertEquals(1, gateway.countActions("send"), "after " + result);
            assertTrue(gateway.hasAction("fail " + id), "after " + result);
        }
    }

    @Test
    void retriesUnsafeWriteThatNeverRan() {
        long id = gateway.request(WRITE);
        gateway.outcome(id, 0, 1, Result.CONNECT_FAILED);
        assertEquals(2, gateway.countActions("send"));
        assertFalse(gateway.hasAction("fail " + id));
    }

    @Test
    void retriesKeyedWriteOnlyWithinRepeatWindow() {
        gateway = start(Idempotency.KEYED, DeduplicationScope.GROUP);
        long early = gateway.request(WRITE);
        long late = gateway.request(WRITE);
        gateway.now += 500 * NANOS_PER_MILLI;
        gateway.outcome(early, 0, 1, Result.ERROR);
        assertEquals(3, gateway.countActions("send"));
        gateway.now += 490 * NANOS_PER_MILLI;
        gateway.outcome(late, 0, 1, Result.ERROR);
        assertEquals(3, gateway.countActions("send"));
        assertTrue(gateway.hasAction("fail " + late));
    }

    @Test
    void refusesKeyedWriteThatMayHaveRunIfAllServersDropRepeats() {
        gateway = start(Idempotency.KEYED, DeduplicationScope.ALL);
        long id = gateway.request(WRITE);
        gateway.now += 1500 * NANOS_PER_MILLI;
        gateway.outcome(id, 0, 1, Result.ERROR);
        assertTrue(gateway.hasAction("refuse " + id));
    }

    // Rule 3: draining servers get no further requests.

    @Test
    void sendsNothingToDrainingServer() {
        gateway.module.onServerList(
                gateway.now,
                Gateway.ListKind.DELTA,
                List.of(
                        new Gateway.ListEntry(2, 0, 0, 0, 1, 0, false, Gateway.ListedState.DRAINING),
                        new Gateway.ListEntry(1, 0, 0, 0, 1, 0, false, Gateway.ListedState.DRAINING)));
        gateway.now += 500 * NANOS_PER_MILLI;
        gateway.request(ANY);
        assertTrue(gateway.lastServer() >= 3, "went to " + gateway.lastServer());
        long write = gateway.request(WRITE);
        assertEquals(0, gateway.countActions("send " + write));
    }

    // Rule 4: cold servers are not overloaded.

    @Test
    void limitsRequestsToStartedServer() {
        gateway.module.onServerList(
                gateway.now,
                Gateway.ListKind.DELTA,
                List.of(new Gateway.ListEntry(2, 0, 0, 0, 1, gateway.now, false, Gateway.ListedState.READY)));
        for (int i = 0; i < 100; i++) {
            gateway.now += 10 * NANOS_PER_MILLI;
            gateway.serve(ANY);
        }
        long cold = gateway.sentTo.stream().filter(s -> s == 2).count();
        assertTrue(cold <= 15, cold + " of 100 sent to the cold server");
    }

    @Test
    void limitsRequestsToServerThatReturnsAfterConnectionFailures() {
        for (int i = 0; i < 2; i++) {
            long id = gateway.request(ANY);
            gateway.outcome(id, 0, 2, Result.CONNECT_FAILED);
        }
        gateway.advance(510);
        long trial = gateway.request(ANY);
        assertEquals(2, gateway.lastServer());
        gateway.outcome(trial, 0, 2, Result.OK);
        gateway.sentTo.clear();
        for (int i = 0; i < 50; i++) {
            gateway.serve(ANY);
        }
        long back = gateway.sentTo.stream().filter(s -> s == 2).count();
        assertTrue(back <= 2, back + " of 50 at once to a server that may just have started");
    }

    // Changes of the primary.

    @Test
    void searchesPrimaryByIdAfterMissesAndPausesAfterEachRound() {
        long id = gateway.request(WRITE);
        gateway.outcome(id, 0, 1, Result.MISS, Gateway.NO_POSITION, Role.REPLICA);
        for (int attempt = 1; attempt <= 4; attempt++) {
            gateway.advance(10);
            assertEquals(attempt, gateway.lastServer());
            if (attempt < 4) {
                gateway.outcome(id, attempt, attempt, Result.MISS, Gateway.NO_POSITION, Role.REPLICA);
            }
        }
        gateway.outcome(id, 4, 4, Result.MISS, Gateway.NO_POSITION, Role.REPLICA);
        gateway.advance(20);
        assertEquals(5, gateway.countActions("send"));
        gateway.advance(100);
        assertEquals(6, gateway.countActions("send"));
    }

    @Test
    void sendsHeldWriteToNewPrimaryOnceAnAnswerShowsIt() {
        long id = gateway.request(WRITE);
        gateway.outcome(id, 0, 1, Result.MISS, Gateway.NO_POSITION, Role.REPLICA);
        long read = gateway.request(ANY);
        gateway.outcome(read, 0, gateway.lastServer(), Result.OK, gateway.now, Role.PRIMARY);
        long primary = gateway.lastServer();
        gateway.advance(10);
        assertTrue(gateway.hasAction("send " + id + " to " + primary));
        assertEquals(2, gateway.countActions("send " + id));
    }

    // Health of servers.

    @Test
    void ejectsSilentServerAndRetriesItsReads() {
        for (int i = 0; i < 20; i++) {
            gateway.serve(ANY);
        }
        long[] stuck = {gateway.request(ANY), gateway.request(ANY)};
        assertEquals(2, gateway.lastServer());
        for (int i = 0; i < 60 && gateway.countActions("log server rests: silence,") == 0; i++) {
            gateway.advance(20);
            gateway.serve(WRITE);
        }
        assertTrue(gateway.countActions("log server rests: silence,") > 0);
        assertNotEquals(2, gateway.serve(ANY));
        gateway.advance(500);
        for (long id : stuck) {
            assertEquals(2, gateway.countActions("send " + id + " "), "request " + id);
        }
    }

    @Test
    void rarelyUsedReplicaIsNotBusyWithOneRequestInFlight() {
        for (int i = 0; i < 60; i++) {
            long id = gateway.request(ANY);
            gateway.now += 150 * NANOS_PER_MILLI;
            gateway.module.onAttemptEnded(
                    gateway.now, id, 0, 2, Result.OK, 150 * NANOS_PER_MILLI, true, gateway.now, Role.REPLICA, null);
        }
        gateway.request(ANY);
        gateway.request(ANY);
        assertEquals(2, gateway.lastServer());
    }

    @Test
    void doesNotRefuseReadWhileAnotherServerIsFastEnough() {
        for (int i = 0; i < 40; i++) {
            gateway.serve(ANY);
        }
        gateway.reportQueue(2, 30, 33);
        for (int i = 0; i < 20; i++) {
            gateway.request(ANY);
            assertNotEquals(2, gateway.lastServer());
        }
        assertEquals(0, gateway.countActions("refuse"));
    }

    @Test
    void acceptsReadsWhenServersAreSlowButHaveNoQueue() {
        gateway.reportQueue(2, 0, 1);
        for (int i = 0; i < 80; i++) {
            long id = gateway.request(ANY);
            gateway.now += 200 * NANOS_PER_MILLI; // half of the aim: more than a read of little worth may take
            long server = gateway.lastServer();
            gateway.module.onAttemptEnded(
                    gateway.now,
                    id,
                    0,
                    server,
                    Result.OK,
                    200 * NANOS_PER_MILLI,
                    true,
                    gateway.now,
                    server == 1 ? Role.PRIMARY : Role.REPLICA,
                    null);
        }
        assertEquals(0, gateway.countActions("refuse"));
    }

    /** Time spent in the queue of one server must not count as slowness of another one that reports no queue. */
    @Test
    void queueAtOneReplicaDoesNotRefuseReadThatAnotherCanServe() {
        for (int i = 0; i < 60; i++) {
            gateway.request(WRITE); // fills the primary
            long id = gateway.request(ANY);
            long server = gateway.lastServer();
            gateway.now += 20 * NANOS_PER_MILLI;
            gateway.module.onAttemptEnded(
                    gateway.now,
                    id,
                    0,
                    server,
                    Result.OK,
                    600 * NANOS_PER_MILLI,
                    true,
                    gateway.now,
                    Role.REPLICA,
                    new Gateway.Report(gateway.now, Role.REPLICA, 36, 42)); // 36 are queued and 6 in service
        }
        gateway.actions.clear();
        gateway.reportQueue(3, 0, 1);
        gateway.request(ANY);
        assertEquals(3, gateway.lastServer());
        assertEquals(0, gateway.countActions("refuse"));
    }

    /**
     * With many routers, each rarely hears from a server. An old report must not make the server look idle in a crowded
     * group.
     */
    @Test
    void assumesGroupQueueForServerWithOldReport() {
        gateway.reportQueue(2, 40, -1);
        for (int i = 0; i < 20; i++) {
            gateway.advance(50);
            gateway.reportQueue(1, 40, -1);
            gateway.reportQueue(3, 40, -1);
            gateway.reportQueue(4, 40, -1);
        }
        gateway.request(ANY);
        assertEquals(1, gateway.countActions("refuse"), "a report that is a second old counted as an empty queue");
    }

    /** Writes queue at the primary alone, mainly after a failover. This queue says nothing about the replicas. */
    @Test
    void queueAtPrimaryDoesNotRefuseReadsOfReplicasWithoutReport() {
        gateway.serve(WRITE); // shows the module which server is the primary
        for (int i = 0; i < 60; i++) {
            gateway.advance(50);
            gateway.reportQueue(1, 40, -1);
        }
        for (int i = 0; i < 3; i++) {
            gateway.request(ANY);
            assertNotEquals(1, gateway.lastServer());
        }
        assertEquals(0, gateway.countActions("refuse"));
    }

    /** A busy replica may report a hundred times within a moment. That is still the queue of one replica. */
    @Test
    void manyReportsOfOneBusyReplicaDoNotRefuseReadsOfOthers() {
        gateway.reportQueue(2, 0, 1);
        for (int i = 0; i < 100; i++) {
            gateway.now += NANOS_PER_MILLI;
            gateway.reportQueue(2, 40, 46);
        }
        gateway.request(ANY);
        assertNotEquals(2, gateway.lastServer());
        assertEquals(0, gateway.countActions("refuse"));
    }

    @Test
    void sendsWritesToPrimaryEjectedForErrors() {
        for (int i = 0; i < 4 && gateway.countActions("log server rests: errors,") == 0; i++) {
            gateway.outcome(gateway.request(WRITE), 0, 1, Result.ERROR);
        }
        assertTrue(gateway.countActions("log server rests: errors,") > 0);
        long id = gateway.request(WRITE);
        assertTrue(gateway.hasAction("send " + id + " to 1"));
    }

    @Test
    void probesServerOfOverdueReadAndRetriesAfterBadReport() {
        gateway = RecordingGateway.start(RecordingGateway.settings(
                Idempotency.UNSAFE, DeduplicationScope.GROUP, StalenessCheck.NONE, true, true, 2));
        long id = gateway.request(ANY);
        gateway.advance(240);
        assertEquals(1, gateway.countActions("probe 2"));
        gateway.reportQueue(2, 30, 33);
        gateway.advance(30);
        assertEquals(2, gateway.countActions("send " + id + " "));
        assertNotEquals(2, gateway.lastServer());
    }

    @Test
    void doesNotRetryOverdueReadAfterGoodReport() {
        gateway = RecordingGateway.start(RecordingGateway.settings(
                Idempotency.UNSAFE, DeduplicationScope.GROUP, StalenessCheck.NONE, true, true, 2));
        long id = gateway.request(ANY);
        gateway.advance(300);
        gateway.reportQueue(2, 0, 2);
        gateway.advance(60);
        assertEquals(1, gateway.countActions("send " + id + " "));
    }

    @Test
    void probesServerBeforeUseInImpairedZone() {
        gateway = RecordingGateway.start(RecordingGateway.settings(
                Idempotency.UNSAFE, DeduplicationScope.GROUP, StalenessCheck.NONE, true, true, 2));
        gateway.reportQueue(2, 0, 1);
        for (int i = 0; i < 3; i++) {
            gateway.request(ANY);
            gateway.advance(700);
            gateway.reportQueue(2, 0, 1);
        }
        gateway.advance(2000);
        long probes = gateway.countActions("probe 2");
        long id = gateway.request(ANY);
        assertEquals(0, gateway.countActions("send " + id + " to 2"));
        assertTrue(gateway.countActions("probe") > probes);
        gateway.reportQueue(2, 40, 43);
        gateway.advance(100);
        assertEquals(0, gateway.countActions("send " + id + " to 2"));
    }

    @Test
    void keepsDrainStateWhenOlderListContradicts() {
        updateServerOfOtherGroup(11, Gateway.ListedState.DRAINING);
        updateServerOfOtherGroup(11, Gateway.ListedState.READY);
        gateway.now += 600 * NANOS_PER_MILLI;
        gateway.module.onRequest(gateway.now, 9000, 5, 1, gateway.now + 2000 * NANOS_PER_MILLI, 0, false, ANY, 0);
        assertEquals(0, gateway.countActions("send 9000 "));
    }

    @Test
    void forgetsUnlistedServerAfterOneMinute() {
        updateServerOfOtherGroup(11, Gateway.ListedState.GONE);
        gateway.now += 61_000 * NANOS_PER_MILLI;
        gateway.module.onServerList(gateway.now, Gateway.ListKind.DELTA, List.of());
        gateway.module.onProbeEnded(gateway.now, 11, NANOS_PER_MILLI, Result.OK, null);
        updateServerOfOtherGroup(11, Gateway.ListedState.READY);
        gateway.module.onRequest(gateway.now, 9000, 5, 1, gateway.now + 2000 * NANOS_PER_MILLI, 0, false, ANY, 0);
        assertEquals(1, gateway.countActions("send 9000 to 11"));
    }

    @Test
    void manyGatewaysStayWithinBudgetOfColdServer() {
        int gateways = 50;
        long cold = 0;
        for (int g = 0; g < gateways; g++) {
            RecordingGateway one = RecordingGateway.start(
                    RecordingGateway.settings(
                            Idempotency.UNSAFE, DeduplicationScope.GROUP, StalenessCheck.NONE, true, false, gateways),
                    g);
            for (int i = 0; i < 40; i++) {
                one.advance(500);
                one.serve(ANY);
            }
            one.module.onServerList(
                    one.now,
                    Gateway.ListKind.DELTA,
                    List.of(new Gateway.ListEntry(2, 0, 0, 0, 1, one.now, false, Gateway.ListedState.READY)));
            one.sentTo.clear();
            for (int i = 0; i < 3; i++) {
                one.advance(500);
                one.serve(ANY);
            }
            cold += one.sentTo.stream().filter(s -> s == 2).count();
        }
        assertTrue(cold <= 20, cold + " of 150 in 1.5 s sent to a server that has just started");
    }

    @Test
    void usesEjectedServerOnlyAfterGoodReport() {
        gateway = RecordingGateway.start(RecordingGateway.settings(
                Idempotency.UNSAFE, DeduplicationScope.GROUP, StalenessCheck.NONE, true, true, 2));
        for (int i = 0; i < 2; i++) {
            gateway.outcome(gateway.request(ANY), 0, 2, Result.ERROR);
        }
        gateway.advance(600);
        assertNotEquals(2, gateway.serve(ANY));
        assertEquals(1, gateway.countActions("probe 2"));
        gateway.reportQueue(2, 0, 0);
        assertEquals(2, gateway.serve(ANY));
    }

    @Test
    void retriesWriteLaterAfterRefusalAsFull() {
        long id = gateway.request(WRITE);
        gateway.outcome(id, 0, 1, Result.FULL);
        assertEquals(1, gateway.countActions("send " + id + " "));
        gateway.advance(120);
        assertEquals(2, gateway.countActions("send " + id + " "));
    }

    @Test
    void doesNotEjectForSilenceWhenServerAnsweredOthers() {
        for (int i = 0; i < 20; i++) {
            gateway.serve(ANY);
        }
        for (int round = 0; round < 3; round++) {
            long stuck = gateway.request(ANY);
            gateway.advance(100);
            gateway.serve(ANY);
            gateway.advance(400);
            gateway.module.onClientLeft(gateway.now, stuck);
        }
        assertFalse(gateway.countActions("log server rests: silence,") > 0);
    }

    @Test
    void neitherEjectsNorCopiesForOneLongRequest() {
        for (int i = 0; i < 20; i++) {
            gateway.serve(ANY);
        }
        long id = gateway.request(ANY);
        for (int i = 0; i < 30; i++) {
            gateway.advance(20);
            gateway.serve(WRITE);
        }
        assertEquals(1, gateway.countActions("send " + id + " "));
        assertFalse(gateway.countActions("log server rests: silence,") > 0);
    }

    @Test
    void doublesEjectionDespiteGoodAnswerInBetween() {
        long[] rests = new long[2];
        for (int i = 0; i < 2; i++) {
            for (int attempt = 0; attempt < 2; attempt++) {
                long id = gateway.request(ANY);
                gateway.outcome(id, 0, 2, Result.ERROR);
                gateway.module.onClientLeft(gateway.now, id);
            }
            while (gateway.serve(ANY) != 2) {
                gateway.advance(10);
                rests[i] += 10;
            }
        }
        assertTrue(rests[1] > rests[0] + 300, rests[0] + " ms, then " + rests[1]);
    }

    @Test
    void ejectsAtMostHalfOfGroup() {
        for (int i = 0; i < 60; i++) {
            long id = gateway.request(ANY);
            gateway.outcome(id, 0, gateway.lastServer(), Result.ERROR);
            gateway.module.onClientLeft(gateway.now, id);
        }
        assertTrue(gateway.countActions("log server rests") <= 2);
        long id = gateway.request(ANY);
        assertEquals(1, gateway.countActions("send " + id + " "));
    }

    @Test
    void doesNotRepeatKeyedCopyOutsideWindowOfPendingAttempt() {
        gateway = start(Idempotency.KEYED, DeduplicationScope.GROUP);
        for (int i = 0; i < 20; i++) {
            gateway.serve(WRITE);
        }
        long first = gateway.request(WRITE);
        for (int i = 0; i < 2; i++) {
            gateway.module.onClientLeft(gateway.now, gateway.request(WRITE));
            long failed = gateway.request(WRITE);
            gateway.outcome(failed, 0, 1, Result.ERROR);
        }
        long read = gateway.request(ANY);
        gateway.outcome(read, 0, gateway.lastServer(), Result.OK, gateway.now, Role.PRIMARY);
        gateway.advance(400);
        long sends = gateway.countActions("send " + first + " ");
        assertEquals(2, sends, "no copy while its server is ejected");
        gateway.outcome(first, 0, 1, Result.MISS, Gateway.NO_POSITION, Role.REPLICA);
        gateway.now += 700 * NANOS_PER_MILLI;
        gateway.outcome(first, 1, gateway.lastServer(), Result.MISS, Gateway.NO_POSITION, Role.REPLICA);
        gateway.advance(300);
        assertEquals(sends, gateway.countActions("send " + first + " "));
    }

    @Test
    void ejectsServerAfterTwoErrors() {
        for (int i = 0; i < 2; i++) {
            long id = gateway.request(ANY);
            gateway.outcome(id, 0, 2, Result.ERROR);
            assertNotEquals(2, gateway.lastServer());
        }
        assertTrue(gateway.countActions("log server rests: errors,") > 0);
        gateway.request(ANY);
        assertNotEquals(2, gateway.lastServer());
    }

    @Test
    void judgesUnusedServerByLatencyOfGroup() {
        updateServerOfOtherGroup(11, Gateway.ListedState.READY);
        for (int i = 0; i < 301; i++) {
            gateway.advance(50);
            gateway.serve(SESSION);
            if (i % 10 == 0) {
                gateway.module.onRequest(
                        gateway.now, 9000 + i, 5, 1, gateway.now + 2000 * NANOS_PER_MILLI, 0, false, SESSION, 0);
                gateway.module.onAttemptEnded(
                        gateway.now,
                        9000 + i,
                        0,
                        11,
                        Result.OK,
                        1900 * NANOS_PER_MILLI,
                        true,
                        Gateway.NO_POSITION,
                        Role.UNKNOWN,
                        null);
            }
        }
        updateServerOfOtherGroup(11, Gateway.ListedState.GONE);
        updateServerOfOtherGroup(13, Gateway.ListedState.READY);
        gateway.module.onRequest(gateway.now, 9999, 5, 1, gateway.now + 2000 * NANOS_PER_MILLI, 0, false, ANY, 0);
        assertTrue(gateway.hasAction("refuse 9999"), "sent to a new member of a slow group");
        long id = gateway.request(ANY);
        assertEquals(1, gateway.countActions("send " + id + " "), "the other group is not slow");
    }

    private void updateServerOfOtherGroup(long server, Gateway.ListedState state) {
        gateway.module.onServerList(
                gateway.now,
                Gateway.ListKind.DELTA,
                List.of(new Gateway.ListEntry(server, 1, 0, 0, 1, 0, false, state)));
    }

    @Test
    void acceptsRequestsAgainAfterSharedSlowness() {
        for (int i = 0; i < 80; i++) {
            long id = gateway.request(ANY);
            if (gateway.hasAction("send " + id + " to " + gateway.lastServer())) {
                gateway.module.onAttemptEnded(
                        gateway.now,
                        id,
                        0,
                        gateway.lastServer(),
                        Result.OK,
                        1500 * NANOS_PER_MILLI,
                        true,
                        Gateway.NO_POSITION,
                        Role.UNKNOWN,
                        null);
            }
            gateway.advance(20);
        }
        long refused = gateway.request(ANY);
        assertTrue(gateway.hasAction("refuse " + refused));
        gateway.advance(4000);
        long served = gateway.request(ANY);
        assertEquals(1, gateway.countActions("send " + served + " "));
    }

    @Test
    void doesNotEjectForResetsOfAnsweringServers() {
        for (int i = 0; i < 300; i++) {
            long id = gateway.request(ANY);
            if (i % 4 < 2) {
                gateway.outcome(id, 0, gateway.lastServer(), Result.RESET);
                gateway.outcome(id, 1, gateway.lastServer(), Result.OK);
            } else {
                gateway.outcome(id, 0, gateway.lastServer(), Result.OK);
            }
            gateway.advance(10);
        }
        assertEquals(0, gateway.countActions("log server rests"));
    }

    @Test
    void growsBudgetsWhenAllServersAreCold() {
        for (long server = 1; server <= 4; server++) {
            gateway.module.onServerList(
                    gateway.now,
                    Gateway.ListKind.DELTA,
                    List.of(new Gateway.ListEntry(server, 0, 0, 0, 1, gateway.now, false, Gateway.ListedState.READY)));
        }
        for (int i = 0; i < 400; i++) {
            long id = gateway.request(ANY);
            if (gateway.hasAction("send " + id + " to " + (gateway.sentTo.isEmpty() ? 0 : gateway.lastServer()))) {
                gateway.outcome(id, 0, gateway.lastServer(), Result.OK);
            }
            gateway.advance(10);
        }
        assertTrue(gateway.sentTo.size() > 40, gateway.sentTo.size() + " of 400 reads sent at all");
    }

    @Test
    void keepsReadsLocalWithShortQueue() {
        gateway.reportQueue(2, 3, -1);
        gateway.request(ANY);
        assertEquals(2, gateway.lastServer());
        gateway.reportQueue(2, 12, -1);
        gateway.request(ANY);
        assertNotEquals(2, gateway.lastServer());
    }

    @Test
    void replacedServersDoNotReduceBudgetOfColdServer() {
        long fewer = countReadsToColdServer(0);
        assertTrue(fewer > 2, fewer + " reads to the cold server");
        gateway = start(Idempotency.UNSAFE, DeduplicationScope.GROUP);
        assertEquals((double) fewer, (double) countReadsToColdServer(40), 1.0);
    }

    private long countReadsToColdServer(int replaced) {
        for (int i = 0; i < replaced; i++) {
            for (Gateway.ListedState state : List.of(Gateway.ListedState.READY, Gateway.ListedState.GONE)) {
                gateway.module.onServerList(
                        gateway.now,
                        Gateway.ListKind.DELTA,
                        List.of(new Gateway.ListEntry(20 + i, 0, 0, 0, 1, 0, false, state)));
            }
        }
        gateway.module.onServerList(
                gateway.now,
                Gateway.ListKind.DELTA,
                List.of(new Gateway.ListEntry(2, 0, 0, 0, 1, gateway.now, false, Gateway.ListedState.READY)));
        for (int i = 0; i < 200; i++) {
            gateway.serve(ANY);
            gateway.advance(10);
        }
        return gateway.sentTo.stream().filter(s -> s == 2).count();
    }

    // The list of servers.

    @Test
    void watchesMovedListAtOnceAndResetsBackoff() {
        gateway = RecordingGateway.start(RecordingGateway.settingsWithListOnRequest());
        for (int i = 0; i < 5; i++) {
            gateway.module.onServerList(gateway.now, Gateway.ListKind.FAILED, List.of());
        }
        gateway.actions.clear();
        gateway.module.onDiscoveryMoved(gateway.now);
        assertTrue(gateway.hasAction("follow true"));
        gateway.module.onServerList(gateway.now, Gateway.ListKind.FAILED, List.of());
        gateway.actions.clear();
        gateway.advance(760);
        assertTrue(gateway.hasAction("follow true"), "the wait after a first failure");
    }

    @Test
    void retriesPushedListWithinDrainGraceAfterAnyNumberOfFailures() {
        for (int i = 0; i < 9; i++) {
            gateway.actions.clear();
            gateway.module.onServerList(gateway.now, Gateway.ListKind.FAILED, List.of());
            gateway.advance(250); // half of the grace
            assertTrue(gateway.hasAction("follow true"), "after " + (i + 1) + " failures");
        }
    }

    @Test
    void requestsListAgainAfterFailure() {
        gateway.module.onServerList(gateway.now, Gateway.ListKind.FAILED, List.of());
        gateway.module.onTimer(gateway.now + 800 * NANOS_PER_MILLI, Long.MIN_VALUE + 1);
        assertTrue(gateway.hasAction("follow true"));
    }

    // Determinism.

    @Test
    void isDeterministic() {
        assertEquals(actionsOfBusyDay(), actionsOfBusyDay());
    }

    private static List<String> actionsOfBusyDay() {
        RecordingGateway gateway = start(Idempotency.KEYED, DeduplicationScope.GROUP);
        List<Result> results = List.of(Result.values());
        for (int i = 0; i < 500; i++) {
            long id = gateway.request(i % 4, i % 13);
            if (gateway.hasAction("send " + id + " to " + gateway.lastServer())) {
                Result result = i * 7 % 3 == 0 ? results.get(i % results.size()) : Result.OK;
                gateway.outcome(id, 0, gateway.lastServer(), result, gateway.now, Role.UNKNOWN);
            }
            gateway.advance(10);
        }
        return gateway.actions;
    }
}
