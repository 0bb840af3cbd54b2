package org.wigeonferry.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.wigeonferry.core_types.Catalog;
import org.wigeonferry.core_types.ModelVersion;
import org.wigeonferry.core_types.RequestId;
import org.wigeonferry.core_types.Revision;
import org.wigeonferry.core_types.StartOrder;
import org.wigeonferry.core_types.Upstream;
import org.wigeonferry.core_types.VersionId;
import org.wigeonferry.core_types.ZoneId;

/**
 * Runs random events against an attempt admission and checks that it admits no order that the
 * catalog, the state of the agent or the concurrency limits forbid.
 */
class AttemptAdmissionFuzzTest {
    private static final int STEPS = 200;
    private static final List<VersionId> VERSIONS =
            List.of(new VersionId("small-1"), new VersionId("large-1"));

    @Property(tries = 2000, seed = "20261204")
    void admitsOnlyWhatCatalogStateAndLimitsAllow(@ForAll long seed) {
        Random random = new Random(seed ^ Long.getLong("wigeonferry.fuzz.seed", 0));
        SuspectRegister suspects = new SuspectRegister(100, Duration.ofHours(1));
        ColdStartRamp ramp =
                new ColdStartRamp(
                        /* maxLimit= */ 1,
                        /* firstTokensPerIncrease= */ 4,
                        Duration.ofMillis(100),
                        Duration.ofSeconds(5));
        AttemptAdmission admission =
                new AttemptAdmission(
                        AdmissionFixtures.upstream().id(), AdmissionRules.all(), ramp, suspects);
        Map<String, StartOrder> inFlight = new HashMap<>();
        Catalog catalog = AdmissionFixtures.catalog();
        boolean configUpToDate = true;
        boolean stopping = false;
        boolean draining = false;
        int firstTokensSinceCrash = 0;
        long nowNanos = 0;
        for (int i = 0; i < STEPS; i++) {
            nowNanos += random.nextInt(1_000_000_000);
            switch (random.nextInt(9)) {
                case 0 -> catalog = randomCatalogChange(catalog, random);
                case 1 -> configUpToDate = random.nextInt(4) > 0;
                case 2 -> draining = random.nextInt(6) == 0;
                case 3 -> {
                    admission.onUpstreamCrash(nowNanos);
                    firstTokensSinceCrash = 0;
                }
                case 4 -> {
                    ramp.onFirstToken(
                            Duration.ofMillis(random.nextInt(120)), inFlight.size(), nowNanos);
                    firstTokensSinceCrash++;
                }
                case 5 -> {
                    Optional<StartOrder> any = inFlight.values().stream().findFirst();
                    any.ifPresent(admission::onAttemptFinished);
                    any.ifPresent(order -> inFlight.remove(order.attemptKey()));
                }
                default -> {
                    StartOrder order = order(i, catalog, random);
                    AdmissionInputs inputs =
                            new AdmissionInputs(catalog, configUpToDate, stopping, draining);
                    boolean admitted = admission.admit(order, inputs, nowNanos).isEmpty();
                    if (admitted) {
                        assertThat(isAllowed(order, catalog))
                                .as("catalog allows the admitted order %s", order)
                                .isTrue();
                        assertThat(configUpToDate && !draining && !stopping)
                                .as("configuration up to date, neither draining nor stopping")
                                .isTrue();
                        inFlight.put(order.attemptKey(), order);
                        // 8 is the maxConcurrentAttempts of the fixture's upstream.
                        assertThat(inFlight).hasSizeLessThanOrEqualTo(8);
                        assertThat(inFlight.size())
                                .as("limit of 1, plus 1 per 4 first tokens since a crash")
                                .isLessThanOrEqualTo(1 + firstTokensSinceCrash / 4);
                    }
                }
            }
            stopping |= random.nextInt(400) == 0;
            assertThat(admission.inFlightCount()).isEqualTo(inFlight.size());
        }
    }

    private static boolean isAllowed(StartOrder order, Catalog catalog) {
        Upstream upstream = catalog.upstreams().values().iterator().next();
        VersionId version = order.version().orElseThrow();
        return catalog.accounts().get(order.account()).versions().contains(version)
                && !catalog.versions().get(version).withdrawn()
                && upstream.versions().contains(version)
                && !upstream.draining()
                && !catalog.disabledZones().contains(upstream.zone())
                && order.revision().number() <= catalog.revision().number()
                && !order.timeLeft().isNegative()
                && !order.timeLeft().isZero();
    }

    private static Catalog randomCatalogChange(Catalog catalog, Random random) {
        Map<VersionId, ModelVersion> versions = new HashMap<>();
        for (VersionId id : VERSIONS) {
            versions.put(
                    id,
                    ModelVersion.builder()
                            .id(id)
                            .model(id.value())
                            .withdrawn(random.nextInt(4) == 0)
                            .build());
        }
        Set<VersionId> servedVersions =
                random.nextBoolean() ? Set.copyOf(VERSIONS) : Set.of(VERSIONS.get(0));
        Upstream upstream =
                AdmissionFixtures.upstream().toBuilder()
                        .versions(servedVersions)
                        .draining(random.nextInt(6) == 0)
                        .build();
        var account =
                catalog.accounts().get(AdmissionFixtures.ACCOUNT).toBuilder()
                        .versions(random.nextBoolean() ? Set.copyOf(VERSIONS) : servedVersions)
                        .build();
        Set<ZoneId> disabledZones = random.nextInt(5) == 0 ? Set.of(upstream.zone()) : Set.of();
        return catalog.toBuilder()
                .revision(catalog.revision().next())
                .versions(versions)
                .accounts(Map.of(account.id(), account))
                .upstreams(Map.of(upstream.id(), upstream))
                .disabledZones(disabledZones)
                .build();
    }

    private static StartOrder order(int number, Catalog catalog, Random random) {
        long revision = Math.max(0, catalog.revision().number() + random.nextInt(4) - 2);
        return AdmissionFixtures.order()
                .requestId(new RequestId("r" + number))
                .version(Optional.of(VERSIONS.get(random.nextInt(VERSIONS.size()))))
                .revision(new Revision(revision))
                .timeLeft(Duration.ofMillis(random.nextInt(50) - 2))
                .requestDigest("d" + number)
                .build();
    }
}
