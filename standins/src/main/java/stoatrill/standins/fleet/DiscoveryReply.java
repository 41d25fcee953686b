package stoatrill.standins.fleet;

import java.util.List;

/** What the process of discovery says to a command, as one line of JSON. */
public final class DiscoveryReply {
    private DiscoveryReply() {}

    /** A port that it listens on. */
    public record Listens(int port) {}

    /** A change of the list that is planned, which {@code show} shows. */
    public record Planned(List<Entry> entries) {}

    /** The planned change was shown: the version that has it, and when. */
    public record Shown(long version, long atNanos) {}

    /** An entry that changes: its name, its state then in the list's words, and whether it is a primary then. */
    public record Entry(String uid, String state, boolean primary) {}

    /** Something was done; {@code atNanos} is when. */
    public record Done(long atNanos) {}

    /** When each caller was first told of a version; callers that were not are left out. */
    public record Told(List<ToldCaller> callers) {}

    /** When a caller was told; nanoseconds of the machine's monotonic clock. */
    public record ToldCaller(String name, long atNanos) {}
}
