package org.wigeonferry.settings;

import org.wigeonferry.core_types.ZoneId;

/**
 * Reads {@code [zone NAME]}: takes an availability zone out or back in.
 *
 * <p>Stateless and thread safe.
 */
final class ZoneSectionReader {
    private ZoneSectionReader() {}

    static SectionReader create() {
        return section -> {
            section.requireOnlyKeys("state");
            ZoneId id = section.parseName("a zone name", ZoneId::new);
            boolean out =
                    section.requiredValue(
                            "state",
                            "in or out",
                            text -> NoteValueParsers.parseOneOf(text, "out", true, "in", false));
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
