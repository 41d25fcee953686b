package stoatrill.lab.flood;

/**
 * One disturbance of a {@link FloodSoak}; times in nanoseconds from its begin.
 *
 * @param beginsAt when it begins
 * @param spanNanos how long it lasts
 * @param disturbance what happens
 * @param clientCount how many clients take part, for those with clients
 */
public record FloodFault(long beginsAt, long spanNanos, Disturbance disturbance, int clientCount) {

    /** What happens to the router. */
    public sealed interface Disturbance {}

    /** Clients send one kind of message at full speed. */
    public record FloodOf(FloodKind kind) implements Disturbance {}

    /** Hundreds of clients are connected at once. */
    public record CrowdOf(CrowdKind kind) implements Disturbance {}

    /** The router's process stands still. */
    public record Pause() implements Disturbance {}

    /** The router is told several times to read its configuration anew. */
    public record HangUps() implements Disturbance {}

    /** A server answers nothing. */
    public record HangingNode(int node) implements Disturbance {}
}
