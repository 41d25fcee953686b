package stoatrill.lab.up;

import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import stoatrill.standins.model.Seeds;

/** A modest load by the PostgreSQL driver: open-loop arrivals spread over a few clients, each with its connection. */
final class Load implements AutoCloseable {
    private static final int CLIENTS = 12;
    private static final int KEYS = 1000;
    private static final int TIMEOUT_SECONDS = 5;

    /** What came of the last second. */
    record Second(long served, long refused, long failed, double p50Millis, double p99Millis) {}

    private final Supplier<List<Integer>> ports;
    private final List<Thread> threads = new ArrayList<>();
    private final Recorder latency = new Recorder(3);
    private final AtomicLong served = new AtomicLong();
    private final AtomicLong refused = new AtomicLong();
    private final AtomicLong failed = new AtomicLong();
    private final AtomicLong ids = new AtomicLong(System.nanoTime());
    private volatile double rate;
    private volatile boolean closed;

    /** {@code rate} requests a second over the routers that listen at these ports. */
    Load(double rate, Supplier<List<Integer>> ports) {
        this.rate = rate;
        this.ports = ports;
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Thread thread = new Thread(() -> run(number), "client-" + i);
            thread.setDaemon(true);
            threads.add(thread);
            thread.start();
        }
    }

    void rate(double perSecond) {
        rate = perSecond;
    }

    double rate() {
        return rate;
    }

    /** What came since this was last asked. */
    Second second() {
        Histogram h = latency.getIntervalHistogram();
        return new Second(
                served.getAndSet(0),
                refused.getAndSet(0),
                failed.getAndSet(0),
                h.getValueAtPercentile(50) / 1e3,
                h.getValueAtPercentile(99) / 1e3);
    }

    private void run(int number) {
        UniformRandomProvider random = Seeds.source(number, "load");
        ZigguratSampler.Exponential gaps = ZigguratSampler.Exponential.of(random);
        Connection connection = null;
        long due = System.nanoTime();
        while (!closed) {
            due += (long) (gaps.sample() * 1e9 * CLIENTS / Math.max(0.1, rate));
            due = Math.max(due, System.nanoTime() - 1_000_000_000L); // a client that fell far behind starts anew
            try {
                long wait = due - System.nanoTime();
                if (wait > 0) {
                    java.util.concurrent.TimeUnit.NANOSECONDS.sleep(wait);
                }
                if (connection == null) {
                    connection = connect(random);
                }
                if (connection != null) {
                    ask(connection, random);
                    served.incrementAndGet();
                    latency.recordValue(Math.max(1, (System.nanoTime() - due) / 1000));
                }
            } catch (InterruptedException e) {
                break;
            } catch (SQLException e) {
                String state = e.getSQLState();
                ("53300".equals(state) ? refused : failed).incrementAndGet();
                if (state == null || state.startsWith("08") || state.startsWith("57")) {
                    close(connection);
                    connection = null;
                }
            }
        }
        close(connection);
    }

    private Connection connect(UniformRandomProvider random) throws SQLException {
        List<Integer> open = ports.get();
        if (open.isEmpty()) {
            failed.incrementAndGet();
            return null;
        }
        return DriverManager.getConnection("jdbc:postgresql://127.0.0.1:" + open.get(random.nextInt(open.size()))
                + "/main?user=svc&preferQueryMode=simple&assumeMinServerVersion=15&sslmode=disable&connectTimeout=2"
                + "&socketTimeout=" + TIMEOUT_SECONDS);
    }

    private void ask(Connection connection, UniformRandomProvider random) throws SQLException {
        double drawn = random.nextDouble();
        String key = "station-" + random.nextInt(KEYS);
        String id = Long.toString(ids.incrementAndGet(), 36);
        String sql = drawn < 0.06
                ? "INSERT INTO records (k, v) VALUES ('" + key + "', '" + random.nextInt(400) / 10.0
                        + "') RETURNING v /* id=" + id + ",c=reading-upload,d=3000,cluster=0 */"
                : "SELECT v FROM records WHERE k = '" + key + "' /* id=" + id
                        + (drawn < 0.54 ? ",c=recent-read,d=600" : ",c=archive-read,d=500") + ",cluster=0 */";
        try (Statement s = connection.createStatement();
                ResultSet r = s.executeQuery(sql)) {
            r.next();
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
        for (Thread t : threads) {
            try {
                t.join(1000);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
