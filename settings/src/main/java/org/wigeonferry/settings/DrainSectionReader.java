package org.wigeonferry.settings;

import org.wigeonferry.core_types.Upstream;
import org.wigeonferry.core_types.UpstreamId;

/**
 * Reads {@code [drain NAME]}: the upstream is leaving and receives no new work.
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
                Upstream known = draft.upstreams().get(id);
                if (known == null) {
                    throw section.newError("no such upstream");
                }
                draft.upstreams().put(id, known.toBuilder().draining(true).build());
            };
        };
    }
}
