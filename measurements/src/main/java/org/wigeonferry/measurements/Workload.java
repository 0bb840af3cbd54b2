package org.wigeonferry.measurements;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.wigeonferry.core_types.AccountId;
import org.wigeonferry.core_types.ApiKeyDigest;
import org.wigeonferry.core_types.Catalog;
import org.wigeonferry.core_types.ClientAccount;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.core_types.ModelVersion;
import org.wigeonferry.core_types.RequestClass;
import org.wigeonferry.core_types.RequestClassId;
import org.wigeonferry.core_types.Revision;
import org.wigeonferry.core_types.Upstream;
import org.wigeonferry.core_types.UpstreamId;
import org.wigeonferry.core_types.VersionId;
import org.wigeonferry.core_types.ZoneId;

/**
 * Makes catalogs of any size.
 *
 * <p>Stateless and thread safe.
 */
final class Workload {
    /** Availability zones of the target. */
    static final int ZONES = 11;

    /** Class of all requests. */
    static final RequestClassId CLASS = new RequestClassId("draft");

    private static final int MODELS = 8;
    private static final int FIRST_PORT = 10_000;

    private Workload() {}

    static Catalog catalog(int upstreams, int versions, int accounts) {
        Map<VersionId, ModelVersion> allVersions = new HashMap<>();
        for (int i = 0; i < versions; i++) {
            VersionId id = new VersionId("version-" + i);
            allVersions.put(
                    id,
                    ModelVersion.builder()
                            .id(id)
                            .model("model-" + i % MODELS)
                            .costMicrosPerToken(1L + i)
                            .expectedRating(0.4 + 0.5 * i / versions)
                            .build());
        }
        Map<UpstreamId, Upstream> allUpstreams = new HashMap<>();
        for (int i = 0; i < upstreams; i++) {
            Upstream upstream = upstream(i, versions);
            allUpstreams.put(upstream.id(), upstream);
        }
        Map<AccountId, ClientAccount> allAccounts = new HashMap<>();
        for (int i = 0; i < accounts; i++) {
            ClientAccount account = account(i, allVersions.keySet());
            allAccounts.put(account.id(), account);
        }
        RequestClass type = RequestClass.builder().id(CLASS).qualityTarget(0.7).build();
        return Catalog.builder()
                .revision(new Revision(1))
                .versions(allVersions)
                .upstreams(allUpstreams)
                .accounts(allAccounts)
                .requestClasses(Map.of(CLASS, type))
                .build();
    }

    static ZoneId zone(int number) {
        return new ZoneId("zone-" + number % ZONES);
    }

    private static Upstream upstream(int number, int versions) {
        Set<VersionId> runs = new HashSet<>();
        runs.add(new VersionId("version-" + number % versions));
        runs.add(new VersionId("version-" + (number + 1) % versions));
        return Upstream.builder()
                .id(new UpstreamId("upstream-" + number))
                .zone(zone(number))
                .agentAddress(new HostAddress("10.0.0.1", FIRST_PORT + number % 50_000))
                .versions(runs)
                .maxConcurrentAttempts(64)
                .build();
    }

    private static ClientAccount account(int number, Set<VersionId> versions) {
        return ClientAccount.builder()
                .id(new AccountId("account-" + number))
                .versions(versions)
                .keyDigests(List.of(new ApiKeyDigest("00ff", "a".repeat(64))))
                .build();
    }
}
