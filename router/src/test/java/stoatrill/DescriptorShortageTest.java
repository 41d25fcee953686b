package stoatrill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stoatrill.scenario.PgMessages.query;
import static stoatrill.scenario.PgMessages.startup;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import stoatrill.scenario.RouterProcessDriver;
import stoatrill.scenario.Scenario;

/** The process may open fewer descriptors than the router's configuration says. Tested over real connections. */
class DescriptorShortageTest extends RouterProcessDriver {
    private static final int ALLOWED_DESCRIPTOR_COUNT = 64;
    private static final int CLIENT_COUNT = 3;
    /** How many commands of a client the router reads in one turn. */
    private static final int WRITES_PER_CLIENT_COUNT = 32;

    /** Descriptors left free once all clients are connected. */
    private static final int FREE_DESCRIPTOR_COUNT = 6;

    private static final long TIMEOUT_NANOS = 20_000_000_000L;

    private static String withLimitsAboveAllowed(String config) {
        return config.replace("\"sockets\": 128", "\"sockets\": 1024").replace("\"mostHeld\": 5", "\"mostHeld\": 500");
    }

    /** Idle clients hold every descriptor. Some must be closed, so that a new client and discovery are reached. */
    @Test
    void closesIdleClientsWhenTheyHoldEveryDescriptor() throws Exception {
        allowedDescriptors = ALLOWED_DESCRIPTOR_COUNT;
        runScenario(DescriptorShortageTest::withLimitsAboveAllowed, CONNECTED + """
        c send write 1
        p expect write 1
        list expect GET /v1/servers?from=5&hold_ms=WAIT
        many send crowd 160 talking
        router expect accept failed*
        list close
        list expect GET /v1/servers?from=5&hold_ms=*
        list send {"rev":6,"all":false,"targets":[]}
        list expect GET /v1/servers?from=6&hold_ms=WAIT
        """ + OTHERS_ARE_SERVED);
    }

    /**
     * More writes arrive in one turn than there are descriptors for connections to the primary. The router is paused
     * while they are sent, so that it finds them all at once.
     */
    @Test
    void answersEachWriteOnceAndRunsNoneTwiceWithoutFreeDescriptors() throws Exception {
        allowedDescriptors = ALLOWED_DESCRIPTOR_COUNT;
        runScenario(DescriptorShortageTest::withLimitsAboveAllowed, """
        list expect GET /v1/servers?from=5&hold_ms=WAIT
        p send always x
        """);
        int idleClientCount = ALLOWED_DESCRIPTOR_COUNT - openDescriptors() - CLIENT_COUNT - FREE_DESCRIPTOR_COUNT;
        send("many", "crowd " + idleClientCount + " talking");
        awaitOpenDescriptors(ALLOWED_DESCRIPTOR_COUNT - CLIENT_COUNT - FREE_DESCRIPTOR_COUNT);
        send("router", "STOP");
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < CLIENT_COUNT; i++) {
            Socket client = connect();
            write(client, startup());
            for (int n = 0; n < WRITES_PER_CLIENT_COUNT; n++) {
                write(client, query(WRITE.formatted(i * WRITES_PER_CLIENT_COUNT + n)));
            }
            clients.add(client);
        }
        send("router", "CONT");
        int served = 0;
        for (Socket client : clients) {
            DataInputStream in = new DataInputStream(client.getInputStream());
            assertEquals("ready", readAnswer("client", in));
            for (int n = 0; n < WRITES_PER_CLIENT_COUNT; n++) {
                String answer = readAnswer("client", in);
                assertTrue(Set.of("row x", "error 53300", "error 58000").contains(answer), answer);
                served += answer.equals("row x") ? 1 : 0;
            }
        }
        List<String> executed = unexpectedMessagesOf("p");
        assertEquals(new HashSet<>(executed).size(), executed.size(), "a write ran twice: " + executed);
        assertTrue(executed.size() >= served, served + " served, " + executed.size() + " ran");
        assertTrue(served > FREE_DESCRIPTOR_COUNT, served + " served");
        List<String> logged = unexpectedMessagesOf("router");
        assertTrue(logged.stream().anyMatch(line -> line.startsWith("no descriptor is free")), logged.toString());
        assertTrue(
                logged.stream().noneMatch(line -> line.startsWith("server rests")),
                "the failure is attributed to the server: " + logged);
        // The router has recovered: it connects to discovery again and serves a new client.
        Scenario.run(this, """
        list close
        list expect GET /v1/servers?from=5&hold_ms=*
        list send {"rev":6,"all":false,"targets":[]}
        list expect GET /v1/servers?from=6&hold_ms=WAIT
        d send startup
        d expect ready
        d send write last
        d expect row x
        """);
    }

    private int openDescriptors() throws IOException {
        try (Stream<Path> open = Files.list(Path.of("/proc", Long.toString(router.pid()), "fd"))) {
            return Math.toIntExact(open.count());
        }
    }

    private void awaitOpenDescriptors(int wanted) throws IOException {
        long deadline = System.nanoTime() + TIMEOUT_NANOS;
        while (openDescriptors() < wanted) {
            assertTrue(System.nanoTime() < deadline, openDescriptors() + " descriptors are open, fewer than " + wanted);
            LockSupport.parkNanos(1_000_000);
        }
    }
}
