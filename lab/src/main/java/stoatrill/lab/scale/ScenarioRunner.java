package stoatrill.lab.scale;

import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import stoatrill.standins.fleet.DiscoveryReply;

/** Plays a scenario on a fleet of its own and measures it. Used by one thread. */
public final class ScenarioRunner {
    private static final long LONGEST_START = Duration.ofMinutes(2).toMillis();
    private static final long LONGEST_NEWS = Duration.ofMinutes(1).toMillis();
    private static final long POLL_MILLIS = 100;
    private static final int RACK = 40;
    private static final int GROUP = 3;
    private static final int ZONE = 0;

    /**
     * How long things last, in milliseconds.
     *
     * @param settle from when all routers have a list until the scenario begins
     * @param window how long costs are measured for, at least
     * @param outage how long discovery is away
     */
    public record Spans(long settle, long window, long outage) {
        /** Those of the reports. */
        public static final Spans USUAL = new Spans(6_000, 12_000, 30_000);
    }

    private final Sizes sizes;
    private final Spans spans;
    private final Path folder;
    private final double statements;
    private final List<Figure> figures = new ArrayList<>();

    /**
     * A runner for one scenario.
     *
     * @param statements modelled statements a second of each hollow router; the costs of {@link Scenario#REST} are
     *     measured without them
     * @param folder where the processes' logs go
     */
    public ScenarioRunner(Sizes sizes, Spans spans, double statements, Path folder) {
        this.sizes = sizes;
        this.spans = spans;
        this.statements = statements;
        this.folder = folder;
    }

    /** Starts a fleet, plays the scenario and ends the fleet. */
    public ScaleResult run(Scenario scenario) throws IOException {
        figures.clear();
        try (ScaleFleet fleet = new ScaleFleet(sizes, folder)) {
            fleet.startReal();
            begin(fleet);
            if (scenario != Scenario.REST) {
                fleet.tellHollow("statements " + statements);
            }
            play(scenario, fleet);
            figures.add(new Figure("router: broken invariants", "", (double) broken(fleet)));
        }
        return new ScaleResult(scenario, sizes, List.copyOf(figures));
    }

    private static long broken(ScaleFleet fleet) throws IOException {
        return fleet.hollowCounts().stream()
                .mapToLong(counts -> counts.brokenInvariants())
                .sum();
    }

    private void begin(ScaleFleet fleet) throws IOException {
        long at = fleet.start();
        awaitAllKnow(fleet, LONGEST_START);
        figures.addAll(Spread.of(fleet.known(), at).figures("first start, until a router has the list"));
        double heap = (double) (fleet.heap() - fleet.emptyHeap()) / sizes.routers();
        figures.add(new Figure("router: heap", "B", heap));
        pause(spans.settle());
        OperatingSystemMXBean machine = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        figures.add(new Figure("machine: load average", "", machine.getSystemLoadAverage()));
    }

    private void play(Scenario scenario, ScaleFleet fleet) throws IOException {
        switch (scenario) {
            case REST -> rest(fleet);
            case DRAIN -> change(fleet, "drain");
            case PRIMARY -> change(fleet, "primary " + GROUP);
            case RACK -> change(fleet, "replace " + Math.min(RACK, sizes.servers() / 2));
            case ZONE -> zone(fleet);
            case START -> start(fleet);
            case OUTAGE -> outage(fleet);
            case CHANGE -> move(fleet);
        }
    }

    private void rest(ScaleFleet fleet) throws IOException {
        measure(fleet, "", () -> {});
        if (statements > 0) {
            fleet.tellHollow("statements " + statements);
            pause(spans.settle());
            measure(fleet, "with statements, ", () -> {});
        }
    }

    private void change(ScaleFleet fleet, String change) throws IOException {
        fleet.plan(change);
        measure(fleet, "", () -> showAndAwait(fleet, "until a router knows"));
    }

    private void showAndAwait(ScaleFleet fleet, String name) throws IOException {
        DiscoveryReply.Shown shown = fleet.show();
        awaitAllKnow(fleet, LONGEST_NEWS);
        figures.addAll(Spread.of(fleet.known(), shown.atNanos()).figures(name));
        told(fleet, shown);
    }

    /** What discovery saw, which is the same for hollow and real routers: when it had written the change out. */
    private void told(ScaleFleet fleet, DiscoveryReply.Shown shown) throws IOException {
        List<DiscoveryReply.ToldCaller> callers = fleet.told(shown.version());
        List<String> real = fleet.realCallers();
        List<Long> hollowAt = callers.stream()
                .filter(caller -> !real.contains(caller.name()))
                .map(DiscoveryReply.ToldCaller::atNanos)
                .toList();
        List<Long> realAt = callers.stream()
                .filter(caller -> real.contains(caller.name()))
                .map(DiscoveryReply.ToldCaller::atNanos)
                .toList();
        Spread hollow = Spread.of(hollowAt, shown.atNanos());
        figures.add(new Figure("until discovery has told a hollow router, last", "s", hollow.last()));
        if (!real.isEmpty()) {
            Spread ofReal = Spread.of(realAt, shown.atNanos());
            figures.add(new Figure("until discovery has told a real router, last", "s", ofReal.last()));
            figures.add(new Figure("real routers told", "routers", realAt.size()));
        }
    }

    private void zone(ScaleFleet fleet) throws IOException {
        fleet.plan("zone-lost " + ZONE);
        measure(fleet, "zone lost, ", () -> {
            fleet.tellHollow("kill " + ZONE);
            DiscoveryReply.Shown shown = fleet.show();
            awaitAllKnow(fleet, LONGEST_NEWS);
            List<Long> others = ofZone(fleet.known(), false);
            figures.addAll(Spread.of(others, shown.atNanos()).figures("zone lost, until another router knows"));
        });
        fleet.plan("zone-back " + ZONE);
        measure(fleet, "zone back, ", () -> {
            DiscoveryReply.Shown shown = fleet.show();
            long at = fleet.start();
            awaitAllKnow(fleet, LONGEST_START);
            List<Long> known = fleet.known();
            figures.addAll(
                    Spread.of(ofZone(known, false), shown.atNanos()).figures("zone back, until another router knows"));
            figures.addAll(
                    Spread.of(ofZone(known, true), at).figures("zone back, until a router started has the list"));
        });
    }

    private List<Long> ofZone(List<Long> known, boolean inside) {
        List<Long> some = new ArrayList<>();
        for (int i = 0; i < known.size(); i++) {
            if ((i % sizes.zones() == ZONE) == inside) {
                some.add(known.get(i));
            }
        }
        return some;
    }

    private void start(ScaleFleet fleet) throws IOException {
        for (int zone = 0; zone < sizes.zones(); zone++) {
            fleet.tellHollow("kill " + zone);
        }
        measure(fleet, "", () -> {
            long at = fleet.start();
            awaitAllKnow(fleet, LONGEST_START);
            figures.addAll(Spread.of(fleet.known(), at).figures("until a router has the list"));
        });
    }

    private void outage(ScaleFleet fleet) throws IOException {
        fleet.plan("drain");
        measure(fleet, "away, ", () -> {
            fleet.discovery("away");
            pause(spans.outage());
        });
        measure(fleet, "back, ", () -> {
            fleet.discovery("back");
            showAndAwait(fleet, "until a router knows what came with the return");
        });
    }

    private void move(ScaleFleet fleet) throws IOException {
        int port = fleet.listen();
        fleet.tellHollow("await list");
        measure(fleet, "", () -> {
            long at = System.nanoTime();
            fleet.tellHollow("move " + port);
            awaitAllKnow(fleet, LONGEST_NEWS);
            figures.addAll(Spread.of(fleet.known(), at).figures("until a router has the list from the new place"));
        });
    }

    /** What is measured; it may fail as the processes' answers may. */
    private interface Step {
        void run() throws IOException;
    }

    /** Runs a step and measures the costs until the window is over and the step has ended. */
    private void measure(ScaleFleet fleet, String prefix, Step step) throws IOException {
        Snapshot before = Snapshot.take(fleet);
        long end = System.nanoTime() + Duration.ofMillis(spans.window()).toNanos();
        step.run();
        pause(Duration.ofNanos(Math.max(0, end - System.nanoTime())).toMillis());
        for (Figure figure : new Costs(before, Snapshot.take(fleet)).figures()) {
            figures.add(new Figure(prefix + figure.name(), figure.unit(), figure.value()));
        }
    }

    /** Waits until every hollow router that is up knows, or the time is over, which the figures then say. */
    private void awaitAllKnow(ScaleFleet fleet, long mostMillis) throws IOException {
        long end = System.nanoTime() + Duration.ofMillis(mostMillis).toNanos();
        while (fleet.missing() > 0 && System.nanoTime() < end) {
            pause(POLL_MILLIS);
        }
    }

    private static void pause(long millis) throws IOException {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }
}
