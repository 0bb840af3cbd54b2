package org.wigeonferry.settings;

import org.wigeonferry.core_types.Upstream;
import org.wigeonferry.core_types.UpstreamId;

/**
 * Reads {@code [drain NAME]}, which sets an upstream to draining: it takes no new work. An {@code
 * [upstream NAME]} section with {@code leaving = false} ends this.
 *
 * <p>Stateless and thread safe.
 */
final class DrainSectionReader {
    private DrainSectionReader() {}

    static SectionReader create() {
        return section -> {
            section.requireOnlyKeys();
            UpstreamId id = section.parseName("an upstream name", UpstreamId::new);
            return draft -> {
                Upstream existing = draft.upstreams().get(id);
                if (existing == null) {
                    throw section.newError("no such upstream");
                }
                draft.upstreams().put(id, existing.toBuilder().draining(true).build());
            };
        };
    }
}
