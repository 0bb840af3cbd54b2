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
final class WithdrawSection {
    private WithdrawSection() {}

    static SectionReader reader() {
        return section -> {
            section.allow("successor");
            VersionId id = section.named("a version name", VersionId::new);
            Optional<VersionId> successor =
                    section.value("successor", "a version name", VersionId::new);
            return draft -> {
                ModelVersion known = draft.versions().get(id);
                if (known == null) {
                    throw section.error("no such version");
                }
                if (successor.isPresent() && !draft.versions().containsKey(successor.get())) {
                    throw section.error("no such successor " + successor.get());
                }
                if (successor.filter(id::equals).isPresent()) {
                    throw section.error("a version can't succeed itself");
                }
                draft.versions()
                        .put(id, known.toBuilder().withdrawn(true).successor(successor).build());
            };
        };
    }
}
