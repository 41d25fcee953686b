import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A real router: a process started by the command {@code run} of the deploy file. */
final class Router implements AutoCloseable {
    private static final List<Router> STARTED = new CopyOnWriteArrayList<>();
    private final Process process;
    private final int port;
    final Path log;

    private Router(Process process, int port, Path log) {
        this.process = process;
        this.port = port;
        this.log = log;
        STARTED.add(this);
    }

    /** Ends the routers that this process has started. */
    static void closeAll() {
        STARTED.forEach(Router::close);
    }

    /** Starts a router with this configuration and waits until it answers the empty query. */
    static Router start(Path root, Path folder, String name, String discovery, String known, String settings)
            throws IOException, InterruptedException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*?)\"").matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("the deploy file has no run");
        }
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            port = free.getLocalPort();
        }
        Path config = folder.resolve(name + ".json");
        Files.writeString(
                config,
                "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"" + discovery
                        + "\",\"seed\":\"8c1f30d27a5be964\","
                        + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":" + known
                        + ",\"settings\":" + settings + "}");
        Path log = folder.resolve(name + ".log");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1)).directory(root.toFile());
        builder.environment().put("PROXY_CONFIG", config.toString());
        builder.environment().put("TMPDIR", folder.toString());
        builder.environment().remove("PROXY_NAME");
        builder.environment().remove("PROXY_LISTEN");
        builder.environment().remove("PROXY_DISCOVERY");
        builder.environment().remove("PROXY_CONTRACTS");
        builder.redirectErrorStream(true).redirectOutput(log.toFile());
        Router router = new Router(builder.start(), port, log);
        for (int tries = 0; tries < 300; tries++) {
            try (Client client = new Client(router.connect())) {
                client.send(Wire.query(""));
                if (client.readAnswer().isEmpty) {
                    return router;
                }
            } catch (IOException e) {
                Thread.sleep(100);
            }
            if (!router.process.isAlive()) {
                break;
            }
        }
        router.close();
        throw new IOException("the router did not become ready: " + Files.readString(log, StandardCharsets.UTF_8));
    }

    Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port);
        socket.setTcpNoDelay(true);
        return socket;
    }

    int port() {
        return port;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Sends the process a signal, by its id. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
    }

    @Override
    public void close() {
        process.destroy();
        try {
            if (!process.waitFor(100, TimeUnit.MILLISECONDS)) {
                process.destroyForcibly();
                process.waitFor(5, TimeUnit.SECONDS);
            }
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}
