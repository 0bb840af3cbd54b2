package org.wigeonferry.decisions;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wigeonferry.core_types.AccountId;
import org.wigeonferry.core_types.AdmissionState;
import org.wigeonferry.core_types.AdmissionStateBuilder;
import org.wigeonferry.core_types.Catalog;
import org.wigeonferry.core_types.ClientAccount;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.core_types.ModelVersion;
import org.wigeonferry.core_types.NodeId;
import org.wigeonferry.core_types.RequestId;
import org.wigeonferry.core_types.Revision;
import org.wigeonferry.core_types.ServiceId;
import org.wigeonferry.core_types.StartOrder;
import org.wigeonferry.core_types.StartOrderBuilder;
import org.wigeonferry.core_types.Upstream;
import org.wigeonferry.core_types.UpstreamId;
import org.wigeonferry.core_types.VersionId;
import org.wigeonferry.core_types.ZoneId;

/** An order and an admission state that pass every rule, and catalogs that make a rule refuse. */
final class AdmissionFixtures {
    static final VersionId VERSION = new VersionId("small-1");
    static final AccountId ACCOUNT = new AccountId("palace");

    private AdmissionFixtures() {}

    static StartOrderBuilder order() {
        return StartOrder.builder()
                .entry(new NodeId("entry-1"))
                .requestId(new RequestId("r1"))
                .account(ACCOUNT)
                .version(Optional.of(VERSION))
                .requestDigest("digest");
    }

    static Upstream upstream() {
        return Upstream.builder()
                .id(new UpstreamId("engine-1"))
                .zone(new ZoneId("ibadan"))
                .agentAddress(new HostAddress("127.0.0.1", 1))
                .versions(Set.of(VERSION))
                .services(Set.of(new ServiceId("booking")))
                .maxConcurrentAttempts(8)
                .build();
    }

    static Catalog catalog() {
        ModelVersion small = ModelVersion.builder().id(VERSION).model("small").build();
        ClientAccount palace =
                ClientAccount.builder()
                        .id(ACCOUNT)
                        .versions(Set.of(VERSION))
                        .services(Set.of(new ServiceId("booking")))
                        .build();
        return Catalog.builder()
                .revision(Revision.NONE)
                .versions(Map.of(VERSION, small))
                .accounts(Map.of(ACCOUNT, palace))
                .upstreams(Map.of(upstream().id(), upstream()))
                .build();
    }

    static Catalog catalogWithWithdrawnVersion() {
        ModelVersion small = catalog().versions().get(VERSION).toBuilder().withdrawn(true).build();
        return catalog().toBuilder().versions(Map.of(VERSION, small)).build();
    }

    static Catalog catalogWithDisabledZone(String zone) {
        return catalog().toBuilder().disabledZones(Set.of(new ZoneId(zone))).build();
    }

    static AdmissionStateBuilder admissionState() {
        return AdmissionState.builder()
                .catalog(catalog())
                .upstream(Optional.of(upstream()))
                .concurrencyLimit(8);
    }
}
