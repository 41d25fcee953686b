package stoatrill.lab.policy;

import java.util.function.BiFunction;
import stoatrill.Gateway;
import stoatrill.Gateway.Settings;

/** What takes the decisions of a router in the lab. */
public enum Policy {
    /** The real module. */
    DECIDE(null),
    /** All to the primary. */
    PRIMARY(AllToPrimary::new),
    /** Reads to any replica that is new enough, by chance. */
    RANDOM(RandomFit::new),
    /** Reads to the replica that is new enough and has the fewest of this router's requests in flight. */
    LEAST(LeastInFlight::new),
    /** Reads to the member that is really new enough and will really be done first: what no router can know. */
    TRUTH(SeesTruth::new);

    @SuppressWarnings("ImmutableEnumChecker") // a constructor reference, which has no state
    private final BiFunction<Gateway, Sight, Gateway.Events> maker;

    Policy(BiFunction<Gateway, Sight, Gateway.Events> maker) {
        this.maker = maker;
    }

    /** What a policy is made with; only {@link #TRUTH} looks at the truth. */
    public record Sight(Settings settings, long seed, Truth truth) {}

    /** What is really so of a server, by the number that the router gave it. */
    public interface Truth {
        /** When a request that is sent now would be answered, in nanoseconds; infinite if never. */
        double expected(long server, double work);

        /** Its true position in the log. */
        long position(long server);

        /** Whether it really is its group's primary. */
        boolean primary(long server);
    }

    /** A new instance for a router; not for {@link #DECIDE}, which the reducer makes by itself. */
    public Gateway.Events make(Gateway gateway, Sight sight) {
        return maker.apply(gateway, sight);
    }

    /** Whether the reducer makes it by itself. */
    public boolean own() {
        return maker == null;
    }
}
