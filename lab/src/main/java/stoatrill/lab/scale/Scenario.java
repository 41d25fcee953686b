package stoatrill.lab.scale;

import java.util.Locale;

/** What a scale test plays. */
public enum Scenario {
    /** Nothing changes. */
    REST("nothing changes"),
    /** One server drains. */
    DRAIN("one server drains"),
    /** A group's primary changes. */
    PRIMARY("another member of a group becomes its primary"),
    /** The servers of a rack are replaced at once. */
    RACK("40 servers are replaced at once"),
    /** A zone of routers and servers is lost, and comes back. */
    ZONE("a zone of routers and servers is lost and back"),
    /** All routers start at once without a list. */
    START("all routers start at once, without a list"),
    /** Discovery refuses every connection for a while, and comes back with a change. */
    OUTAGE("discovery is away and back with a drain"),
    /** A changed configuration: discovery moves, the one thing that SIGHUP changes today. */
    CHANGE("discovery moves, as SIGHUP has a router do");

    private final String title;

    Scenario(String title) {
        this.title = title;
    }

    /** What happens, in a few words. */
    public String title() {
        return title;
    }

    /** Its name on the command line. */
    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }
}
