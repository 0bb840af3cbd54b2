package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class LiveRoutersTest {
    private static final Set<String> NAMES = names(29);

    @Test
    void sharesAddUpToTheLimitWithMoreRoutersThanUnits() {
        for (int resource = 0; resource < 50; resource++) {
            assertThat(sumOfShares(NAMES, 12.8, "upstream-" + resource)).isEqualTo(12);
        }
    }

    @Test
    void sharesAddUpToTheLimitWithFewerRoutersThanUnits() {
        assertThat(sumOfShares(names(5), 12.8, "upstream")).isEqualTo(12);
    }

    /** A router is expected to get a unit for 12 of 29 resources, that is for 83 of 200. */
    @Test
    void remaindersOfDifferentResourcesGoToDifferentRouters() {
        long resourcesWithShare =
                IntStream.range(0, 200)
                        .filter(i -> new LiveRouters("entry-0", NAMES, 1).shareOf(12, "u" + i) > 0)
                        .count();
        assertThat(resourcesWithShare).isBetween(50L, 115L);
    }

    /** Each router decides by its own hash alone here, so the sum may exceed the limit of 12. */
    @Test
    void routersThatKnowOnlyThemselvesDivideByTheMinimumCount() {
        long sum =
                NAMES.stream()
                        .mapToLong(name -> new LiveRouters(name, Set.of(name), 29).shareOf(12, "u"))
                        .sum();
        assertThat(sum).isLessThanOrEqualTo(18);
    }

    @Test
    void routerThatIsNotListedCountsItself() {
        assertThat(new LiveRouters("new", names(3), 1).assumedCount()).isEqualTo(4);
    }

    private static int sumOfShares(Set<String> names, double limit, String resource) {
        return names.stream()
                .mapToInt(name -> new LiveRouters(name, names, 1).shareOf(limit, resource))
                .sum();
    }

    private static Set<String> names(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> "entry-" + i)
                .collect(Collectors.toUnmodifiableSet());
    }
}
