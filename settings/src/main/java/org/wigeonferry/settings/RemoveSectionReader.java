package org.wigeonferry.settings;

import org.wigeonferry.core_types.AccountId;
import org.wigeonferry.core_types.UpstreamId;

/**
 * Reads {@code [remove upstream NAME]} and {@code [remove account NAME]}, which remove the upstream
 * or client account from the configuration.
 *
 * <p>Stateless and thread safe.
 */
final class RemoveSectionReader {
    private static final String UPSTREAM_PREFIX = "upstream ";
    private static final String ACCOUNT_PREFIX = "account ";

    private RemoveSectionReader() {}

    static SectionReader create() {
        return section -> {
            section.requireOnlyKeys();
            String name = section.name();
            if (name.startsWith(UPSTREAM_PREFIX)) {
                UpstreamId id = new UpstreamId(name.substring(UPSTREAM_PREFIX.length()));
                return draft -> {
                    if (draft.upstreams().remove(id) == null) {
                        throw section.newError("no such upstream");
                    }
                };
            }
            if (name.startsWith(ACCOUNT_PREFIX)) {
                AccountId id = new AccountId(name.substring(ACCOUNT_PREFIX.length()));
                return draft -> {
                    if (draft.accounts().remove(id) == null) {
                        throw section.newError("no such account");
                    }
                };
            }
            throw section.newError("expected [remove upstream NAME] or [remove account NAME]");
        };
    }
}
