package org.wigeonferry.settings;

import java.util.Optional;
import org.wigeonferry.core_types.ModelVersion;
import org.wigeonferry.core_types.VersionId;

/**
 * Reads {@code [withdraw NAME]}, which removes a model version from service. Its sessions continue
 * on the successor, if the section has one.
 *
 * <p>Stateless and thread safe.
 */
final class WithdrawSectionReader {
    private WithdrawSectionReader() {}

    static SectionReader create() {
        return section -> {
            section.requireOnlyKeys("successor");
            VersionId id = section.parseName("a version name", VersionId::new);
            Optional<VersionId> successor =
                    section.optionalValue("successor", "a version name", VersionId::new);
            return draft -> {
                ModelVersion existing = draft.versions().get(id);
                if (existing == null) {
                    throw section.newError("no such version");
                }
                if (successor.isPresent() && !draft.versions().containsKey(successor.get())) {
                    throw section.newError("no such successor " + successor.get());
                }
                if (successor.filter(id::equals).isPresent()) {
                    throw section.newError("a version can't be its own successor");
                }
                draft.versions()
                        .put(id, existing.toBuilder().withdrawn(true).successor(successor).build());
            };
        };
    }
}
