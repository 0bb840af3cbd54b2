package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class LiveEntriesTest {
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
                        .filter(i -> new LiveEntries("entry-0", MANY, 1).part(12, "u" + i) > 0)
                        .count();
        assertThat(owned).isBetween(50L, 115L);
    }

    @Test
    void anEntryThatKnowsOfFewTakesNoMoreThanItsPartOfTheLeastNumber() {
        long taken =
                MANY.stream()
                        .mapToLong(own -> new LiveEntries(own, Set.of(own), 29).part(12, "u"))
                        .sum();
        assertThat(taken).isLessThanOrEqualTo(18);
    }

    @Test
    void anEntryThatIsNotListedCountsItself() {
        assertThat(new LiveEntries("new", names(3), 1).count()).isEqualTo(4);
    }

    private static int sum(Set<String> names, double whole, String thing) {
        return names.stream()
                .mapToInt(own -> new LiveEntries(own, names, 1).part(whole, thing))
                .sum();
    }

    private static Set<String> names(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> "entry-" + i)
                .collect(Collectors.toUnmodifiableSet());
    }
}
