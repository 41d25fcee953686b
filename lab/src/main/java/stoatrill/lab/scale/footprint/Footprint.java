package stoatrill.lab.scale.footprint;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Runs one router after the other along an axis. Each run starts its own process, lets it settle, watches it at rest,
 * and only then has it collect its garbage. For one thread.
 */
public final class Footprint {
    private static final int ALL_SERVERS = 1_700;
    private static final Population FEW = Population.ofServers(100);
    private static final Population MANY = new Population(ALL_SERVERS, 280);
    private static final int HELD_WAIT_MILLIS = 30_000;
    private static final int DESIGN_RATE = 1_571;
    private static final int RATE_CLIENTS = 200;
    private static final Duration CLIENTS_WITHIN = Duration.ofSeconds(60);
    private static final Duration STATEMENTS_WITHIN = Duration.ofSeconds(20);
    private static final double SECOND_NANOS = 1e9;
    private static final double MICROS_A_MILLI = 1e3;

    private final Path dir;
    private final Duration settle;
    private final Duration rest;
    private final Consumer<String> progress;

    /**
     * Prepares to run.
     *
     * @param dir where configurations and logs of the routers go
     * @param settle how long a router is left alone before it is measured at rest; zero leaves that out
     * @param rest how long it is measured at rest; zero leaves figures at rest out
     * @param progress hears of each run that begins
     */
    public Footprint(Path dir, Duration settle, Duration rest, Consumer<String> progress) {
        this.dir = dir;
        this.settle = settle;
        this.rest = rest;
        this.progress = progress;
    }

    /**
     * Runs an axis.
     *
     * @param sizes one run each, in this order
     * @throws IOException if a router does not start or ends by itself
     */
    public Table run(Axis axis, List<Integer> sizes) throws IOException {
        List<Row> rows = new ArrayList<>();
        for (int size : sizes) {
            progress.accept(axis + " " + size);
            rows.add(new Row(size, figures(axis, size, dir.resolve(axis.name() + "-" + size + "-" + rows.size()))));
        }
        return new Table(axis.name().toLowerCase(Locale.ROOT), sizeLabel(axis), setting(axis), axis.designSize(), rows);
    }

    private static String sizeLabel(Axis axis) {
        return switch (axis) {
            case SERVERS -> "servers";
            case GROUPS -> "groups";
            case CLIENTS -> "clients at rest";
            case STATEMENTS -> "statements under way";
            case RATE -> "statements a second";
            case TOGETHER -> "clients in turn";
        };
    }

    private static String setting(Axis axis) {
        return switch (axis) {
            case SERVERS -> "Groups of six; one client. The configuration holds no list but where said.";
            case GROUPS -> ALL_SERVERS + " servers; one client. The configuration holds no list but where said.";
            case CLIENTS -> FEW.servers() + " servers; all clients connect at once and rest after an empty query.";
            case STATEMENTS -> ALL_SERVERS + " servers in " + MANY.groups() + " groups hold the answers to uploads.";
            case RATE ->
                ALL_SERVERS + " servers in " + MANY.groups() + " groups answer at once; " + RATE_CLIENTS
                        + " clients; of twenty statements one is an upload and ten are bounded reads.";
            case TOGETHER ->
                ALL_SERVERS + " servers in " + MANY.groups() + " groups answer at once; the clients send " + DESIGN_RATE
                        + " statements a second, mixed as by rate.";
        };
    }

    private Map<Figure, Double> figures(Axis axis, int size, Path at) throws IOException {
        return switch (axis) {
            case SERVERS -> population(Population.ofServers(size), at);
            case GROUPS -> population(new Population(ALL_SERVERS, size), at);
            case CLIENTS -> clients(size, at);
            case STATEMENTS -> underWay(size, at);
            case RATE -> rate(size, RATE_CLIENTS, at);
            case TOGETHER -> rate(DESIGN_RATE, size, at);
        };
    }

    private Map<Figure, Double> population(Population population, Path at) throws IOException {
        Map<Figure, Double> figures = new EnumMap<>(Figure.class);
        try (MeasuredRouter router = new MeasuredRouter(population, RouterConfig.socketsFor(1), false, at)) {
            MeasuredRouter.Start start = router.start();
            figures.put(Figure.START_MILLIS, start.millis());
            figures.put(Figure.START_PROCESSOR_MILLIS, (double) start.processorMillis());
            figures.put(Figure.START_BYTES, (double) start.bytesIn());
            figures.put(Figure.LIST_BYTES, (double) start.listBytes());
            router.crowd().rest(settle);
            figures.put(Figure.SETTLED_BYTES, (double) router.relay().fromTarget());
            atRest(router, figures);
            memory(router, figures);
            servers(router, figures);
        }
        knownStart(population, at.resolve("known"), figures);
        return figures;
    }

    private static void knownStart(Population population, Path at, Map<Figure, Double> figures) throws IOException {
        try (MeasuredRouter router = new MeasuredRouter(population, RouterConfig.socketsFor(1), true, at)) {
            MeasuredRouter.Start start = router.start();
            figures.put(Figure.KNOWN_START_MILLIS, start.millis());
            figures.put(Figure.KNOWN_START_PROCESSOR_MILLIS, (double) start.processorMillis());
            figures.put(Figure.KNOWN_START_BYTES, (double) start.bytesIn());
        }
    }

    private Map<Figure, Double> clients(int count, Path at) throws IOException {
        Map<Figure, Double> figures = new EnumMap<>(Figure.class);
        try (MeasuredRouter router = new MeasuredRouter(FEW, RouterConfig.socketsFor(count), true, at)) {
            router.crowd().rest(settle);
            long before = router.processor().millis();
            router.crowd().connect(count, CLIENTS_WITHIN);
            figures.put(
                    Figure.CROWD_PROCESSOR_MILLIS, (double) (router.processor().millis() - before));
            List<Double> waits = router.crowd().firstAnswerMillis();
            figures.put(Figure.CLIENTS_SERVED, (double) waits.size());
            figures.put(Figure.FIRST_ANSWER_P50, quantile(waits, 0.5));
            figures.put(Figure.FIRST_ANSWER_P99, quantile(waits, 0.99));
            figures.put(Figure.FIRST_ANSWER_LAST, quantile(waits, 1));
            router.crowd().rest(settle);
            atRest(router, figures);
            memory(router, figures);
            figures.put(Figure.CLIENTS_HELD, (double) router.crowd().open());
        }
        return figures;
    }

    private Map<Figure, Double> underWay(int count, Path at) throws IOException {
        Map<Figure, Double> figures = new EnumMap<>(Figure.class);
        try (MeasuredRouter router = new MeasuredRouter(MANY, sockets(count), true, at)) {
            ClientCrowd crowd = router.crowd();
            crowd.connect(count, CLIENTS_WITHIN);
            crowd.rest(settle);
            figures.put(Figure.IDLE_HEAP_KIB, kib(router.liveHeap()));
            figures.put(Figure.IDLE_RESIDENT_KIB, (double) router.memory().residentKib());
            router.farm().hold(true);
            StatementMix mix = new StatementMix(MANY.groups());
            long sent = 0;
            for (int i = 0; i < count; i++) {
                sent += crowd.send(mix.upload(HELD_WAIT_MILLIS)) ? 1 : 0;
            }
            long all = sent;
            crowd.until(() -> router.farm().statements() >= all, STATEMENTS_WITHIN);
            figures.put(Figure.SENT, (double) sent);
            figures.put(Figure.AT_SERVERS, (double) router.farm().statements());
            figures.put(Figure.UNANSWERED, (double) crowd.unanswered());
            memory(router, figures);
            figures.put(Figure.HEAP_ADDED_KIB, figures.get(Figure.HEAP_KIB) - figures.get(Figure.IDLE_HEAP_KIB));
            router.farm().hold(false);
            crowd.until(() -> crowd.unanswered() == 0, Duration.ofMillis(HELD_WAIT_MILLIS));
            answers(crowd.answers(), figures);
            servers(router, figures);
        }
        return figures;
    }

    private Map<Figure, Double> rate(int perSecond, int clients, Path at) throws IOException {
        Map<Figure, Double> figures = new EnumMap<>(Figure.class);
        try (MeasuredRouter router = new MeasuredRouter(MANY, sockets(clients), true, at)) {
            ClientCrowd crowd = router.crowd();
            crowd.connect(clients, CLIENTS_WITHIN);
            StatementMix mix = new StatementMix(MANY.groups());
            crowd.pace(mix, perSecond, settle);
            crowd.until(() -> crowd.unanswered() == 0, STATEMENTS_WITHIN);
            Answers before = crowd.answers();
            long probes = router.farm().probes();
            ProcessorTime used = router.processor();
            long began = System.nanoTime();
            long sent = crowd.pace(mix, perSecond, rest);
            double seconds = (System.nanoTime() - began) / SECOND_NANOS;
            double load = (router.processor().millis() - used.millis()) / seconds;
            figures.put(Figure.LOAD_PROCESSOR, load);
            crowd.until(() -> crowd.unanswered() == 0, STATEMENTS_WITHIN);
            figures.put(Figure.SENT, (double) sent);
            answers(crowd.answers().since(before), figures);
            figures.put(Figure.PROBES, (double) (router.farm().probes() - probes));
            figures.put(Figure.SERVER_CONNECTIONS, (double) router.farm().connections());
            figures.put(Figure.CLIENTS_HELD, (double) crowd.open());
            afterLoad(router, load, sent / seconds, figures);
            memory(router, figures);
        }
        return figures;
    }

    private void afterLoad(MeasuredRouter router, double load, double perSecond, Map<Figure, Double> figures)
            throws IOException {
        Map<Figure, Double> atRest = new EnumMap<>(Figure.class);
        router.crowd().rest(settle);
        atRest(router, atRest);
        Double resting = atRest.get(Figure.REST_PROCESSOR);
        if (resting != null) {
            figures.put(Figure.AFTER_LOAD_PROCESSOR, resting);
            figures.put(Figure.MICROS_A_STATEMENT, (load - resting) * MICROS_A_MILLI / perSecond);
        }
    }

    /** Enough descriptors for so many clients and a server's connection for each. */
    private static int sockets(int clients) {
        return RouterConfig.socketsFor(clients) + clients;
    }

    private void atRest(MeasuredRouter router, Map<Figure, Double> figures) throws IOException {
        if (rest.isZero()) {
            return;
        }
        long processor = router.processor().millis();
        long in = router.relay().fromTarget();
        long out = router.relay().toTarget();
        long began = System.nanoTime();
        router.crowd().rest(rest);
        double seconds = (System.nanoTime() - began) / SECOND_NANOS;
        figures.put(Figure.REST_PROCESSOR, (router.processor().millis() - processor) / seconds);
        figures.put(Figure.REST_BYTES_IN, (router.relay().fromTarget() - in) / seconds);
        figures.put(Figure.REST_BYTES_OUT, (router.relay().toTarget() - out) / seconds);
    }

    private static void memory(MeasuredRouter router, Map<Figure, Double> figures) throws IOException {
        ProcessMemory memory = router.memory();
        figures.put(Figure.RESIDENT_KIB, (double) memory.residentKib());
        figures.put(Figure.ANONYMOUS_KIB, (double) memory.anonymousKib());
        figures.put(Figure.HEAP_KIB, kib(router.liveHeap()));
        figures.put(Figure.RESIDENT_AFTER_KIB, (double) router.memory().residentKib());
    }

    private static void servers(MeasuredRouter router, Map<Figure, Double> figures) {
        figures.put(Figure.SERVER_CONNECTIONS, (double) router.farm().connections());
        figures.put(Figure.PROBES, (double) router.farm().probes());
    }

    private static void answers(Answers answers, Map<Figure, Double> figures) {
        figures.put(Figure.ANSWERED, (double) answers.rows());
        figures.put(Figure.REFUSED, (double) answers.refused());
        figures.put(Figure.FAILED, (double) answers.failed());
    }

    private static double kib(LiveHeap heap) {
        return heap.bytes() / 1024.0;
    }

    private static double quantile(List<Double> sorted, double share) {
        return sorted.isEmpty() ? Double.NaN : sorted.get((int) Math.ceil(share * sorted.size()) - 1);
    }
}
