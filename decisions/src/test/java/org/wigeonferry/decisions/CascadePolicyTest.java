package org.wigeonferry.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.AccountId;
import org.wigeonferry.core_types.Catalog;
import org.wigeonferry.core_types.ClassId;
import org.wigeonferry.core_types.ClientAccount;
import org.wigeonferry.core_types.ModelVersion;
import org.wigeonferry.core_types.RequestClass;
import org.wigeonferry.core_types.RequestId;
import org.wigeonferry.core_types.VersionId;

class CascadePolicyTest {
    private static final ClassId DRAFT = new ClassId("draft");
    private static final ModelVersion SMALL = version("small-1", "small", 1, 0.6);
    private static final ModelVersion LARGE = version("large-1", "large", 10, 0.9);

    private final QualityTable quality = new QualityTable();
    private final StagePolicy policy =
            CascadePolicy.policy(quality, new AcceptanceThreshold(), new Random(7));

    @Test
    void startsCheapWhenTheCheapVersionIsOftenAccepted() {
        learn(SMALL, 0.9, 100);
        assertThat(first(query(Optional.empty(), Optional.empty(), false), catalog()))
                .isEqualTo(SMALL);
    }

    @Test
    void startsAtTheTopWhenTheCheapVersionIsNeverAccepted() {
        learn(SMALL, 0.0, 300);
        long top =
                java.util.stream.IntStream.range(0, 100)
                        .filter(
                                i ->
                                        first(
                                                        query(
                                                                Optional.empty(),
                                                                Optional.empty(),
                                                                false),
                                                        catalog())
                                                .equals(LARGE))
                        .count();
        assertThat(top).as("all but the share that explores").isGreaterThan(90);
    }

    @Test
    void streamStartsWhereTheTargetIsMet() {
        learn(SMALL, 0.2, 100);
        assertThat(first(query(Optional.empty(), Optional.empty(), true), catalog()))
                .isEqualTo(LARGE);
    }

    @Test
    void sessionKeepsItsVersion() {
        StageQuery query = query(Optional.empty(), Optional.of(LARGE.id()), false);
        assertThat(policy.stages(query, catalog())).containsExactly(LARGE);
    }

    @Test
    void sessionOfAWithdrawnVersionMovesToItsSuccessor() {
        ModelVersion gone =
                LARGE.toBuilder().withdrawn(true).successor(Optional.of(SMALL.id())).build();
        Catalog catalog =
                catalog().toBuilder().versions(Map.of(SMALL.id(), SMALL, LARGE.id(), gone)).build();
        StageQuery query = query(Optional.empty(), Optional.of(LARGE.id()), false);
        assertThat(policy.stages(query, catalog)).containsExactly(SMALL);
    }

    @Test
    void successorsInACircleGiveNoVersion() {
        ModelVersion a =
                SMALL.toBuilder().withdrawn(true).successor(Optional.of(LARGE.id())).build();
        ModelVersion b =
                LARGE.toBuilder().withdrawn(true).successor(Optional.of(SMALL.id())).build();
        Catalog catalog = catalog().toBuilder().versions(Map.of(a.id(), a, b.id(), b)).build();
        StageQuery query = query(Optional.empty(), Optional.of(LARGE.id()), false);
        assertThat(policy.stages(query, catalog)).isEmpty();
    }

    @Test
    void versionThatTheAccountDoesNotAllowIsNeverAStage() {
        Catalog catalog = catalog();
        StageQuery query =
                new StageQuery(
                        account(Set.of(SMALL.id())),
                        new RequestId("r1"),
                        DRAFT,
                        Optional.of("large"),
                        Optional.empty(),
                        false);
        assertThat(policy.stages(query, catalog)).isEmpty();
    }

    @Test
    void exposureReachesItsShareOfRequests() {
        ModelVersion next =
                version("small-2", "small", 1, 0.6).toBuilder().exposurePercent(10).build();
        Catalog catalog =
                catalog().toBuilder().versions(Map.of(SMALL.id(), SMALL, next.id(), next)).build();
        ClientAccount account = account(Set.of(SMALL.id(), next.id()));
        long exposed =
                java.util.stream.IntStream.range(0, 10_000)
                        .mapToObj(
                                i ->
                                        new StageQuery(
                                                account,
                                                new RequestId("r" + i),
                                                DRAFT,
                                                Optional.of("small"),
                                                Optional.empty(),
                                                false))
                        .filter(query -> VersionChoice.eligible(query, catalog).contains(next))
                        .count();
        assertThat(exposed).isBetween(850L, 1150L);
    }

    private ModelVersion first(StageQuery query, Catalog catalog) {
        return policy.stages(query, catalog).get(0);
    }

    private void learn(ModelVersion version, double rating, int times) {
        for (int i = 0; i < times; i++) {
            quality.onRating(DRAFT, version, rating, 0.7);
        }
    }

    private static StageQuery query(
            Optional<String> model, Optional<VersionId> session, boolean single) {
        return new StageQuery(
                account(Set.of(SMALL.id(), LARGE.id())),
                new RequestId("r1"),
                DRAFT,
                model,
                session,
                single);
    }

    private static ClientAccount account(Set<VersionId> versions) {
        return ClientAccount.builder().id(new AccountId("palace")).versions(versions).build();
    }

    private static Catalog catalog() {
        RequestClass draft =
                RequestClass.builder()
                        .id(DRAFT)
                        .qualityTarget(0.7)
                        .deadline(Duration.ofSeconds(5))
                        .build();
        return Catalog.builder()
                .versions(Map.of(SMALL.id(), SMALL, LARGE.id(), LARGE))
                .classes(Map.of(DRAFT, draft))
                .build();
    }

    private static ModelVersion version(String id, String model, long cost, double quality) {
        return ModelVersion.builder()
                .id(new VersionId(id))
                .model(model)
                .costMicrosPerToken(cost)
                .expectedQuality(quality)
                .build();
    }

    @Test
    void listOfStagesRisesInCost() {
        learn(SMALL, 0.9, 100);
        List<ModelVersion> stages =
                policy.stages(query(Optional.empty(), Optional.empty(), false), catalog());
        assertThat(stages).containsExactly(SMALL, LARGE);
    }
}
