package stoatrill.homes;

import java.util.List;
import java.util.Optional;

/**
 * The homes of one group in one zone.
 *
 * @param group the group's number
 * @param routers the names of its homes, without duplicates, the preferred one first; empty if the zone has no router
 */
public record Homes(int group, List<String> routers) {
    /** Makes an immutable copy of the list. */
    public Homes {
        routers = List.copyOf(routers);
    }

    /** Returns the preferred home, or empty if the zone has no router. */
    public Optional<String> first() {
        return routers.isEmpty() ? Optional.empty() : Optional.of(routers.get(0));
    }
}
