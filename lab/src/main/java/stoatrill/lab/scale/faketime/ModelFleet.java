package stoatrill.lab.scale.faketime;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import stoatrill.lab.sim.EventWheel;
import stoatrill.standins.model.Seeds;

/** Routers at rest before one discovery, on simulated time that begins at 0 s of the model. */
final class ModelFleet {
    static final long SECOND = 1_000_000_000L;
    private static final long START = ModelList.FIRST_VERSION * 1_000_000L;
    /** Watches wait 2.6 to 5.25 s, so routers that began within so long are spread as they would be. */
    private static final long BEGIN_WITHIN = 10 * SECOND;
    /** Until then all have begun and what their start cost is over. */
    static final long AT_REST = 40 * SECOND;

    private static final long STEP = 10_000_000L;

    final EventWheel time = new EventWheel(START);
    final ModelList list;
    final DiscoveryModel discovery;
    final List<ModelRouter> routers = new ArrayList<>();
    private final long seed;
    private long lives;

    /** A fleet at rest: all hold the first version of the list. */
    ModelFleet(int size, int servers, double callsPerSecond, long seed) {
        this.seed = seed;
        list = new ModelList(servers);
        discovery = new DiscoveryModel(time, list, callsPerSecond);
        UniformRandomProvider random = Seeds.source(seed, "begin");
        for (int i = 0; i < size; i++) {
            ModelRouter router = router(ModelList.FIRST_VERSION);
            routers.add(router);
            time.at(START + random.nextLong(BEGIN_WITHIN), router::start);
        }
        if (size > 0) {
            time.run(START + AT_REST);
        }
    }

    private ModelRouter router(long version) {
        return new ModelRouter(time, discovery, version, Seeds.number(seed, "router" + ++lives));
    }

    /** A router that starts now without a list. */
    ModelRouter startWithoutList(Runnable onList) {
        ModelRouter router = router(-1);
        router.onList(onList);
        router.start();
        return router;
    }

    /** Goes on for a span in nanoseconds. */
    void pass(long span) {
        time.run(time.now() + span);
    }

    /**
     * Goes on until all of these know a version.
     *
     * @return seconds until then; NaN if it took longer than {@code atMost} nanoseconds
     */
    double untilKnown(List<ModelRouter> all, long version, long atMost) {
        long from = time.now();
        while (time.now() - from < atMost) {
            if (all.stream().allMatch(router -> router.known() >= version)) {
                return (double) (time.now() - from) / SECOND;
            }
            pass(STEP);
        }
        return Double.NaN;
    }
}
