package stoatrill.lab.cli;

import java.io.PrintWriter;
import java.util.Locale;
import java.util.PriorityQueue;
import java.util.concurrent.Callable;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import stoatrill.cli.Commands;
import stoatrill.lab.sim.EventWheel;
import stoatrill.standins.model.Seeds;

/**
 * Holds the model's event queue against a plain sorted queue by the hold model (Jones, 1986): every event that is
 * taken adds one at a random distance, so that as many stay in the queue.
 */
@Command(
        name = "queue",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class,
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:all went well", "1:it failed", "2:wrong usage, or a file that can't be used"},
        description = "Measures the model's event queue against java.util.PriorityQueue, by events held.")
final class Queue implements Callable<Integer> {
    /** Most events of a deployment lie a few milliseconds ahead, a tenth of them up to some seconds. */
    private static final double NEAR = 5e6;

    private static final double FAR = 1.5e9;

    @Option(
            names = "--events",
            defaultValue = "3000000",
            paramLabel = "N",
            description = "events to run at each size (default: 3000000)")
    private int events;

    @Option(
            names = "--rounds",
            defaultValue = "5",
            paramLabel = "R",
            description = "rounds; the best counts (default: 5)")
    private int rounds;

    @Spec
    private CommandLine.Model.CommandSpec spec;

    private record Plain(long time, long order, Runnable action) implements Comparable<Plain> {
        @Override
        public int compareTo(Plain o) {
            return time != o.time ? Long.compare(time, o.time) : Long.compare(order, o.order);
        }
    }

    @Override
    public Integer call() {
        PrintWriter out = spec.commandLine().getOut();
        out.println("  events held   wheel ns/event   PriorityQueue ns/event");
        for (int held : new int[] {1_000, 10_000, 100_000, 1_000_000}) {
            double wheel = Double.MAX_VALUE;
            double plain = Double.MAX_VALUE;
            for (int r = 0; r < rounds; r++) {
                wheel = Math.min(wheel, wheel(held));
                plain = Math.min(plain, plain(held));
            }
            out.println(String.format(Locale.ROOT, "%13d %16.0f %24.0f", held, wheel, plain));
            out.flush();
        }
        return 0;
    }

    private static final class Gaps {
        private final UniformRandomProvider random = Seeds.source(1, "queue");
        private final ZigguratSampler.Exponential gaps = ZigguratSampler.Exponential.of(random);

        long next() {
            return (long) (gaps.sample() * (random.nextInt(10) == 0 ? FAR : NEAR));
        }
    }

    private double wheel(int held) {
        EventWheel wheel = new EventWheel(0);
        Gaps gaps = new Gaps();
        int[] left = {events};
        Runnable[] hold = new Runnable[1];
        hold[0] = () -> {
            if (left[0]-- > 0) {
                wheel.at(wheel.now() + gaps.next(), hold[0]);
            }
        };
        for (int i = 0; i < held; i++) {
            wheel.at(gaps.next(), hold[0]);
        }
        long before = System.nanoTime();
        while (left[0] > 0) {
            wheel.run(wheel.now() + 1_000_000_000L);
        }
        return (double) (System.nanoTime() - before) / events;
    }

    private double plain(int held) {
        PriorityQueue<Plain> queue = new PriorityQueue<>();
        Gaps gaps = new Gaps();
        int[] left = {events};
        Runnable hold = () -> left[0]--;
        long orders = 0;
        for (int i = 0; i < held; i++) {
            queue.add(new Plain(gaps.next(), orders++, hold));
        }
        long before = System.nanoTime();
        while (left[0] > 0) {
            Plain e = queue.poll();
            e.action().run();
            queue.add(new Plain(e.time() + gaps.next(), orders++, hold));
        }
        return (double) (System.nanoTime() - before) / events;
    }
}
