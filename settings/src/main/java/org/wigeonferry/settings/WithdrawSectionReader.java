package org.wigeonferry.settings;

import java.util.Optional;
import org.wigeonferry.core_types.ModelVersion;
import org.wigeonferry.core_types.VersionId;

/**
 * Reads {@code [withdraw NAME]}: the version receives no new work; its sessions move to the
 * successor.
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
                ModelVersion known = draft.versions().get(id);
                if (known == null) {
                    throw section.newError("no such version");
                }
                if (successor.isPresent() && !draft.versions().containsKey(successor.get())) {
                    throw section.newError("no such successor " + successor.get());
                }
                if (successor.filter(id::equals).isPresent()) {
                    throw section.newError("a version can't succeed itself");
                }
                draft.versions()
                        .put(id, known.toBuilder().withdrawn(true).successor(successor).build());
            };
        };
    }
}
