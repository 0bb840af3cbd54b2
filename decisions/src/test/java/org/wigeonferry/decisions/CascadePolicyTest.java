package org.wigeonferry.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.AccountId;
import org.wigeonferry.core_types.Catalog;
import org.wigeonferry.core_types.ClientAccount;
import org.wigeonferry.core_types.ModelVersion;
import org.wigeonferry.core_types.RequestClass;
import org.wigeonferry.core_types.RequestClassId;
import org.wigeonferry.core_types.RequestId;
import org.wigeonferry.core_types.VersionId;

class CascadePolicyTest {
    private static final RequestClassId DRAFT = new RequestClassId("draft");
    private static final ModelVersion SMALL = version("small-1", "small", 1, 0.6);
    private static final ModelVersion LARGE = version("large-1", "large", 10, 0.9);

    private static final double TARGET = 0.7;

    private final CascadePolicy policy = new CascadePolicy(new Random(7));

    @Test
    void startsAtTheVersionOfHighestQualityAtFirst() {
        assertThat(usualFirstStage(/* singleStage= */ false)).isEqualTo(LARGE);
    }

    @Test
    void startsAtTheCheapVersionWhileRatingsExceedTheTarget() {
        recordDeliveredRatings(0.9, 3000);
        assertThat(usualFirstStage(/* singleStage= */ false)).isEqualTo(SMALL);
        assertThat(usualFirstStage(/* singleStage= */ true)).isEqualTo(SMALL);
    }

    @Test
    void startsAtTheExpensiveVersionAgainWhenRatingsMissTheTarget() {
        recordDeliveredRatings(0.9, 3000);
        recordDeliveredRatings(0.4, 3000);
        assertThat(usualFirstStage(/* singleStage= */ false)).isEqualTo(LARGE);
        assertThat(usualFirstStage(/* singleStage= */ true)).isEqualTo(LARGE);
    }

    @Test
    void escalatesIfTheExpectedGainIsWorthItsCost() {
        assertThat(policy.shouldEscalate(DRAFT, SMALL, LARGE, 0.2)).isTrue();
        assertThat(policy.shouldEscalate(DRAFT, SMALL, LARGE, 0.95)).isFalse();
    }

    @Test
    void doesNotEscalateToAVersionThatNeverRatesHigher() {
        for (int i = 0; i < 1000; i++) {
            policy.onLaterStageRating(DRAFT, SMALL, LARGE, 0.2, 0.2);
        }
        assertThat(policy.shouldEscalate(DRAFT, SMALL, LARGE, 0.2)).isFalse();
    }

    @Test
    void meanRatingOfDeliveredAnswersMeetsTheTarget() {
        Random random = new Random(11);
        double sum = 0;
        int count = 20_000;
        for (int i = 0; i < count; i++) {
            ModelVersion version =
                    firstStage(
                            query(Optional.empty(), Optional.empty(), /* singleStage= */ true),
                            catalog());
            double meanRating = version.equals(SMALL) ? 0.6 : 0.9;
            double rating = meanRating + 0.1 * (random.nextDouble() - 0.5);
            policy.onFirstStageRating(DRAFT, version, rating);
            policy.onDeliveredRating(DRAFT, TARGET, rating);
            // Averages only the second half, as the price has to converge first.
            sum += i < count / 2 ? 0 : rating;
        }
        assertThat(sum / (count / 2)).isBetween(TARGET - 0.02, TARGET + 0.02);
    }

    @Test
    void sessionKeepsItsVersion() {
        StageQuery query =
                query(Optional.empty(), Optional.of(LARGE.id()), /* singleStage= */ false);
        assertThat(policy.chooseStages(query, catalog())).containsExactly(LARGE);
    }

    @Test
    void sessionOfAWithdrawnVersionMovesToItsSuccessor() {
        ModelVersion withdrawn =
                LARGE.toBuilder().withdrawn(true).successor(Optional.of(SMALL.id())).build();
        Catalog catalog =
                catalog().toBuilder()
                        .versions(Map.of(SMALL.id(), SMALL, LARGE.id(), withdrawn))
                        .build();
        StageQuery query =
                query(Optional.empty(), Optional.of(LARGE.id()), /* singleStage= */ false);
        assertThat(policy.chooseStages(query, catalog)).containsExactly(SMALL);
    }

    @Test
    void cyclicSuccessorsGiveNoStage() {
        ModelVersion a =
                SMALL.toBuilder().withdrawn(true).successor(Optional.of(LARGE.id())).build();
        ModelVersion b =
                LARGE.toBuilder().withdrawn(true).successor(Optional.of(SMALL.id())).build();
        Catalog catalog = catalog().toBuilder().versions(Map.of(a.id(), a, b.id(), b)).build();
        StageQuery query =
                query(Optional.empty(), Optional.of(LARGE.id()), /* singleStage= */ false);
        assertThat(policy.chooseStages(query, catalog)).isEmpty();
    }

    @Test
    void versionThatTheAccountMayNotUseIsNotAStage() {
        Catalog catalog = catalog();
        StageQuery query =
                new StageQuery(
                        account(Set.of(SMALL.id())),
                        new RequestId("r1"),
                        DRAFT,
                        Optional.of("large"),
                        Optional.empty(),
                        /* singleStage= */ false);
        assertThat(policy.chooseStages(query, catalog)).isEmpty();
    }

    @Test
    void partiallyExposedVersionServesItsShareOfRequests() {
        ModelVersion newVersion =
                version("small-2", "small", 1, 0.6).toBuilder().exposurePercent(10).build();
        Catalog catalog =
                catalog().toBuilder()
                        .versions(Map.of(SMALL.id(), SMALL, newVersion.id(), newVersion))
                        .build();
        ClientAccount account = account(Set.of(SMALL.id(), newVersion.id()));
        long exposed =
                IntStream.range(0, 10_000)
                        .mapToObj(
                                i ->
                                        new StageQuery(
                                                account,
                                                new RequestId("r" + i),
                                                DRAFT,
                                                Optional.of("small"),
                                                Optional.empty(),
                                                /* singleStage= */ false))
                        .filter(
                                query ->
                                        EligibleVersions.forQuery(query, catalog)
                                                .contains(newVersion))
                        .count();
        // 10 % of 10,000, within five standard deviations of 30.
        assertThat(exposed).isBetween(850L, 1150L);
    }

    @Test
    void partiallyExposedVersionServesAllRequestsIfItIsTheOnlyOneOfItsModel() {
        ModelVersion newVersion = SMALL.toBuilder().exposurePercent(1).build();
        Catalog catalog =
                catalog().toBuilder().versions(Map.of(newVersion.id(), newVersion)).build();
        StageQuery query = query(Optional.of("small"), Optional.empty(), /* singleStage= */ false);
        assertThat(EligibleVersions.forQuery(query, catalog)).containsExactly(newVersion);
    }

    @Test
    void rolledBackVersionServesNoRequests() {
        ModelVersion rolledBack = SMALL.toBuilder().exposurePercent(0).build();
        Catalog catalog =
                catalog().toBuilder().versions(Map.of(rolledBack.id(), rolledBack)).build();
        StageQuery query = query(Optional.of("small"), Optional.empty(), /* singleStage= */ false);
        assertThat(EligibleVersions.forQuery(query, catalog)).isEmpty();
    }

    private ModelVersion firstStage(StageQuery query, Catalog catalog) {
        return policy.chooseStages(query, catalog).get(0);
    }

    private void recordDeliveredRatings(double rating, int times) {
        // The first query for a class sets its price; ratings have no effect before.
        usualFirstStage(/* singleStage= */ false);
        for (int i = 0; i < times; i++) {
            policy.onDeliveredRating(DRAFT, TARGET, rating);
        }
    }

    /** The first stage of most requests; asserts that fewer than 10 of 100 start elsewhere. */
    private ModelVersion usualFirstStage(boolean singleStage) {
        StageQuery query = query(Optional.empty(), Optional.empty(), singleStage);
        long cheap =
                IntStream.range(0, 100)
                        .filter(i -> firstStage(query, catalog()).equals(SMALL))
                        .count();
        assertThat(Math.min(cheap, 100 - cheap))
                .as("requests that start at a random version")
                .isLessThan(10);
        return cheap > 50 ? SMALL : LARGE;
    }

    private static StageQuery query(
            Optional<String> model, Optional<VersionId> sessionVersion, boolean singleStage) {
        return new StageQuery(
                account(Set.of(SMALL.id(), LARGE.id())),
                new RequestId("r1"),
                DRAFT,
                model,
                sessionVersion,
                singleStage);
    }

    private static ClientAccount account(Set<VersionId> versions) {
        return ClientAccount.builder().id(new AccountId("palace")).versions(versions).build();
    }

    private static Catalog catalog() {
        RequestClass draft =
                RequestClass.builder()
                        .id(DRAFT)
                        .qualityTarget(0.7)
                        .timeLimit(Duration.ofSeconds(5))
                        .build();
        return Catalog.builder()
                .versions(Map.of(SMALL.id(), SMALL, LARGE.id(), LARGE))
                .requestClasses(Map.of(DRAFT, draft))
                .build();
    }

    private static ModelVersion version(String id, String model, long cost, double quality) {
        return ModelVersion.builder()
                .id(new VersionId(id))
                .model(model)
                .costMicrosPerToken(cost)
                .expectedRating(quality)
                .build();
    }

    @Test
    void stagesAreInOrderOfCostUpToTheMostExpensiveVersion() {
        recordDeliveredRatings(0.9, 3000);
        assertThat(usualFirstStage(/* singleStage= */ false)).isEqualTo(SMALL);
        List<ModelVersion> stages =
                policy.chooseStages(
                        query(Optional.empty(), Optional.empty(), /* singleStage= */ false),
                        catalog());
        assertThat(stages).isIn(List.of(SMALL, LARGE), List.of(LARGE));
    }
}
