package stoatrill;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stoatrill.scenario.RouterProcessDriver;
import stoatrill.scenario.Scenario;

/** Rare conditions, tested over real connections to a router process. */
class RareConditionsTest extends RouterProcessDriver {
    /** Enough connections to fill the queue of a listener with a backlog of 1. */
    private static final int BACKLOG_FILLING_COUNT = 4;

    /**
     * Writes are in flight at a primary while it is demoted, and more arrive before the new primary is known. The
     * writes that did not run must be sent to the new primary, once each.
     */
    @Test
    void writesRejectedByDemotedPrimaryRunOnceOnNewPrimary() throws Exception {
        runScenario(CONNECTED + """
        d send startup
        d expect ready
        e send startup
        e expect ready
        f send startup
        f expect ready
        c send write 1
        p expect write 1
        d send write 2
        p expect write 2
        e send write 3
        p expect write 3
        p send role reader
        r1 send role writer
        p send to 1 error 25006
        r1 expect write 1
        f send write 4
        p send to 2 error 25006
        p send to 3 row kept
        e expect row kept
        r1 expect nothing
        r1 send row one
        c expect row one
        r1 expect write *
        r1 expect write *
        r1 send to 2 row two
        d expect row two
        r1 send to 4 row four
        f expect row four
        c send write 5
        r1 expect write 5
        r1 send row five
        c expect row five
        r1 expect nothing
        r2 expect nothing
        p expect nothing
        """);
    }

    /** Discovery refuses connections: each of several starts must become ready and serve with the last known list. */
    @RepeatedTest(3)
    void startsWithLastKnownListWhenDiscoveryIsDown() throws Exception {
        String unreachable = "\"discovery\": \"127.0.0.1:1\"";
        runScenario(text -> text.replace("\"discovery\": \"127.0.0.1:9\"", unreachable), CONNECTED + """
        c send query ;
        c expect empty
        c send read 1
        r1 expect read 1
        r1 send row x
        c expect row x
        c send write 2
        p expect write 2
        p send row y
        c expect row y
        """);
    }

    /**
     * A query arrives in two parts. Wherever it is split, its request must start exactly once, when the last byte has
     * arrived, and never if the last byte does not arrive.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 4, 5, 40, 103})
    void startsSplitRequestOnceWithItsLastByte(int cut) throws Exception {
        runScenario(CONNECTED + """
        gone send startup
        gone expect ready
        reset send startup
        reset expect ready
        gone send first %1$d write 1
        reset send first %1$d write 2
        c send first %1$d write 3
        gone close
        reset reset
        d send startup
        d expect ready
        d send write 4
        p expect write 4
        p send row four
        d expect row four
        c send rest
        p expect write 3
        p send row three
        c expect row three
        p expect nothing
        """.formatted(cut).replace("reset reset", "reset send reset"));
    }

    /**
     * A connection to the primary is established late, but within the timeout. The write waits for it and runs once.
     */
    @Test
    void writeWaitsForSlowConnection() throws Exception {
        runScenario(
                text -> text.replace("\"connectTimeout\": 250000000", "\"connectTimeout\": 2500000000"),
                CONNECTED + """
        p send hold
        c send write 1
        p expect connect
        d send startup
        d expect ready
        d send read 2
        r1 expect read 2
        r1 send row x
        d expect row x
        p expect nothing
        p send welcome
        p expect write 1
        p send row y
        c expect row y
        p expect nothing
        """);
    }

    /**
     * The accept queue of the primary's listener is full, so the kernel drops the router's first SYN packet. The
     * connection is established when the packet is retransmitted, one second later.
     */
    @Test
    void writeWaitsForConnectionWhoseFirstPacketWasLost() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            List<SocketChannel> queued = new ArrayList<>();
            for (int i = 0; i < BACKLOG_FILLING_COUNT; i++) {
                SocketChannel channel = SocketChannel.open();
                channel.configureBlocking(false);
                channel.connect(listener.getLocalSocketAddress());
                queued.add(channel);
            }
            String primary = "\"p\", \"endpoint\": \"127.0.0.1:";
            runScenario(
                    text -> text.replace(primary + "9", primary + listener.getLocalPort())
                            .replace("\"connectTimeout\": 250000000", "\"connectTimeout\": 2500000000"),
                    CONNECTED + """
            c send write 1
            d send startup
            d expect ready
            d send read 2
            r1 expect read 2
            r1 send row x
            d expect row x
            p expect nothing
            """);
            accept(listener, "p");
            Scenario.run(this, """
            p expect write 1
            p send row y
            c expect row y
            p expect nothing
            """);
            for (SocketChannel channel : queued) {
                channel.close();
            }
        }
    }

    /** The first connection times out before it is established. The write is sent on a later one, once. */
    @Test
    void writeRunsOnceOnNextConnectionAfterConnectTimeout() throws Exception {
        runScenario(CONNECTED + """
        p send hold
        c send write 1
        p expect connect
        p expect connect
        p send welcome
        p expect write 1
        p send row y
        c expect row y
        c send write 2
        p expect write 2
        p send row z
        c expect row z
        p expect nothing
        """);
    }
}
