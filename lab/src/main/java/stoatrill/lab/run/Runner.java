package stoatrill.lab.run;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.BiConsumer;
import org.HdrHistogram.Histogram;
import stoatrill.lab.policy.Policy;
import stoatrill.lab.world.Plan;
import stoatrill.lab.world.World;

/** Plays days side by side; the results come in the same order however many run at once. */
public final class Runner {
    private static final double[] QUANTILES = {50, 75, 90, 95, 99, 99.9};

    /** How fast one day was played; {@code cpu} in seconds of one core, {@code heap} in bytes that it holds. */
    public record Speed(int routers, int nodes, int groups, long requests, double cpu, long heap) {}

    private Runner() {}

    /** Plays every policy on every seed; {@code progress} hears of days done and in all, from any thread. */
    public static Results play(
            Plan plan,
            List<Policy> policies,
            long firstSeed,
            int seeds,
            int threads,
            BiConsumer<Integer, Integer> progress)
            throws InterruptedException, ExecutionException {
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        try {
            List<Future<Results.Day>> futures = new ArrayList<>();
            int all = policies.size() * seeds;
            java.util.concurrent.atomic.AtomicInteger done = new java.util.concurrent.atomic.AtomicInteger();
            for (Policy policy : policies) {
                for (int i = 0; i < seeds; i++) {
                    long seed = firstSeed + i;
                    futures.add(pool.submit(() -> {
                        Results.Day day = day(plan, policy, seed);
                        progress.accept(done.incrementAndGet(), all);
                        return day;
                    }));
                }
            }
            Results results = new Results();
            for (Future<Results.Day> f : futures) {
                results.add(f.get());
            }
            return results;
        } finally {
            pool.shutdownNow();
        }
    }

    /** Plays one day in this thread. */
    public static Results.Day day(Plan plan, Policy policy, long seed) {
        World world = new World(plan, seed, policy);
        world.run();
        Map<String, double[]> quantiles = new LinkedHashMap<>();
        for (int i = 0; i < plan.kinds.size(); i++) {
            Histogram h = world.tally().latency[i];
            double[] values = new double[QUANTILES.length];
            for (int q = 0; q < QUANTILES.length; q++) {
                values[q] = h.getValueAtPercentile(QUANTILES[q]) / 1e3;
            }
            quantiles.put(plan.kinds.get(i).name(), values);
        }
        return new Results.Day(
                policy,
                seed,
                Results.figures(world),
                world.tally().asked,
                world.tally().earned,
                world.nodeLoad(),
                quantiles,
                List.copyOf(world.audit().first()));
    }

    static double[] quantiles() {
        return QUANTILES.clone();
    }

    /** Plays one day and measures the processor's time of this thread, and what the day holds at its end. */
    public static Speed speed(Plan plan, Policy policy, long seed) {
        long before = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        World world = new World(plan, seed, policy);
        world.run();
        double cpu = (ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - before) / 1e9;
        System.gc();
        long with = used();
        long requests = world.tally().requests;
        world = null;
        System.gc();
        return new Speed(plan.routers, plan.nodes, plan.groups, requests, cpu, Math.max(0, with - used()));
    }

    private static long used() {
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
