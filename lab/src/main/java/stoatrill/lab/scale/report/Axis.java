package stoatrill.lab.scale.report;

import java.util.List;
import java.util.Locale;
import stoatrill.lab.scale.Sizes;

/** What is varied from run to run, while all else stays. */
public enum Axis {
    /** Hollow routers, before the servers that are given. */
    ROUTERS(List.of(25, 50, 100, 200, 400, 800, 1_400)),
    /** Servers in the list, with as many groups as fit, before the routers that are given. */
    SERVERS(List.of(100, 400, 1_700));

    @SuppressWarnings("ImmutableEnumChecker") // a list made by List.of, which nothing can change
    private final List<Integer> steps;

    Axis(List<Integer> steps) {
        this.steps = steps;
    }

    /** Its name in reports and on the command line. */
    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** The sizes that are run if none are given. */
    public List<Integer> steps() {
        return steps;
    }

    /** The sizes of all runs: the base's, but along this axis each of the steps. */
    public List<Sizes> over(Sizes base, List<Integer> along) {
        return along.stream().map(step -> with(base, step)).toList();
    }

    private Sizes with(Sizes base, int step) {
        return this == ROUTERS
                ? Sizes.of(step, base.servers(), base.perProcess(), base.realRouters(), base.seed())
                : Sizes.of(base.routers(), step, base.perProcess(), base.realRouters(), base.seed());
    }

    /** The size of a run along this axis. */
    public int of(Sizes sizes) {
        return this == ROUTERS ? sizes.routers() : sizes.servers();
    }
}
