package stoatrill.core;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks that no query is written to a draining server after its grace, for each way in which the news arrives. */
class DrainNotificationTest extends DrainNotificationHarness {
    @Override
    DrainNotificationHarness newHarness() {
        return new DrainNotificationTest();
    }

    @ParameterizedTest
    @CsvSource(textBlock = DISCOVERY_AND_GRACE_MILLIS)
    void keepsGraceOnAnOpenWatch(String discovery, long graceMillis) throws Exception {
        startRouter(discovery, graceMillis);
        advance(1_003);
        drainBothServers();
        assertNoLateSends();
    }

    @ParameterizedTest
    @CsvSource(textBlock = DISCOVERY_AND_GRACE_MILLIS)
    void keepsGraceAtAnyMomentAfterTheWatchFellSilent(String discovery, long graceMillis) throws Exception {
        runWithEach(discovery, graceMillis, range(24_000, 500), (harness, moment) -> {
            harness.drainAfterWatchFellSilent(moment);
            harness.advance(25_000);
        });
    }

    @ParameterizedTest
    @CsvSource(textBlock = "asked,250\nasked,500\nasked,1000\nasked,2000")
    void keepsGraceOnASilentWatchWithALongDiscoveryQueue(String discovery, long graceMillis) throws Exception {
        startRouter(discovery, graceMillis);
        drainAfterWatchFellSilent(300);
        queueMillis = isListOnRequest ? 1_900 : 1;
        advance(26_000);
        assertNoLateSends();
    }

    @ParameterizedTest
    @CsvSource(textBlock = DISCOVERY_AND_GRACE_MILLIS)
    void keepsGraceWhenSendsWaitLongForTheirConnections(String discovery, long graceMillis) throws Exception {
        connectMillis = 230;
        keepsGraceOnASilentWatchWithALongDiscoveryQueue(discovery, graceMillis);
    }

    @ParameterizedTest
    @CsvSource(textBlock = DISCOVERY_AND_GRACE_MILLIS)
    void keepsGraceWhenTheWatchFallsSilentTwice(String discovery, long graceMillis) throws Exception {
        startRouter(discovery, graceMillis);
        advance(503);
        silenceWatch();
        watchesToSilence = 1;
        advance(300);
        drainServer("r1");
        advance(23_000);
        drainServer("p");
        advance(26_000);
        assertNoLateSends();
    }

    /**
     * If the call after a silent watch is lost as well, a list on request arrives 2.5 s later or more; a grace of 2 s
     * is just long enough for that.
     */
    @ParameterizedTest
    @CsvSource(textBlock = "asked,2000\npushed,250\npushed,500\npushed,1000\npushed,2000")
    void keepsGraceWhenTheCallAfterASilentWatchIsLost(String discovery, long graceMillis) throws Exception {
        startRouter(discovery, graceMillis);
        drainAfterWatchFellSilent(300);
        loseCalls(1);
        advance(6_000);
        assertNoLateSends();
    }

    @ParameterizedTest
    @CsvSource(textBlock = DISCOVERY_AND_GRACE_MILLIS)
    void keepsGraceAtAnyMomentAfterTheWatchIsReset(String discovery, long graceMillis) throws Exception {
        runWithEach(discovery, graceMillis, range(1_000, 50), (harness, moment) -> {
            harness.advance(4_003);
            harness.resetConnection();
            harness.advance(moment);
            harness.drainBothServers();
            harness.advance(14_000);
        });
    }

    @ParameterizedTest
    @CsvSource(textBlock = DISCOVERY_AND_GRACE_MILLIS)
    void keepsGraceDuringAndAfterADiscoveryOutage(String discovery, long graceMillis) throws Exception {
        runWithEach(discovery, graceMillis, List.of(300, 2_000, 7_700, 31_000), (harness, outageMillis) -> {
            harness.advance(1_003);
            harness.setDown(true);
            harness.advance(outageMillis / 2);
            harness.drainServer("r1");
            harness.advance(outageMillis / 2);
            harness.setDown(false);
            harness.advance(400);
            harness.drainServer("p");
            harness.advance(16_000);
        });
    }

    /** However and however long calls fail, a drain after discovery's return is known 6 s later at the latest. */
    @ParameterizedTest
    @CsvSource(textBlock = "asked,250\nasked,500\nasked,1000\nasked,2000")
    void keepsGraceAfterAnOutageWithFailedCalls(String discovery, long graceMillis) throws Exception {
        for (String mode : List.of("refuses", "resets", "says half", "queues", "says nothing")) {
            runWithEach(discovery, graceMillis, List.of(1_000, 5_000, 8_300, 30_000), (harness, outageMillis) -> {
                harness.failureMode = mode;
                harness.advance(1_003);
                harness.setDown(true);
                harness.advance(outageMillis);
                harness.queueMillis = 1_500; // all other routers call when it returns as well
                harness.drainServer("r1");
                harness.setDown(false);
                harness.advance(300);
                harness.drainServer("p");
                harness.advance(12_000);
            });
        }
    }

    @ParameterizedTest
    @CsvSource(textBlock = DISCOVERY_AND_GRACE_MILLIS)
    void keepsGraceAfterAStartWithACachedList(String discovery, long graceMillis) throws Exception {
        drainBothServers();
        startRouter(discovery, graceMillis);
        if (!isListOnRequest) {
            notifiedAtByServer.replaceAll(
                    (uid, told) -> START_TIME - 500 * NANOS_PER_MILLI); // when the process was started
        }
        advance(20); // the router reports readiness after this time, when the first answer of an agent has arrived
        assertTrue(isListOnRequest || firstListAt < now);
        lateSends.clear();
        advance(5_000);
        assertNoLateSends();
    }

    @ParameterizedTest
    @CsvSource(textBlock = DISCOVERY_AND_GRACE_MILLIS)
    void keepsGraceAfterAMalformedOrTruncatedAnswer(String discovery, long graceMillis) throws Exception {
        runWithEach(
                discovery,
                graceMillis,
                List.of("[", "{\"rev\":7}", "\0\1", "{\"rev\":7,\"targets\":[{\"uid\":4}]}"),
                (harness, body) -> {
                    harness.drainWithLostNotification();
                    harness.reply("200 OK", body);
                    harness.advance(8_000);
                });
        String wholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n{ \"rev\": 6, \"targets\": [] }";
        runWithEach(discovery, graceMillis, range(wholeAnswer.length() - 1, 5), (harness, bytes) -> {
            harness.drainWithLostNotification();
            harness.client.received(
                    harness.now,
                    ByteBuffer.wrap(wholeAnswer.substring(0, bytes + 1).getBytes(StandardCharsets.US_ASCII)));
            if (bytes % 2 == 0) {
                harness.resetConnection();
            }
            harness.advance(8_000);
        });
    }

    @Test
    void sendsUploadsToALeavingPrimaryForHalfTheGraceIfTheNewsIsFresh() throws Exception {
        startRouter("asked", 2_000);
        advance(1_003);
        drainServer("p");
        advance(900);
        assertTrue(sentToLeavingCount > 20, "uploads to the leaving primary: " + sentToLeavingCount);
        assertNoLateSends();
    }

    @Test
    void limitsTheCallsWhileTheWatchStaysSilentOrDiscoveryIsDown() throws Exception {
        startRouter("asked", 2_000);
        watchesToSilence = 100;
        advance(300_000);
        // With this grace a watch waits at least 2.6 s, since a change missed by a silent one counts after 6 s.
        assertTrue(listCallCount <= 2 * 300 / 2.6, listCallCount + " calls in 300 s");
        listCallCount = 0;
        setDown(true);
        advance(60_000);
        assertTrue(listCallCount <= 40, listCallCount + " calls in 60 s of a discovery that is down");
    }
}
