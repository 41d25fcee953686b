package stoatrill.homes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class HomeAssignmentTest {
    private static final int GROUP_COUNT = 280;
    private static final int MAX_CHANGED_ROUTER_COUNT = 100;
    private static final List<Homes> EXPECTED_HOMES = List.of(
            new Homes(-1, List.of("d", "c")),
            new Homes(0, List.of("d", "b")),
            new Homes(1, List.of("b", "a")),
            new Homes(7, List.of("\u00e9", "a")),
            new Homes(Integer.MAX_VALUE, List.of("b", "c")));

    private static Set<String> routers(int count) {
        return routers(count, "router");
    }

    private static Set<String> routers(int count, String prefix) {
        return IntStream.range(0, count)
                .mapToObj(number -> prefix + number)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    private static Set<Integer> groups(int count) {
        return IntStream.range(0, count).boxed().collect(Collectors.toCollection(TreeSet::new));
    }

    private static HomeAssignment assign(Set<String> routers, int groups, HomeSettings settings) {
        return HomeAssignment.of(routers, groups(groups), settings);
    }

    private static Map<String, Integer> homeCounts(HomeAssignment homes) {
        return countByName(homes.all().stream().flatMap(each -> each.routers().stream()));
    }

    private static Map<String, Integer> firstHomeCounts(HomeAssignment homes) {
        return countByName(homes.all().stream().flatMap(each -> each.first().stream()));
    }

    private static Map<String, Integer> countByName(Stream<String> names) {
        Map<String, Integer> counts = new HashMap<>();
        names.forEach(name -> counts.merge(name, 1, Integer::sum));
        return counts;
    }

    private static int maxCount(Map<String, Integer> counts) {
        return counts.isEmpty() ? 0 : Collections.max(counts.values());
    }

    private static int ceil(double value) {
        return (int) Math.ceil(value);
    }

    /** Checks the invariants of every assignment. */
    private static void assertValid(HomeAssignment homes, Set<String> routers, int groups, HomeSettings settings) {
        int expectedHomes = Math.min(settings.homesPerGroup(), routers.size());
        assertEquals(groups, homes.all().size());
        for (Homes ofGroup : homes.all()) {
            assertEquals(expectedHomes, ofGroup.routers().size(), ofGroup.toString());
            assertEquals(expectedHomes, new HashSet<>(ofGroup.routers()).size(), ofGroup.toString());
            assertTrue(routers.containsAll(ofGroup.routers()), ofGroup.toString());
        }
        double mean = (double) groups / routers.size();
        assertTrue(maxCount(homeCounts(homes)) <= ceil(settings.loadFactor() * mean * expectedHomes));
        assertTrue(maxCount(firstHomeCounts(homes)) <= ceil(settings.loadFactor() * mean));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 7, 25, 100, 400})
    void noRouterExceedsItsBound(int routers) {
        assertValid(
                assign(routers(routers), GROUP_COUNT, HomeSettings.DEFAULT),
                routers(routers),
                GROUP_COUNT,
                HomeSettings.DEFAULT);
    }

    @Property(tries = 300)
    void everyAssignmentKeepsItsBounds(
            @ForAll @IntRange(min = 1, max = 40) int routers,
            @ForAll @IntRange(min = 1, max = 60) int groups,
            @ForAll @IntRange(min = 1, max = 5) int homesPerGroup,
            @ForAll @DoubleRange(min = 1, max = 3) double loadFactor,
            @ForAll @IntRange(max = 1_000) int prefix) {
        HomeSettings settings = new HomeSettings(homesPerGroup, loadFactor);
        Set<String> names = routers(routers, prefix + "-");
        assertValid(assign(names, groups, settings), names, groups, settings);
    }

    @Property(tries = 300)
    void keepsTightestBound(
            @ForAll @IntRange(min = 1, max = 8) int routers,
            @ForAll @IntRange(min = 1, max = 60) int groups,
            @ForAll @IntRange(min = 1, max = 8) int homesPerGroup,
            @ForAll @IntRange(max = 1_000) int prefix) {
        HomeSettings settings = new HomeSettings(homesPerGroup, 1);
        Set<String> names = routers(routers, prefix + "-");
        assertValid(assign(names, groups, settings), names, groups, settings);
    }

    @Property(tries = 100)
    void resultIsIndependentOfInputOrder(
            @ForAll @IntRange(min = 1, max = 40) int routers, @ForAll @LongRange(min = 0) long seed) {
        Random random = new Random(seed);
        List<String> names = new ArrayList<>(routers(routers));
        List<Integer> numbers = new ArrayList<>(groups(GROUP_COUNT));
        Collections.shuffle(names, random);
        Collections.shuffle(numbers, random);
        HomeAssignment shuffled =
                HomeAssignment.of(new LinkedHashSet<>(names), new LinkedHashSet<>(numbers), HomeSettings.DEFAULT);
        assertEquals(assign(routers(routers), GROUP_COUNT, HomeSettings.DEFAULT).all(), shuffled.all());
    }

    @Test
    void resultIsTheSameOnEveryMachine() {
        HomeAssignment homes = HomeAssignment.of(
                Set.of("a", "b", "c", "d", "\u00e9"), Set.of(-1, 0, 1, 7, Integer.MAX_VALUE), HomeSettings.DEFAULT);
        assertEquals(EXPECTED_HOMES, homes.all());
    }

    @Test
    void hasNoHomesWithoutRoutersOrForUnknownGroup() {
        Homes none = new Homes(3, List.of());
        assertEquals(none, assign(Set.of(), GROUP_COUNT, HomeSettings.DEFAULT).of(3));
        assertEquals(none, assign(routers(5), 3, HomeSettings.DEFAULT).of(3));
        assertEquals(Optional.empty(), none.first());
        assertEquals(List.of(), assign(routers(5), 0, HomeSettings.DEFAULT).all());
    }

    @Test
    void assignsLargeZone() {
        assertValid(assign(routers(1_024), 1_024, HomeSettings.DEFAULT), routers(1_024), 1_024, HomeSettings.DEFAULT);
    }

    @Test
    void refusesTooManyPairs() {
        Set<Integer> groups = groups(4_096);
        InvalidHomesException refused = assertThrows(
                InvalidHomesException.class, () -> HomeAssignment.of(routers(4_097), groups, HomeSettings.DEFAULT));
        assertEquals(InvalidHomesException.Problem.TOO_MANY_PAIRS, refused.problem());
        assertEquals("4097 routers times 4096 groups are above 16777216", refused.getMessage());
    }

    @ParameterizedTest
    @CsvSource({
        "0, 1.25, HOMES_PER_GROUP, 'homes per group are 0, not 1 to 1024'",
        "1025, 1.25, HOMES_PER_GROUP, 'homes per group are 1025, not 1 to 1024'",
        "2, 0.99, LOAD_FACTOR, 'the load factor is 0.99, not 1 to 1024.0'",
        "2, 1025, LOAD_FACTOR, 'the load factor is 1025.0, not 1 to 1024.0'",
        "2, NaN, LOAD_FACTOR, 'the load factor is NaN, not 1 to 1024.0'"
    })
    void refusesSettingsOutOfRange(
            int homesPerGroup, double loadFactor, InvalidHomesException.Problem problem, String message) {
        InvalidHomesException refused =
                assertThrows(InvalidHomesException.class, () -> new HomeSettings(homesPerGroup, loadFactor));
        assertEquals(problem, refused.problem());
        assertEquals(message, refused.getMessage());
    }

    /** Counts homes of groups without the changed router that only the first assignment has. */
    private static int homesMovedInOtherGroups(
            HomeAssignment withRouter, HomeAssignment withoutRouter, String changed) {
        int moved = 0;
        for (Homes before : withRouter.all()) {
            Set<String> missing = new HashSet<>(before.routers());
            if (!missing.contains(changed)) {
                missing.removeAll(withoutRouter.of(before.group()).routers());
                moved += missing.size();
            }
        }
        return moved;
    }

    private static int firstHomesMovedInOtherGroups(
            HomeAssignment withRouter, HomeAssignment withoutRouter, String changed) {
        return (int) withRouter.all().stream()
                .filter(before -> !before.routers().contains(changed))
                .filter(before ->
                        !before.first().equals(withoutRouter.of(before.group()).first()))
                .count();
    }

    /**
     * The sum of all capacities is the same before and after, so the capacities of the other routers change by the
     * changed router's capacity c in total, and that router had at most c assignments. Each of these 2 c changes moves
     * one assignment to a router with room, or displaces one from a full router, which then moves in turn. Measured
     * over all routers, a change moves 0 to 5.8 homes of other groups on average and 9 at worst, and at most c on
     * average at each size.
     */
    @ParameterizedTest
    @ValueSource(ints = {2, 3, 7, 14, 25, 58, 100, 400})
    void routerThatLeavesOrJoinsMovesFewOtherHomes(int routers) {
        Set<String> all = routers(routers);
        HomeAssignment withRouter = assign(all, GROUP_COUNT, HomeSettings.DEFAULT);
        int capacity = ceil(HomeSettings.DEFAULT.loadFactor() * 2 * GROUP_COUNT / routers);
        List<String> changing = all.stream().limit(MAX_CHANGED_ROUTER_COUNT).toList();
        int homesMoved = 0;
        int firstsMoved = 0;
        for (String changed : changing) {
            Set<String> remaining = new TreeSet<>(all);
            remaining.remove(changed);
            HomeAssignment withoutRouter = assign(remaining, GROUP_COUNT, HomeSettings.DEFAULT);
            int moved = homesMovedInOtherGroups(withRouter, withoutRouter, changed);
            assertTrue(moved <= 3 * capacity, moved + " homes moved with " + changed);
            homesMoved += moved;
            firstsMoved += firstHomesMovedInOtherGroups(withRouter, withoutRouter, changed);
        }
        assertTrue(homesMoved <= capacity * changing.size(), homesMoved + " homes moved in total");
        assertTrue(firstsMoved <= capacity * changing.size(), firstsMoved + " first homes moved in total");
    }
}
