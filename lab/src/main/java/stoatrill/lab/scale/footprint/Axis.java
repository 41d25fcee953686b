package stoatrill.lab.scale.footprint;

import java.util.List;

/** What is varied, one at a time. */
public enum Axis {
    /** Servers, in groups of six. */
    SERVERS(List.of(100, 400, 1_700), 1_700),
    /** Groups that 1,700 servers form. */
    GROUPS(List.of(100, 280, 850), 280),
    /** Client connections at rest. */
    CLIENTS(List.of(1_000, 2_000, 4_000, 6_000), 5_786),
    /** Statements under way at once; designed for are 1,571 a second that each take a tenth of a second. */
    STATEMENTS(List.of(100, 400, 1_000), 157),
    /** Statements a second. */
    RATE(List.of(200, 500, 1_000, 1_600), 1_571),
    /** Clients that together send 1,571 statements a second, each one in its turn. */
    TOGETHER(List.of(2_000, 4_000, 6_000), 5_786);

    @SuppressWarnings("ImmutableEnumChecker") // a list made by List.of, which nothing can change
    private final List<Integer> sizes;

    private final int designSize;

    Axis(List<Integer> sizes, int designSize) {
        this.sizes = sizes;
        this.designSize = designSize;
    }

    /** The sizes that are run if none are given. */
    public List<Integer> sizes() {
        return sizes;
    }

    /** What one of 1,400 routers is designed for. */
    public int designSize() {
        return designSize;
    }
}
