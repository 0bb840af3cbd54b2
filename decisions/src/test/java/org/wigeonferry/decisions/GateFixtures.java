package org.wigeonferry.decisions;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wigeonferry.core_types.AccountId;
import org.wigeonferry.core_types.Catalog;
import org.wigeonferry.core_types.ClientAccount;
import org.wigeonferry.core_types.GateView;
import org.wigeonferry.core_types.GateViewBuilder;
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

/** An order that every rule lets pass, and the view to go with it. */
final class GateFixtures {
    static final VersionId SMALL = new VersionId("small-1");
    static final AccountId PALACE = new AccountId("palace");

    private GateFixtures() {}

    static StartOrderBuilder order() {
        return StartOrder.builder()
                .entry(new NodeId("entry-1"))
                .requestId(new RequestId("r1"))
                .account(PALACE)
                .version(Optional.of(SMALL))
                .digest("digest");
    }

    static Upstream upstream() {
        return Upstream.builder()
                .id(new UpstreamId("engine-1"))
                .zone(new ZoneId("ibadan"))
                .agentAddress(new HostAddress("127.0.0.1", 1))
                .versions(Set.of(SMALL))
                .services(Set.of(new ServiceId("booking")))
                .maxConcurrent(8)
                .build();
    }

    static Catalog catalog() {
        ModelVersion small = ModelVersion.builder().id(SMALL).model("small").build();
        ClientAccount palace =
                ClientAccount.builder()
                        .id(PALACE)
                        .versions(Set.of(SMALL))
                        .services(Set.of(new ServiceId("booking")))
                        .build();
        return Catalog.builder()
                .revision(Revision.NONE)
                .versions(Map.of(SMALL, small))
                .accounts(Map.of(PALACE, palace))
                .upstreams(Map.of(upstream().id(), upstream()))
                .build();
    }

    static Catalog withdrawn() {
        ModelVersion small = catalog().versions().get(SMALL).toBuilder().withdrawn(true).build();
        return catalog().toBuilder().versions(Map.of(SMALL, small)).build();
    }

    static Catalog zoneOut(String zone) {
        return catalog().toBuilder().zonesOut(Set.of(new ZoneId(zone))).build();
    }

    static GateViewBuilder view() {
        return GateView.builder().catalog(catalog()).upstream(Optional.of(upstream())).limit(8);
    }
}
