package stoatrill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stoatrill.scenario.PgMessages.row;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import stoatrill.scenario.RouterProcessDriver;

/**
 * Runs the router as a process and plays scenarios against it over loopback, with the actors of
 * {@link RouterProcessDriver}.
 */
class ServeScenarioTest extends RouterProcessDriver {
    @Test
    void routesReadsToLocalReplicaAndWritesToPrimaryAndReturnsValues() throws Exception {
        runScenario(CONNECTED + """
        c send query ;
        c expect empty
        c send read 1
        r1 expect read 1
        r1 send row hello
        c expect row hello
        c send write 2
        p expect write 2
        p send row stored
        c expect row stored
        """);
    }

    @Test
    void answersPipelinedRequestsInOrder() throws Exception {
        runScenario(CONNECTED + """
        c send read+write 1
        p expect write 10
        p send row second
        r1 expect read 1
        r1 send row first
        c expect row first
        c expect row second
        """);
    }

    @Test
    void retriesFailedReadOnAnotherServerButNotFailedWrite() throws Exception {
        runScenario(CONNECTED + """
        c send read 1
        r1 expect read 1
        r1 send error XX000
        r2 expect read 1
        r2 send row x
        c expect row x
        c send write 2
        p expect write 2
        p send error XX000
        c expect error 58000
        """);
    }

    @Test
    void failsWriteWithoutRetryWhenServerClosesConnection() throws Exception {
        runScenario(CONNECTED + """
        c send write 1
        p expect write 1
        p close
        c expect error 58000
        c send write 2
        p expect write 2
        p send row y
        c expect row y
        """);
    }

    @Test
    void answersMalformedInputWithSqlStateAndKeepsServing() throws Exception {
        runScenario("""
        a send hex 0000000804d2162f
        a expect byte N
        a send startup
        a expect ready
        a send query DELETE FROM records
        a expect error 0A000
        a send query SELECT 1
        a expect error 42601
        a send query SELECT 1 /* id=1,c=nosuch,d=5,cluster=0 */
        a expect error 22023
        a send query SELECT 1 /* id=1,c=archive,d=x,cluster=0 */
        a expect error 22023
        a send query INSERT 1 /* id=1,c=archive,d=5,cluster=0 */
        a expect error 22023
        a send query SELECT 1; DELETE FROM records /* id=1,c=archive,d=5,cluster=0 */
        a expect error 42601
        a send hex 50000000045300000004
        a expect error 0A000
        a send hex 51000fffff
        a expect fatal 54000
        a expect end
        b send hex 0000000900020000ff
        b expect fatal 0A000
        b expect end
        d send hex 00000002
        d expect fatal 08P01
        d expect end
        e send hex 0000000900030000ff
        e expect fatal 08P01
        e expect end
        c send startup
        c expect ready
        c send read 1
        r1 expect read 1
        r1 send row x
        c expect row x
        """);
    }

    @Test
    void rejectsInvalidRequestsWithoutForwardingThem() throws Exception {
        runScenario(CONNECTED + """
        c send read 1
        r1 expect read 1
        thief send startup
        thief expect ready
        thief send read 1
        thief expect error 22023
        thief send query SELECT 1 /* id=2,c=archive,d=0,cluster=0 */
        thief expect error 22023
        thief send query SELECT 1 /* id=2,c=archive,d=99999999,cluster=0 */
        thief expect error 22023
        thief send query SELECT 1 /* id=2,c=archive,d=500,cluster=9 */
        thief expect error 22023
        thief send query SELECT 1 /* id=,c=archive,d=500,cluster=0 */
        thief expect error 22023
        thief send query SELECT 1 /* c=archive,d=500,cluster=0 */
        thief expect error 42601
        r1 send row x
        c expect row x
        c send read 3
        r1 expect read 3
        """);
    }

    @Test
    void closesClientsWithIncompleteMessagesButNotIdleClients() throws Exception {
        runScenario("""
        mute send hex
        begun send hex 0000
        asker send startup
        asker expect ready
        asker send query ;
        asker expect empty
        half send startup
        half expect ready
        half send hex 510000010053
        late send startup
        late expect ready
        late send hex 51000000053b
        mute expect end
        begun expect fatal 08P01
        half expect fatal 08P01
        half expect end
        late expect fatal 08P01
        asker send query ;
        asker expect empty
        """);
    }

    @Test
    void deliversErrorToClientThatIsStillSending() throws Exception {
        runScenario(CONNECTED + """
        huge send startup
        huge expect ready
        huge send flood
        huge expect fatal 54000
        c send many 400
        c expect 400 errors 42601
        c send read 1
        r1 expect read 1
        r1 send row x
        c expect row x
        """);
    }

    @Test
    void sendsNoNewRequestsToDrainedServers() throws Exception {
        runScenario(CONNECTED + """
        list expect GET /v1/servers?from=5&hold_ms=WAIT
        list send {"rev":6,"all":false,"targets":[{"uid":"r1","endpoint":"127.0.0.1:9","az":"north",\
        "pod_group":0,"state":"Terminating"}]}
        list expect GET /v1/servers?from=6&hold_ms=WAIT
        c send read 1
        r2 expect read 1
        r2 send row x
        c expect row x
        """);
    }

    @Test
    void fetchesPushedListBeforeServingAndWatchesItAfterwards() throws Exception {
        runScenario(text -> text.replace("on_request", "pushed"), """
        c send startup
        c send read 1
        list expect GET /v1/servers?from=5&hold_ms=0
        list send {"rev":6,"all":false,"targets":[{"uid":"r1","endpoint":"127.0.0.1:9","az":"north",\
        "pod_group":0,"state":"Terminating"}]}
        list expect GET /v1/servers?from=6&hold_ms=WAIT
        c expect ready
        r2 expect read 1
        r2 send row x
        c expect row x
        list close
        list expect GET /v1/servers?from=6&hold_ms=0
        list send {"rev":6,"all":false,"targets":[]}
        list expect GET /v1/servers?from=6&hold_ms=WAIT
        """);
    }

    /**
     * No primary is known, so 64 writes of a client wait and its other writes stay unread. The client disconnects
     * before r1's answer shows that r1 is the primary. None of the client's further writes may then be forwarded.
     */
    @Test
    void dropsUnreadCommandsOfDisconnectedClient() throws Exception {
        runScenario(
                text -> text.replace("writer", "reader").replace("\"mostHeld\": 5", "\"mostHeld\": 500"),
                CONNECTED + """
        c send writes 90
        r1 expect write *
        c close
        d send startup
        d expect ready
        d send query SELECT 1
        d expect error 42601
        r1 send row x
        d send write 1000
        r2 expect write 1000
        r2 send row y
        d expect row y
        r1 expect nothing
        """);
    }

    @Test
    void processesCommandsBeyondOneReadBatchOnceReady() throws Exception {
        runScenario(text -> text.replace("\"targets\": [", "\"targets\": [], \"none\": ["), """
        c send startup
        c expect ready
        c send many 64 ;
        c send read 1
        list expect GET /v1/servers?from=5&hold_ms=WAIT
        list send {"rev":6,"all":true,"targets":[{"uid":"r1","endpoint":"@r1","az":"north",\
        "pod_group":0,"state":"Ready"}]}
        r1 expect read 1
        """);
    }

    /** The router is paused so that it reads a request and the client's disconnect in one turn of a late event loop. */
    @Test
    void doesNotForwardRequestReadTogetherWithDisconnect() throws Exception {
        runScenario(CONNECTED + """
        d send startup
        d expect ready
        d send read 1
        r1 expect read 1
        r1 send row x
        d expect row x
        router send STOP
        c send read 2
        c close
        late send startup
        late send read 3
        late close
        router send CONT
        d send query SELECT 1
        d expect error 42601
        d send read 4
        r1 expect read 4
        """);
    }

    /** The router is paused so that it reads the server's answer and the client's disconnect in one turn. */
    @Test
    void doesNotRetryAfterClientHasDisconnected() throws Exception {
        runScenario(CONNECTED + """
        c send read 1
        r1 expect read 1
        r1 send error XX000
        r2 expect read 1
        r2 send row x
        c expect row x
        c send read 2
        r1 expect read 2
        router send STOP
        r1 send error XX000
        c close
        router send CONT
        d send startup
        d expect ready
        d send read 3
        r1 expect read 3
        r1 send error XX000
        r2 expect read 3
        """);
    }

    @Test
    void cancelRequestEndsPendingStatementAndWrongKeyChangesNothing() throws Exception {
        runScenario(CONNECTED + """
        c send write 1
        p expect write 1
        thief send cancel nobody
        thief expect end
        d send startup
        d expect ready
        again send cancel d
        again expect end
        x send cancel c
        x expect end
        c expect error 57014
        c send write 2
        p expect write 2
        p send row y
        c expect row y
        y send cancel c
        y expect end
        c send read 3
        r1 expect read 3
        r1 send row z
        c expect row z
        """);
    }

    /**
     * SIGTERM is sent twice. The router is paused over the time at which it would close the listener, while connections
     * wait in the backlog.
     */
    @Test
    void acceptsBacklogBeforeClosingListenerOnSigterm() throws Exception {
        runScenario(
                text -> text.replace("\"giveUp\": 3000000000", "\"giveUp\": 500000000")
                        .replace(": 128", ": 512"),
                CONNECTED + """
        router send TERM
        router send TERM
        c send query SELECT v /* id=1,c=archive,d=4000,cluster=0 */
        r1 expect read 1
        r1 send row a
        c expect row a
        router send STOP
        many send crowd 130
        d send startup
        d send query SELECT v /* id=2,c=archive,d=4000,cluster=0 */
        router expect later 1200
        router send CONT
        d expect ready
        d expect error 53300
        c expect end
        d expect end
        c close
        d close
        many send leave
        shutdown expect shutdown
        router expect stopped; invariants broken: {}
        """);
    }

    /**
     * Idle clients use up all descriptors that they may use. The router must still reach discovery, a server and a new
     * client, and lose no request.
     */
    @ParameterizedTest
    @CsvSource({"64,64,''", "64,64,talking", "128,128,talking", "1024,1024,talking", "1024,64,''"})
    void servesOthersWhenIdleClientsReachDescriptorLimit(
            int configuredSockets, int descriptorLimit, String clientBehavior) throws Exception {
        allowedDescriptors = descriptorLimit;
        runScenario(
                text -> text.replace("\"sockets\": 128", "\"sockets\": " + configuredSockets),
                CONNECTED + """
        c send write 1
        p expect write 1
        list expect GET /v1/servers?from=5&hold_ms=WAIT
        many send crowd %d %s
        list close
        list expect GET /v1/servers?from=5&hold_ms=0
        list send {"rev":6,"all":false,"targets":[]}
        list expect GET /v1/servers?from=6&hold_ms=WAIT
        """.formatted(descriptorLimit + 100, clientBehavior) + OTHERS_ARE_SERVED);
    }

    /** 500 clients each send half of a message of 128 KiB. The router's heap is as small as in production. */
    @Test
    void servesOthersDespiteManyIncompleteMessages() throws Exception {
        runScenario(text -> text.replace("\"sockets\": 128", "\"sockets\": 1024"), CONNECTED + """
        c send write 1
        p expect write 1
        router send STOP
        many send crowd 500 begun
        router send CONT
        """ + OTHERS_ARE_SERVED);
    }

    /**
     * A write whose answer was received in part when its connection ended may have run, so the router must not send it
     * again, wherever the answer is cut off.
     */
    @Test
    void doesNotRetryWriteWhoseAnswerIsCutOffAtAnyByte() throws Exception {
        StringBuilder steps = new StringBuilder(CONNECTED);
        int rowLength = row("x").length;
        int roleLength = 5 + "server_role\0writer\0".length();
        for (int cut = 0; cut < rowLength + roleLength + 6; cut++) {
            boolean isComplete = cut == rowLength || cut == rowLength + roleLength;
            steps.append("c send write ")
                    .append(cut)
                    .append("\np expect write ")
                    .append(cut)
                    .append("\np send part ")
                    .append(cut)
                    .append("\nc expect ")
                    .append(isComplete ? "row x" : "error 58000")
                    .append("\nc send write ok")
                    .append(cut)
                    .append("\np expect write ok")
                    .append(cut)
                    .append("\np send row y\nc expect row y\n");
        }
        runScenario(steps.toString());
    }

    @Test
    void answersAcceptedRequestsBeforeExitOnSigterm() throws Exception {
        runScenario(CONNECTED + """
        idle send startup
        idle expect ready
        c send read 1
        r1 expect read 1
        u send startup
        u expect ready
        u send write 7
        p expect write 7
        router send TERM
        idle send read 2
        r1 expect read 2
        r1 send row on
        idle expect row on
        idle expect end
        c expect error 58000
        u expect error 58000
        shutdown expect shutdown
        router expect stopped; invariants broken: {}
        """);
    }

    /**
     * 64 writes wait for a primary, further writes and an incomplete message queue up behind them, and the
     * configuration is reloaded meanwhile.
     */
    @Test
    void answersPipelineInOrderOnSigtermDespiteIncompleteMessage() throws Exception {
        runScenario(
                text -> text.replace("writer", "reader").replace("\"mostHeld\": 5", "\"mostHeld\": 500"),
                CONNECTED + """
        c send writes 90
        c send hex 510000
        r1 expect write *
        router send HUP list2
        router send TERM
        c expect 64 errors 58000
        c expect 26 errors 53300
        router expect configuration read anew; discovery moves
        shutdown expect shutdown
        router expect stopped; invariants broken: {}
        c expect end
        """);
    }

    @Test
    void reloadOnSighupMovesDiscoveryKeepsRequestsAndIgnoresInvalidFile() throws Exception {
        runScenario(CONNECTED + """
        list expect GET /v1/servers?from=5&hold_ms=WAIT
        c send read 1
        r1 expect read 1
        router send HUP no configuration
        router expect the configuration is kept as it was
        router send HUP list2
        router expect configuration read anew; discovery moves
        list2 expect GET /v1/servers
        list2 send {"rev":2,"all":true,"targets":[{"uid":"r2","endpoint":"127.0.0.1:9","az":"south",\
        "pod_group":0,"state":"Ready"}]}
        list2 expect GET /v1/servers?from=2&hold_ms=WAIT
        router expect server 2 is p, missing from the list after READY
        router expect server 0 is r1, missing from the list after READY
        r1 send row x
        c expect row x
        router send HUP list2
        router expect configuration read anew; discovery stays
        router send HUP list
        router send TERM
        c expect end
        c close
        router expect configuration read anew; discovery moves
        shutdown expect shutdown
        router expect stopped; invariants broken: {}
        """);
    }

    @Test
    void usageAndConfigurationErrorsPrintOneLine() throws Exception {
        assertEquals("stoatrill: PROXY_CONFIG is not set", errorLineOf("serve"));
        assertEquals("stoatrill: Unmatched argument at index 0: 'nosuch'; see stoatrill --help", errorLineOf("nosuch"));
    }

    @Test
    void structuredLogsHaveOneObjectOrKeyValueRowPerLine() throws Exception {
        for (String format : new String[] {"json", "kv"}) {
            ProcessBuilder builder = new ProcessBuilder(
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-cp",
                    System.getProperty("java.class.path"),
                    "stoatrill.Main",
                    "serve",
                    "--log",
                    format);
            builder.environment().put("PROXY_CONFIG", "src/test/resources/config.json");
            router = builder.redirectErrorStream(true).start();
            String line = router.inputReader(StandardCharsets.UTF_8).readLine();
            router.destroyForcibly().waitFor();
            if (format.equals("json")) {
                com.google.gson.JsonObject entry =
                        com.google.gson.JsonParser.parseString(line).getAsJsonObject();
                assertEquals("t1", entry.getAsJsonObject("mdc").get("router").getAsString());
                assertTrue(entry.get("formattedMessage").getAsString().startsWith("t1 listens on"), line);
            } else {
                assertTrue(
                        line.matches("time=\\S+ level=INFO logger=EventLoop router=t1 message=\"t1 listens on .*\" *"),
                        line);
            }
        }
    }

    private String errorLineOf(String command) throws Exception {
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "stoatrill.Main",
                command);
        builder.environment().remove("PROXY_CONFIG");
        router = builder.redirectErrorStream(true).start();
        String output = new String(router.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertNotEquals(0, router.waitFor());
        return output.strip();
    }
}
