package org.wigeonferry.settings;

import org.wigeonferry.core_types.ZoneId;

/**
 * Reads {@code [zone NAME]}, which disables an availability zone ({@code state = out}) or enables
 * it again ({@code state = in}).
 *
 * <p>Stateless and thread safe.
 */
final class ZoneSectionReader {
    private ZoneSectionReader() {}

    static SectionReader create() {
        return section -> {
            section.requireOnlyKeys("state");
            ZoneId id = section.parseName("a zone name", ZoneId::new);
            boolean disabled =
                    section.requiredValue(
                            "state",
                            "in or out",
                            text -> NoteValueParsers.parseOneOf(text, "out", true, "in", false));
            return draft -> {
                if (disabled) {
                    draft.disabledZones().add(id);
                } else {
                    draft.disabledZones().remove(id);
                }
            };
        };
    }
}
