package org.wigeonferry.settings;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.wigeonferry.core_types.AccountId;
import org.wigeonferry.core_types.ApiKeyDigest;
import org.wigeonferry.core_types.ClientAccount;
import org.wigeonferry.core_types.ClientAccountBuilder;
import org.wigeonferry.core_types.ServiceId;
import org.wigeonferry.core_types.VersionId;

/**
 * Reads {@code [account NAME]}: adds a client account or changes the fields it names.
 *
 * <p>Stateless and thread safe.
 */
final class AccountSection {
    private AccountSection() {}

    static SectionReader reader() {
        return section -> {
            section.allow("key-digests", "versions", "services", "max-in-flight");
            AccountId id = section.named("an account name", AccountId::new);
            Optional<List<ApiKeyDigest>> digests =
                    section.value("key-digests", "salt:digest pairs", NoteValues::digests);
            Optional<Set<VersionId>> versions =
                    section.value(
                            "versions", "names", text -> NoteValues.names(text, VersionId::new));
            Optional<Set<ServiceId>> services =
                    section.value(
                            "services", "names", text -> NoteValues.names(text, ServiceId::new));
            Optional<Integer> maxInFlight =
                    section.value("max-in-flight", "a whole number", Integer::parseInt);
            return draft -> {
                ClientAccount known = draft.accounts().get(id);
                ClientAccountBuilder builder =
                        known == null ? ClientAccount.builder().id(id) : known.toBuilder();
                digests.ifPresent(builder::keyDigests);
                versions.ifPresent(builder::versions);
                services.ifPresent(builder::services);
                maxInFlight.ifPresent(builder::maxConcurrentRequests);
                ClientAccount account = Built.of(section, builder::build);
                for (VersionId version : account.versions()) {
                    if (!draft.versions().containsKey(version)) {
                        throw section.error("no such version " + version);
                    }
                }
                draft.accounts().put(id, account);
            };
        };
    }
}
