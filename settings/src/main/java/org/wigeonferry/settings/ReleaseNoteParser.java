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
 * Reads release notes.
 *
 * <p>The same text gives the same changes on every process. Stateless and thread safe.
 */
public final class ReleaseNoteParser {
    /** Longest note in characters. */
    public static final int MAX_NOTE_CHARS = 1 << 20;

    private static final String HEAD = "note";
    private static final Map<String, SectionReader> READERS =
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

    /** Parses a note; every section must be known. */
    public static ReleaseNote parse(String text) throws ReleaseNoteException {
        if (text.length() > MAX_NOTE_CHARS) {
            throw new ReleaseNoteException(HEAD, "longer than " + MAX_NOTE_CHARS + " characters");
        }
        Ini ini = load(text);
        Profile.Section head = ini.get(HEAD);
        if (head == null) {
            throw new ReleaseNoteException(HEAD, "missing section");
        }
        NoteSection note = new NoteSection(head, HEAD);
        note.requireOnlyKeys("operation", "author", "reason", "base");
        Optional<Revision> base =
                note.optionalValue("base", "a revision", s -> new Revision(Long.parseLong(s)));
        return ReleaseNote.builder()
                .operationId(
                        note.requiredValue(
                                "operation", "a unique name", NoteValueParsers::parseOperationId))
                .author(note.optionalText("author").orElse(""))
                .reason(note.optionalText("reason").orElse(""))
                .baseRevision(base)
                .changes(changes(ini))
                .text(text)
                .build();
    }

    private static Ini load(String text) throws ReleaseNoteException {
        Ini ini;
        try {
            ini = IniParser.parse(text);
        } catch (IOException e) {
            throw new ReleaseNoteException(HEAD, "not an INI file: " + e.getMessage());
        }
        List<String> repeats = IniParser.duplicateErrors(ini);
        if (!repeats.isEmpty()) {
            throw new ReleaseNoteException(HEAD, String.join("; ", repeats));
        }
        return ini;
    }

    private static List<CatalogChange> changes(Ini ini) throws ReleaseNoteException {
        List<CatalogChange> changes = new ArrayList<>();
        for (Profile.Section section : ini.values()) {
            if (section.getName().equals(HEAD)) {
                continue;
            }
            String[] words = section.getName().split(" ", 2);
            SectionReader reader = READERS.get(words[0]);
            if (reader == null || words.length < 2) {
                throw new ReleaseNoteException(
                        section.getName(),
                        "expected a kind of " + READERS.keySet() + " and a name");
            }
            changes.add(reader.read(new NoteSection(section, words[1].strip())));
        }
        return changes;
    }
}
