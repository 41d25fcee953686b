package stoatrill.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import stoatrill.Gateway;
import stoatrill.config.Config;
import stoatrill.core.RequestGate.Ruling;
import stoatrill.scenario.Scenario;

/** Checks each rule of the request gate just before and at its limit. */
class RequestGateTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long START_TIME = 1_000_000 * NANOS_PER_MILLI;
    private static final long DEADLINE_TIME = START_TIME + 400 * NANOS_PER_MILLI;
    private static final long SEND_TIME = START_TIME + 10 * NANOS_PER_MILLI;

    private Gateway.Settings settings;
    private RequestGate gate;
    private Server replica;

    @BeforeEach
    void setUp() throws Exception {
        settings = Config.parse(Scenario.defaultConfig(), Map.of()).settings();
        gate = new RequestGate(settings);
        replica = new Server(1, new InetSocketAddress(InetAddress.getLoopbackAddress(), 9));
        replica.position = START_TIME;
    }

    private Request newRequest(String className) {
        Gateway.RequestClass requestClass = settings.classes().stream()
                .filter(c -> c.name().equals(className))
                .findFirst()
                .orElseThrow();
        ClientRequest clientRequest = new ClientRequest(
                "1", className, "a", 0, 400, 0, false, className.equals("upload"), wait -> new byte[0]);
        return new Request(1, 1, 1, clientRequest, requestClass, DEADLINE_TIME);
    }

    private Attempt newAttempt(Request request) {
        Attempt attempt = new Attempt(request, request.attempts.size(), replica, START_TIME);
        request.attempts.add(attempt);
        attempt.announcedWaitMillis = (DEADLINE_TIME - START_TIME) / NANOS_PER_MILLI;
        return attempt;
    }

    @Test
    void deniesBeginAndSendAfterTheRequestsEndOrDeadline() {
        Attempt attempt = newAttempt(newRequest("archive"));
        assertEquals(Ruling.ALLOWED, gate.checkBegin(attempt, DEADLINE_TIME - 1));
        assertEquals(Ruling.DEADLINE_PASSED, gate.checkBegin(attempt, DEADLINE_TIME));
        assertEquals(Ruling.ALLOWED, gate.checkSend(attempt, DEADLINE_TIME - 1));
        assertEquals(Ruling.DEADLINE_PASSED, gate.checkSend(attempt, DEADLINE_TIME));
        attempt.request.isOver = true;
        assertEquals(Ruling.REQUEST_OVER, gate.checkBegin(attempt, START_TIME));
        assertEquals(Ruling.REQUEST_OVER, gate.checkSend(attempt, START_TIME));
        assertEquals(Ruling.REQUEST_OVER, gate.checkLateSend(attempt, START_TIME, false));
    }

    @Test
    void deniesMoreAttemptsThanTheSettingsAllow() {
        Request request = newRequest("archive");
        for (int n = 0; n < settings.limits().maxAttempts(); n++) {
            assertEquals(Ruling.ALLOWED, gate.checkBegin(newAttempt(request), START_TIME));
        }
        assertEquals(Ruling.ATTEMPTS_SPENT, gate.checkBegin(newAttempt(request), START_TIME));
    }

    @Test
    void deniesADelayedBoundedReadIfTheDataIsTooOld() {
        Attempt attempt = newAttempt(newRequest("recent"));
        long bound = attempt.request.requestClass.maxStaleness();
        replica.position = SEND_TIME - bound;
        assertEquals(Ruling.ALLOWED, gate.checkSend(attempt, SEND_TIME));
        replica.position = SEND_TIME - bound - 1;
        assertEquals(Ruling.DATA_TOO_OLD, gate.checkSend(attempt, SEND_TIME));
        replica.role = Gateway.Role.PRIMARY;
        assertEquals(Ruling.ALLOWED, gate.checkSend(attempt, SEND_TIME));
    }

    @Test
    void deniesADelayedAttemptIfTheServerIsLeaving() {
        Attempt attempt = newAttempt(newRequest("archive"));
        replica.leavingSince = SEND_TIME - settings.rules().drainGrace() / 2;
        assertEquals(Ruling.SERVER_LEAVING, gate.checkSend(attempt, SEND_TIME));
        replica.leavingSince++;
        assertEquals(Ruling.ALLOWED, gate.checkSend(attempt, SEND_TIME));
    }

    @Test
    void deniesALateSendIfTheAnnouncedWaitIsTooLong() {
        Attempt attempt = newAttempt(newRequest("archive"));
        assertEquals(Ruling.ALLOWED, gate.checkLateSend(attempt, START_TIME + 100 * NANOS_PER_MILLI, false));
        assertEquals(Ruling.WAIT_TOLD_TOO_LONG, gate.checkLateSend(attempt, START_TIME + 101 * NANOS_PER_MILLI, false));
        assertEquals(
                Ruling.ALLOWED,
                gate.checkLateSend(attempt, START_TIME + 101 * NANOS_PER_MILLI, true),
                "the server is already reading it");
    }

    @Test
    void recordsAViolationForASendAgainstTheRules() {
        Attempt attempt = newAttempt(newRequest("archive"));
        gate.recordSent(attempt, START_TIME + 151 * NANOS_PER_MILLI);
        assertTrue(gate.violations().isEmpty(), "the process was paused for longer than it has to bear");
        assertEquals(Ruling.ALLOWED, gate.checkLateSend(attempt, START_TIME + 1 * NANOS_PER_MILLI, false));
        gate.recordSent(attempt, START_TIME + 150 * NANOS_PER_MILLI);
        assertTrue(gate.violations().isEmpty());
        assertThrows(AssertionError.class, () -> gate.recordSent(attempt, START_TIME + 151 * NANOS_PER_MILLI));
        attempt.announcedWaitMillis = 1;
        attempt.request.isOver = true;
        attempt.request.overAt = START_TIME;
        gate.recordSent(attempt, START_TIME + 100 * NANOS_PER_MILLI);
        assertThrows(AssertionError.class, () -> gate.recordSent(attempt, START_TIME + 101 * NANOS_PER_MILLI));
        assertEquals(Map.of(Ruling.WAIT_TOLD_TOO_LONG, 1L, Ruling.REQUEST_OVER, 1L), gate.violations());
    }

    @Test
    void deniesRefusingAnUploadThatMayHaveRunAndAnsweringTwice() {
        Attempt attempt = newAttempt(newRequest("upload"));
        Answer refused = new Answer.Refused(0);
        assertEquals(Ruling.ALLOWED, gate.checkAnswer(attempt.request, refused));
        attempt.state = Attempt.State.WRITTEN;
        assertEquals(Ruling.REFUSED_THOUGH_IT_MAY_HAVE_RUN, gate.checkAnswer(attempt.request, refused));
        assertEquals(Ruling.ALLOWED, gate.checkAnswer(attempt.request, new Answer.Failed("")));
        attempt.request.isOver = true;
        assertEquals(Ruling.ANSWERED_TWICE, gate.checkAnswer(attempt.request, new Answer.Failed("")));
    }

    @Test
    void deniesClosingAClientThatIsOwedAnAnswer() {
        assertEquals(Ruling.ALLOWED, gate.checkClose(0));
        assertEquals(Ruling.ANSWER_OWED, gate.checkClose(1));
    }
}
