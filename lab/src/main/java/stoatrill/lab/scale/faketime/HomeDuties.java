package stoatrill.lab.scale.faketime;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import stoatrill.homes.HomeAssignment;
import stoatrill.homes.HomeSettings;
import stoatrill.homes.Homes;

/**
 * How many of {@link DesignSize#GROUPS} groups the routers of one zone are home to.
 *
 * @param routers in the zone
 * @param homesPerGroup homes of a group in the zone
 * @param mean groups of a router on the mean
 * @param most groups of the router with most
 * @param mostFirst groups of the router that is the first home of most
 */
record HomeDuties(int routers, int homesPerGroup, double mean, int most, int mostFirst) {

    /** Counts the duties of a zone's routers by the real assignment. */
    static HomeDuties of(int routers, HomeSettings settings) {
        Set<String> names = IntStream.range(0, routers)
                .mapToObj(number -> "router" + number)
                .collect(Collectors.toSet());
        Set<Integer> groups = IntStream.range(0, DesignSize.GROUPS).boxed().collect(Collectors.toSet());
        Map<String, Integer> loads = new TreeMap<>();
        Map<String, Integer> firsts = new TreeMap<>();
        for (Homes homes : HomeAssignment.of(names, groups, settings).all()) {
            homes.routers().forEach(router -> loads.merge(router, 1, Integer::sum));
            homes.first().ifPresent(router -> firsts.merge(router, 1, Integer::sum));
        }
        int all = loads.values().stream().mapToInt(Integer::intValue).sum();
        int each = Math.min(settings.homesPerGroup(), routers);
        return new HomeDuties(routers, each, (double) all / routers, most(loads), most(firsts));
    }

    private static int most(Map<String, Integer> counts) {
        return counts.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    }

    /** The part of the statements that come to a router which is no home of their group. */
    double handedOn() {
        return 1 - (double) homesPerGroup / routers;
    }

    /** Statements a second through the busiest router: its own clients', and those handed to it. */
    double mostCarried() {
        double ofGroup = DesignSize.STATEMENTS_PER_ROUTER_AND_GROUP * (routers - homesPerGroup);
        return DesignSize.STATEMENTS_PER_ROUTER + most * ofGroup / homesPerGroup;
    }
}
