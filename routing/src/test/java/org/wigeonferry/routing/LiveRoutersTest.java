package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class LiveRoutersTest {
    private static final Set<String> MANY = names(29);

    @Test
    void partsOfOneLimitAddUpToItWithMoreEntriesThanUnits() {
        for (int thing = 0; thing < 50; thing++) {
            assertThat(sum(MANY, 12.8, "upstream-" + thing)).isEqualTo(12);
        }
    }

    @Test
    void partsOfOneLimitAddUpToItWithFewerEntriesThanUnits() {
        assertThat(sum(names(5), 12.8, "upstream")).isEqualTo(12);
    }

    @Test
    void differentThingsGoToDifferentEntries() {
        long owned =
                IntStream.range(0, 200)
                        .filter(i -> new LiveRouters("entry-0", MANY, 1).shareOf(12, "u" + i) > 0)
                        .count();
        assertThat(owned).isBetween(50L, 115L);
    }

    @Test
    void anEntryThatKnowsOfFewTakesNoMoreThanItsPartOfTheLeastNumber() {
        long taken =
                MANY.stream()
                        .mapToLong(own -> new LiveRouters(own, Set.of(own), 29).shareOf(12, "u"))
                        .sum();
        assertThat(taken).isLessThanOrEqualTo(18);
    }

    @Test
    void anEntryThatIsNotListedCountsItself() {
        assertThat(new LiveRouters("new", names(3), 1).assumedCount()).isEqualTo(4);
    }

    private static int sum(Set<String> names, double whole, String thing) {
        return names.stream()
                .mapToInt(own -> new LiveRouters(own, names, 1).shareOf(whole, thing))
                .sum();
    }

    private static Set<String> names(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> "entry-" + i)
                .collect(Collectors.toUnmodifiableSet());
    }
}
