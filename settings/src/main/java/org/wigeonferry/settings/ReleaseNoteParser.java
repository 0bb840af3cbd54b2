package org.wigeonferry.settings;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ini4j.Ini;
import org.ini4j.Profile;
import org.wigeonferry.core_types.CatalogChange;
import org.wigeonferry.core_types.ReleaseNote;
import org.wigeonferry.core_types.ReleaseNoteException;
import org.wigeonferry.core_types.Revision;

/**
 * Parses release notes: operators' changes to the configuration, in INI syntax.
 *
 * <p>Deterministic: every process parses a text to the same changes. Stateless and thread safe.
 */
public final class ReleaseNoteParser {
    /** Maximum length of a release note's text in characters. */
    public static final int MAX_NOTE_CHARS = 1 << 20;

    private static final String NOTE_SECTION = "note";
    private static final Map<String, SectionReader> READERS_BY_SECTION_TYPE =
            Map.of(
                    "version", VersionSectionReader.create(),
                    "withdraw", WithdrawSectionReader.create(),
                    "account", AccountSectionReader.create(),
                    "class", RequestClassSectionReader.create(),
                    "upstream", UpstreamSectionReader.create(),
                    "remove", RemoveSectionReader.create(),
                    "zone", ZoneSectionReader.create(),
                    "drain", DrainSectionReader.create());

    private ReleaseNoteParser() {}

    /**
     * Parses a release note.
     *
     * @throws ReleaseNoteException if the text is too long or not INI, or has a section or key that
     *     is unknown, repeated or invalid
     */
    public static ReleaseNote parse(String text) throws ReleaseNoteException {
        if (text.length() > MAX_NOTE_CHARS) {
            throw new ReleaseNoteException(
                    NOTE_SECTION, "longer than " + MAX_NOTE_CHARS + " characters");
        }
        Ini ini = parseIni(text);
        Profile.Section noteSection = ini.get(NOTE_SECTION);
        if (noteSection == null) {
            throw new ReleaseNoteException(NOTE_SECTION, "missing section");
        }
        NoteSection note = new NoteSection(noteSection, NOTE_SECTION);
        note.requireOnlyKeys("operation", "author", "reason", "base");
        Optional<Revision> baseRevision =
                note.optionalValue(
                        "base", "a revision number", s -> new Revision(Long.parseLong(s)));
        return ReleaseNote.builder()
                .operationId(
                        note.requiredValue(
                                "operation",
                                "1 to 128 letters, digits or ._:- characters",
                                NoteValueParsers::parseOperationId))
                .author(note.optionalText("author").orElse(""))
                .reason(note.optionalText("reason").orElse(""))
                .baseRevision(baseRevision)
                .changes(parseChanges(ini))
                .text(text)
                .build();
    }

    private static Ini parseIni(String text) throws ReleaseNoteException {
        Ini ini;
        try {
            ini = IniParser.parse(text);
        } catch (IOException e) {
            throw new ReleaseNoteException(NOTE_SECTION, "not an INI file: " + e.getMessage());
        }
        List<String> duplicates = IniParser.duplicateErrors(ini);
        if (!duplicates.isEmpty()) {
            throw new ReleaseNoteException(NOTE_SECTION, String.join("; ", duplicates));
        }
        return ini;
    }

    private static List<CatalogChange> parseChanges(Ini ini) throws ReleaseNoteException {
        List<CatalogChange> changes = new ArrayList<>();
        for (Profile.Section section : ini.values()) {
            if (section.getName().equals(NOTE_SECTION)) {
                continue;
            }
            String[] headerParts = section.getName().split(" ", 2);
            SectionReader reader = READERS_BY_SECTION_TYPE.get(headerParts[0]);
            if (reader == null || headerParts.length < 2) {
                throw new ReleaseNoteException(
                        section.getName(),
                        "section header must be one of "
                                + READERS_BY_SECTION_TYPE.keySet()
                                + " followed by a name");
            }
            changes.add(reader.read(new NoteSection(section, headerParts[1].strip())));
        }
        return changes;
    }
}
