package org.wigeonferry.settings;

import org.wigeonferry.core_types.AccountId;
import org.wigeonferry.core_types.UpstreamId;

/**
 * Reads {@code [remove upstream NAME]} and {@code [remove account NAME]}.
 *
 * <p>Stateless and thread safe.
 */
final class RemoveSectionReader {
    private static final String UPSTREAM = "upstream ";
    private static final String ACCOUNT = "account ";

    private RemoveSectionReader() {}

    static SectionReader create() {
        return section -> {
            section.requireOnlyKeys();
            String name = section.name();
            if (name.startsWith(UPSTREAM)) {
                UpstreamId id = new UpstreamId(name.substring(UPSTREAM.length()));
                return draft -> {
                    if (draft.upstreams().remove(id) == null) {
                        throw section.newError("no such upstream");
                    }
                };
            }
            if (name.startsWith(ACCOUNT)) {
                AccountId id = new AccountId(name.substring(ACCOUNT.length()));
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
