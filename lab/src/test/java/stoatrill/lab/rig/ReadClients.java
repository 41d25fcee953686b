package stoatrill.lab.rig;

import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/**
 * Clients that read through any of several routers and repeat a read that was not served after a fixed wait, each on
 * one connection. Any member of the group may serve their reads.
 */
final class ReadClients implements AutoCloseable {
    /** The clients' wait for an answer, and their wait before the next request. */
    private static final long ANSWER_MILLIS = 200;

    private static final long PAUSE_MILLIS = 50;

    private final Supplier<List<Integer>> ports;
    private final List<Thread> threads = new ArrayList<>();
    private final AtomicLong asked = new AtomicLong();
    private final AtomicLong served = new AtomicLong();
    private final AtomicInteger numbers = new AtomicInteger();
    private volatile String requestClass = "archive-read";
    private volatile boolean closed;

    /** {@code ports} gives the ports of the routers that are up. */
    ReadClients(Supplier<List<Integer>> ports) {
        this.ports = ports;
    }

    /** Starts so many more clients. */
    void add(int count) {
        for (int i = 0; i < count; i++) {
            int number = numbers.getAndIncrement();
            Thread thread = new Thread(() -> run(number), "read-client-" + number);
            thread.setDaemon(true);
            threads.add(thread);
            thread.start();
        }
    }

    /** Sets the class of the requests from now on; {@code archive-read} at first. */
    void use(String requestClass) {
        this.requestClass = requestClass;
    }

    /** The number of requests sent so far. */
    long asked() {
        return asked.get();
    }

    /** The number of requests served so far. */
    long served() {
        return served.get();
    }

    private void run(int number) {
        Connection connection = null;
        try {
            while (!closed) {
                connection = connection == null ? connect(number) : connection;
                if (connection != null && !read(connection, number)) {
                    close(connection);
                    connection = null;
                }
                Thread.sleep(PAUSE_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            close(connection);
        }
    }

    private Connection connect(int number) {
        List<Integer> up = ports.get();
        if (up.isEmpty()) {
            return null;
        }
        try {
            return DriverManager.getConnection("jdbc:postgresql://127.0.0.1:" + up.get(number % up.size())
                    + "/main?user=svc&preferQueryMode=simple&assumeMinServerVersion=15&sslmode=disable&connectTimeout=2"
                    + "&socketTimeout=6&tcpKeepAlive=false");
        } catch (SQLException e) {
            return null;
        }
    }

    /** Sends one read; false if the connection broke. */
    private boolean read(Connection connection, int number) {
        String sql = "SELECT v FROM records WHERE k = 'station-" + number + "' /* id=r" + asked.incrementAndGet()
                + ",c=" + requestClass + ",d=" + ANSWER_MILLIS + ",cluster=0 */";
        try (Statement statement = connection.createStatement()) {
            statement.execute(sql);
            served.incrementAndGet();
            return true;
        } catch (SQLException e) {
            return e.getSQLState() != null && !e.getSQLState().startsWith("08");
        }
    }

    private static void close(Connection connection) {
        try {
            if (connection != null) {
                connection.close();
            }
        } catch (SQLException e) {
            // it is of no more use either way
        }
    }

    @Override
    public void close() {
        closed = true;
        threads.forEach(Thread::interrupt);
    }
}
