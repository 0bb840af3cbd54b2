package org.wigeonferry.settings;

import org.wigeonferry.core_types.ZoneId;

/**
 * Reads {@code [zone NAME]}: takes an availability zone out or back in.
 *
 * <p>Stateless and thread safe.
 */
final class ZoneSection {
    private ZoneSection() {}

    static SectionReader reader() {
        return section -> {
            section.allow("state");
            ZoneId id = section.named("a zone name", ZoneId::new);
            boolean out =
                    section.required(
                            "state",
                            "in or out",
                            text -> NoteValues.oneOf(text, "out", true, "in", false));
            return draft -> {
                if (out) {
                    draft.disabledZones().add(id);
                } else {
                    draft.disabledZones().remove(id);
                }
            };
        };
    }
}
