package stoatrill.lab.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.opentest4j.TestAbortedException;
import stoatrill.standins.model.Node;
import stoatrill.standins.net.Deployment;

/**
 * Servers that have just started are overloaded when the warm ones stop answering, since a router's part of their
 * budget then follows the demand. Real routers, servers and clients on loopback.
 */
@Timeout(180)
class SlowStartBudgetTest {
    private static final int ROUTERS_COUNT = 8;
    private static final int NODES_COUNT = 8;
    private static final List<Integer> COLD = List.of(5, 6, 7);
    private static final List<Integer> WARM = List.of(0, 1, 2, 3, 4);
    private static final int CLIENTS_COUNT = 40;
    private static final int FURTHER_CLIENTS_COUNT = 360;
    private static final int READS_BEFORE_COUNT = 2000;
    private static final int READS_WHILE_PAUSED_COUNT = 200;
    private static final int READS_AFTER_COUNT = 10_000;
    private static final long NOTICE_NANOS = 50_000_000L;

    /** A node takes 100 such reads a second; one that has just started bears 120 in a second. */
    private static final Map<String, Double> WORK = Map.of("archive-read", 40e6, "recent-read", 5e6);

    /** Light reads: so many clients send a hundred a second to each router and more. */
    private static final int LIGHT_CLIENTS_COUNT = 200;

    private static final int LIGHT_READS_COUNT = 20_000;

    private static final String USUAL_CLASS = "\"aim\":150000000,\"giveUp\":500000000,\"gain\":1.0";

    /** With the highest worth and a longer aim, reads are refused late, so that the budget alone limits them. */
    private static final String PATIENT_CLASS = "\"aim\":400000000,\"giveUp\":500000000,\"gain\":6.0";

    private static final long HOUR_NANOS = 3_600_000_000_000L;

    private final List<RouterProc> routers = new ArrayList<>();

    /** The faults of the routers' clocks, for the cases that step them. */
    private final List<CallFaults> clocks = new ArrayList<>();

    /** What happens beside the restart of servers and the loss of warm ones. */
    private enum Case {
        /** All warm servers end. */
        NO_WARM_SERVER_LEFT,
        /** One warm server goes on. */
        ONE_WARM_SERVER_LEFT,
        /** The routers start again and know cold servers alone. */
        ROUTERS_START_AGAIN,
        /** Half of the routers stand still (SIGSTOP) from the loss until the clients have come. */
        ROUTERS_PAUSE,
        /** The cold servers restart once more, just before the loss. */
        COLD_SERVERS_START_TWICE,
        /** The routers' wall clocks are stepped forward by an hour before the cold servers start. */
        WALL_CLOCKS_STEP_FORWARD,
        /** The routers' wall clocks are stepped back by an hour before the cold servers start. */
        WALL_CLOCKS_STEP_BACK,
        /** The warm servers answer light reads; the clients that come ask for heavy ones. */
        READS_GROW_HEAVIER
    }

    @ParameterizedTest
    @EnumSource
    void coldServersAreNotOverloadedOnceNoWarmOneAnswers(Case played, @TempDir Path dir) throws Exception {
        try (Deployment deployment = new Deployment(NODES_COUNT, NOTICE_NANOS, WORK, at -> at);
                ReadClients clients = new ReadClients(this::ports)) {
            startRouters(deployment, played, dir);
            readBefore(clients, played);
            clocks.forEach(
                    clock -> clock.stepWallClock(played == Case.WALL_CLOCKS_STEP_FORWARD ? HOUR_NANOS : -HOUR_NANOS));
            restartCold(deployment, 1);
            if (played == Case.COLD_SERVERS_START_TWICE) {
                restartCold(deployment, 2);
            }
            loseWarm(deployment, played);
            if (played == Case.ROUTERS_START_AGAIN) {
                routers.forEach(RouterProc::kill);
                startRouters(deployment, played, dir);
            }
            clients.use("archive-read");
            clients.add(FURTHER_CLIENTS_COUNT);
            if (played == Case.ROUTERS_PAUSE) {
                long paused = clients.asked();
                Wait.until(() -> clients.asked() >= paused + READS_WHILE_PAUSED_COUNT);
                signalHalf("CONT");
            }
            long asked = clients.asked();
            Wait.until(() -> clients.asked() >= asked + READS_AFTER_COUNT);
            checkCold(played, deployment.views());
        } finally {
            routers.forEach(RouterProc::kill);
        }
    }

    private static void readBefore(ReadClients clients, Case played) throws Exception {
        boolean isLight = played == Case.READS_GROW_HEAVIER;
        clients.use(isLight ? "recent-read" : "archive-read");
        clients.add(isLight ? LIGHT_CLIENTS_COUNT : CLIENTS_COUNT);
        Wait.until(() -> clients.served() >= (isLight ? LIGHT_READS_COUNT : READS_BEFORE_COUNT));
    }

    private static void checkCold(Case played, List<Deployment.View> nodes) {
        for (int node : COLD) {
            System.out.printf(
                    "%s: %s was sent %.2f of what tips it over%n",
                    played, nodes.get(node).name(), nodes.get(node).mostPressed());
        }
        for (int node : COLD) {
            assertEquals(Node.State.UP, nodes.get(node).state(), nodes.toString());
            assertTrue(nodes.get(node).mostPressed() < 1, nodes.toString());
            assertTrue(nodes.get(node).served() > 0, "no attempt was sent to it: the test shows nothing");
        }
    }

    /** Ends warm servers; returns once every router that runs knows that they are gone. */
    private void loseWarm(Deployment deployment, Case played) throws Exception {
        int lostCount = played == Case.ONE_WARM_SERVER_LEFT ? WARM.size() - 1 : WARM.size();
        if (played == Case.ROUTERS_PAUSE) {
            signalHalf("STOP");
        }
        for (int node : WARM.subList(0, lostCount)) {
            deployment.kill(node);
        }
        if (played != Case.ROUTERS_PAUSE) {
            int restarts = played == Case.COLD_SERVERS_START_TWICE ? 2 : 1;
            awaitLogged("listed GONE after READY", restarts * COLD.size() + lostCount);
        }
    }

    private void signalHalf(String signal) throws IOException {
        for (RouterProc router : routers.subList(0, ROUTERS_COUNT / 2)) {
            router.signal(signal);
        }
    }

    private List<Integer> ports() {
        synchronized (routers) {
            return routers.stream()
                    .filter(RouterProc::alive)
                    .map(RouterProc::port)
                    .filter(port -> port > 0)
                    .toList();
        }
    }

    private void startRouters(Deployment deployment, Case played, Path dir) throws IOException {
        boolean areClocksStepped = played == Case.WALL_CLOCKS_STEP_FORWARD || played == Case.WALL_CLOCKS_STEP_BACK;
        CallFaultLibrary library = areClocksStepped ? buildLibrary(dir) : null;
        RunLine run = RunLine.find(Path.of(""));
        List<RouterProc> started = new ArrayList<>();
        for (int i = 0; i < ROUTERS_COUNT; i++) {
            String name = "router" + i;
            String text = deployment
                    .config(name, i % 2 == 0 ? "mona" : "papine", "127.0.0.1:0", ROUTERS_COUNT)
                    .replace(USUAL_CLASS, PATIENT_CLASS);
            assertTrue(text.contains(PATIENT_CLASS), text);
            Path config = Files.writeString(dir.resolve(name + ".json"), text);
            Path log = dir.resolve(name + "." + System.nanoTime() + ".log");
            started.add(new RouterProc(run, name, config, log, variables(library, name, dir), pid -> {}));
        }
        synchronized (routers) {
            routers.clear();
            routers.addAll(started);
        }
        for (RouterProc router : started) {
            router.await();
        }
    }

    private Map<String, String> variables(CallFaultLibrary library, String router, Path dir) throws IOException {
        if (library == null) {
            return Map.of();
        }
        CallFaults clock = new CallFaults(dir.resolve(router + ".calls"), 1);
        clocks.add(clock);
        return clock.environment(library);
    }

    private static CallFaultLibrary buildLibrary(Path dir) throws IOException {
        try {
            return CallFaultLibrary.build(dir);
        } catch (CallFaultLibrary.NoCompilerException e) {
            throw new TestAbortedException("no C compiler here", e);
        }
    }

    /** Restarts the nodes that are to be cold, for the given time; returns once every router knows of it. */
    private void restartCold(Deployment deployment, int time) throws Exception {
        for (int node : COLD) {
            deployment.kill(node);
        }
        awaitLogged("listed GONE after READY", time * COLD.size());
        for (int node : COLD) {
            deployment.start(node);
        }
        awaitLogged("listed READY after", time * COLD.size());
    }

    /** Waits until every router has logged so many lines with this text. */
    private void awaitLogged(String text, int count) throws Exception {
        for (RouterProc router : routers) {
            Wait.until(() -> router.logLines().stream()
                            .filter(line -> line.contains(text))
                            .count()
                    >= count);
        }
    }
}
