package stoatrill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assumptions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import stoatrill.standins.net.Deployment;

/** Simulated nodes behind a router process, used by third-party clients: the PostgreSQL JDBC driver and psql. */
@Timeout(60)
class RealClientsTest {
    private static final Pattern LISTENS = Pattern.compile("listens on /(127\\.0\\.0\\.1):(\\d+)");

    @TempDir
    private Path directory;

    private Deployment deployment;
    private Process router;
    private int port;
    private int nextId;
    private final BlockingQueue<String> logLines = new LinkedBlockingQueue<>();

    @BeforeEach
    void startDeploymentAndRouter() throws Exception {
        deployment = new Deployment(4, 50_000_000L);
        startRouter(null);
    }

    private void startRouter(String contracts) throws Exception {
        Path config =
                Files.writeString(directory.resolve("config.json"), deployment.config("t", "mona", "127.0.0.1:0"));
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "stoatrill.Main",
                "serve");
        builder.environment().put("PROXY_CONFIG", config.toString());
        if (contracts != null) {
            builder.environment()
                    .put(
                            "PROXY_CONTRACTS",
                            Files.writeString(directory.resolve("c.conf"), contracts)
                                    .toString());
        }
        router = builder.redirectErrorStream(true).start();
        BufferedReader log = router.inputReader(StandardCharsets.UTF_8);
        String line;
        port = 0;
        while (port == 0 && (line = log.readLine()) != null) {
            Matcher matcher = LISTENS.matcher(line);
            port = matcher.find() ? Integer.parseInt(matcher.group(2)) : 0;
        }
        assertTrue(port > 0, "the router does not listen");
        Thread logReader = new Thread(() -> log.lines().forEach(logLines::add));
        logReader.setDaemon(true);
        logReader.start();
    }

    @AfterEach
    void stopRouterAndDeployment() throws InterruptedException {
        router.destroyForcibly().waitFor();
        deployment.close();
    }

    private static Connection connect(InetSocketAddress address) throws SQLException {
        return connect(address, "svc", "");
    }

    private static Connection connect(InetSocketAddress address, String user, String extraParameters)
            throws SQLException {
        return DriverManager.getConnection("jdbc:postgresql://127.0.0.1:" + address.getPort() + "/main?user=" + user
                + extraParameters + "&preferQueryMode=simple&assumeMinServerVersion=15&sslmode=disable");
    }

    private InetSocketAddress routerAddress() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    private String comment(String requestClass, int deadlineMillis) {
        return " /* id=t" + nextId++ + ",c=" + requestClass + ",d=" + deadlineMillis + ",cluster=0 */";
    }

    private String read(Connection connection, String key, String requestClass) throws SQLException {
        try (Statement statement = connection.createStatement();
                ResultSet rows = statement.executeQuery(
                        "SELECT v FROM records WHERE k = '" + key + "'" + comment(requestClass, 500))) {
            assertTrue(rows.next());
            return new String(rows.getBytes(1), StandardCharsets.UTF_8);
        }
    }

    private String write(Connection connection, String key, String value) throws SQLException {
        try (Statement statement = connection.createStatement();
                ResultSet rows = statement.executeQuery("INSERT INTO records (k, v) VALUES ('" + key + "', '" + value
                        + "') RETURNING v" + comment("reading-upload", 3000))) {
            assertTrue(rows.next());
            return new String(rows.getBytes(1), StandardCharsets.UTF_8);
        }
    }

    private InetSocketAddress nodeAddress(boolean primary) throws IOException {
        return deployment.views().stream()
                .filter(v -> v.primary() == primary)
                .findFirst()
                .orElseThrow()
                .address();
    }

    @Test
    void postgresDriverReadsAndWritesOnSimulatedNode() throws Exception {
        try (Connection primary = connect(nodeAddress(true));
                Connection replica = connect(nodeAddress(false))) {
            assertEquals("reading k1", read(replica, "k1", "archive-read"));
            assertEquals("21.5", write(primary, "k1", "21.5"));
            assertEquals("21.5", read(primary, "k1", "archive-read"));
            SQLException refused = assertThrows(SQLException.class, () -> write(replica, "k1", "22"));
            assertEquals("25006", refused.getSQLState());
        }
    }

    @Test
    void thePostgresDriverReadsAndWritesThroughTheRouter() throws Exception {
        try (Connection connection = connect(routerAddress())) {
            assertEquals("reading k1", read(connection, "k1", "archive-read"));
            assertEquals("21.5", write(connection, "k1", "21.5"));
            long servedBefore = servedCount(false);
            for (int i = 0; i < 10; i++) {
                read(connection, "k1", "archive-read");
            }
            assertEquals(10, servedCount(false) - servedBefore, "archive reads served by replicas");
            assertEquals(
                    "0A000",
                    assertThrows(
                                    SQLException.class,
                                    () -> connection.createStatement().execute("DELETE FROM records"))
                            .getSQLState());
        }
    }

    @Test
    void enforcesEachTeamsContractAndKeepsItsUsageOverReload() throws Exception {
        router.destroyForcibly().waitFor();
        String contracts = """
                team uploaders {
                 rate 1000/s
                }
                team parish {
                 budget %d per 1h
                }
                team portal {
                 rate 1/h
                 burst 4
                }
                """;
        startRouter(String.format(contracts, 6)); // one of two routers, so it enforces half of each contract
        try (Connection uploaders = connect(routerAddress(), "anyone", "&ApplicationName=team:uploaders");
                Connection parish = connect(routerAddress(), "parish", "");
                Connection portal = connect(routerAddress(), "portal", "");
                Connection nobody = connect(routerAddress(), "nobody", "")) {
            for (int i = 0; i < 3; i++) {
                read(parish, "k", "archive-read");
            }
            SQLException refusal = assertThrows(SQLException.class, () -> read(parish, "k", "archive-read"));
            assertEquals("53300", refusal.getSQLState());
            assertTrue(refusal.getMessage().matches("(?s).*Detail: [1-9]\\d{0,3}\\D?.*"), refusal.getMessage());
            write(portal, "k", "1");
            write(portal, "k", "2");
            long servedBefore = servedCount(true);
            assertEquals(
                    "53300",
                    assertThrows(SQLException.class, () -> write(portal, "k", "3"))
                            .getSQLState());
            assertEquals(servedBefore, servedCount(true), "a refused upload reaches no node");
            for (int i = 0; i < 20; i++) {
                assertEquals(
                        "2",
                        read(uploaders, "k", "archive-read").equals("2") ? "2" : read(uploaders, "k", "recent-read"));
            }
            assertEquals(
                    "22023",
                    assertThrows(SQLException.class, () -> read(nobody, "k", "archive-read"))
                            .getSQLState());

            Files.writeString(directory.resolve("c.conf"), String.format(contracts, 8));
            logLines.clear();
            new ProcessBuilder("kill", "-HUP", Long.toString(router.pid()))
                    .start()
                    .waitFor();
            while (!logLines.take().contains("configuration read anew")) {
                // other lines
            }
            read(parish, "k", "archive-read");
            assertEquals(
                    "53300",
                    assertThrows(SQLException.class, () -> read(parish, "k", "archive-read"))
                            .getSQLState());
        }
    }

    private long servedCount(boolean primary) throws IOException {
        return deployment.views().stream()
                .filter(v -> v.primary() == primary)
                .mapToLong(Deployment.View::served)
                .sum();
    }

    @Test
    void servesReadsWhileReplicasAreDownAndWritesAfterFailover() throws Exception {
        try (Connection connection = connect(routerAddress())) {
            write(connection, "k", "1");
            List<Deployment.View> nodes = deployment.views();
            for (int i = 0; i < nodes.size(); i++) {
                if (nodes.get(i).primary() || nodes.get(i).zone().equals("papine")) {
                    deployment.kill(i);
                }
            }
            assertEquals("1", read(connection, "k", "archive-read"));
            SQLException lastError = null;
            String written = null;
            for (int tries = 0; tries < 200 && written == null; tries++) {
                try {
                    written = write(connection, "k", "2");
                } catch (SQLException e) {
                    lastError = e; // the group rejects writes until a replica is promoted
                }
            }
            assertEquals("2", written, String.valueOf(lastError));
            assertEquals("2", read(connection, "k", "recent-read"));
        }
    }

    @Test
    void psqlReadsOnSimulatedNodeAndThroughRouter() throws Exception {
        Assumptions.assumeTrue(Files.isExecutable(Path.of("/usr/bin/psql")), "psql is not installed here");
        assertEquals("reading k7", psql(nodeAddress(false).getPort(), "SELECT v FROM records WHERE k = 'k7'"));
        assertEquals("reading k7", psql(port, "SELECT v FROM records WHERE k = 'k7'" + comment("archive-read", 500)));
    }

    private static String psql(int port, String statement) throws Exception {
        List<String> command = new ArrayList<>(List.of(
                "/usr/bin/psql",
                "-X",
                "-A",
                "-t",
                "-h",
                "127.0.0.1",
                "-p",
                Integer.toString(port),
                "-U",
                "svc",
                "-d",
                "main",
                "-c",
                statement));
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        process.getOutputStream().close();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        return output.strip();
    }
}
