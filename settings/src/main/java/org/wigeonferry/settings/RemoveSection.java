package org.wigeonferry.settings;

import org.wigeonferry.core_types.AccountId;
import org.wigeonferry.core_types.UpstreamId;

/**
 * Reads {@code [remove upstream NAME]} and {@code [remove account NAME]}.
 *
 * <p>Stateless and thread safe.
 */
final class RemoveSection {
    private static final String UPSTREAM = "upstream ";
    private static final String ACCOUNT = "account ";

    private RemoveSection() {}

    static SectionReader reader() {
        return section -> {
            section.allow();
            String name = section.name();
            if (name.startsWith(UPSTREAM)) {
                UpstreamId id = new UpstreamId(name.substring(UPSTREAM.length()));
                return draft -> {
                    if (draft.upstreams().remove(id) == null) {
                        throw section.error("no such upstream");
                    }
                };
            }
            if (name.startsWith(ACCOUNT)) {
                AccountId id = new AccountId(name.substring(ACCOUNT.length()));
                return draft -> {
                    if (draft.accounts().remove(id) == null) {
                        throw section.error("no such account");
                    }
                };
            }
            throw section.error("expected [remove upstream NAME] or [remove account NAME]");
        };
    }
}
