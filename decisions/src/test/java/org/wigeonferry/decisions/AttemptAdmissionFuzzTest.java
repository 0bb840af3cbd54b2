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

/** Random sequences of what may happen to a gate, against a few sets and numbers. */
class AttemptAdmissionFuzzTest {
    private static final int STEPS = 200;
    private static final List<VersionId> VERSIONS =
            List.of(new VersionId("small-1"), new VersionId("large-1"));

    @Property(tries = 2000, seed = "20261204")
    void admitsOnlyWhatTheOracleAllows(@ForAll long seed) {
        Random random = new Random(seed ^ Long.getLong("wigeonferry.fuzz.seed", 0));
        SuspectRegister suspects = new SuspectRegister(100, Duration.ofHours(1));
        ColdStartRamp ramp = new ColdStartRamp(1, 4, Duration.ofMillis(100), Duration.ofSeconds(5));
        AttemptAdmission gate =
                new AttemptAdmission(
                        AdmissionFixtures.upstream().id(), AdmissionRules.all(), ramp, suspects);
        Map<String, StartOrder> inFlight = new HashMap<>();
        Catalog catalog = AdmissionFixtures.catalog();
        boolean fresh = true;
        boolean stopping = false;
        boolean leaving = false;
        int goodAnswersSinceLoss = 0;
        long now = 0;
        for (int i = 0; i < STEPS; i++) {
            now += random.nextInt(1_000_000_000);
            switch (random.nextInt(9)) {
                case 0 -> catalog = change(catalog, random);
                case 1 -> fresh = random.nextInt(4) > 0;
                case 2 -> leaving = random.nextInt(6) == 0;
                case 3 -> {
                    gate.onEngineLost(now);
                    goodAnswersSinceLoss = 0;
                }
                case 4 -> {
                    ramp.onFirstToken(Duration.ofMillis(random.nextInt(120)), inFlight.size(), now);
                    goodAnswersSinceLoss++;
                }
                case 5 -> {
                    Optional<StartOrder> any = inFlight.values().stream().findFirst();
                    any.ifPresent(gate::onAttemptFinished);
                    any.ifPresent(order -> inFlight.remove(order.attemptKey()));
                }
                default -> {
                    StartOrder order = order(i, catalog, random);
                    AdmissionInputs situation =
                            new AdmissionInputs(catalog, fresh, stopping, leaving);
                    boolean admitted = gate.admit(order, situation, now).isEmpty();
                    if (admitted) {
                        assertThat(allowed(order, catalog)).as("allowed %s", order).isTrue();
                        assertThat(fresh && !leaving && !stopping).as("may admit").isTrue();
                        inFlight.put(order.attemptKey(), order);
                        assertThat(inFlight).hasSizeLessThanOrEqualTo(8);
                        assertThat(inFlight.size())
                                .as("a cold engine gets one, and one more for each four answers")
                                .isLessThanOrEqualTo(1 + goodAnswersSinceLoss / 4);
                    }
                }
            }
            stopping |= random.nextInt(400) == 0;
            assertThat(gate.inFlightCount()).isEqualTo(inFlight.size());
        }
    }

    private static boolean allowed(StartOrder order, Catalog catalog) {
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

    private static Catalog change(Catalog catalog, Random random) {
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
        Set<VersionId> some = random.nextBoolean() ? Set.copyOf(VERSIONS) : Set.of(VERSIONS.get(0));
        Upstream upstream =
                AdmissionFixtures.upstream().toBuilder()
                        .versions(some)
                        .draining(random.nextInt(6) == 0)
                        .build();
        var account =
                catalog.accounts().get(AdmissionFixtures.ACCOUNT).toBuilder()
                        .versions(random.nextBoolean() ? Set.copyOf(VERSIONS) : some)
                        .build();
        Set<ZoneId> out = random.nextInt(5) == 0 ? Set.of(upstream.zone()) : Set.of();
        return catalog.toBuilder()
                .revision(catalog.revision().next())
                .versions(versions)
                .accounts(Map.of(account.id(), account))
                .upstreams(Map.of(upstream.id(), upstream))
                .disabledZones(out)
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
