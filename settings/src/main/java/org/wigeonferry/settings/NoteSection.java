package org.wigeonferry.settings;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.ini4j.Profile;
import org.wigeonferry.core_types.ReleaseNoteException;

/**
 * One section of a release note, with typed access to its keys.
 *
 * <p>Not thread safe; used by the thread that parses the note.
 */
final class NoteSection {
    private final Profile.Section section;
    private final String name;

    NoteSection(Profile.Section section, String name) {
        this.section = section;
        this.name = name;
    }

    /** What the section is about: the words behind its kind. */
    String name() {
        return name;
    }

    void requireOnlyKeys(String... keys) throws ReleaseNoteException {
        Set<String> allowed = Set.of(keys);
        for (String key : section.keySet()) {
            if (!allowed.contains(key)) {
                throw newError("unknown key " + key + ", expected one of " + List.of(keys));
            }
        }
    }

    Optional<String> optionalText(String key) {
        return Optional.ofNullable(section.get(key)).map(String::strip);
    }

    <T> Optional<T> optionalValue(String key, String form, Function<String, T> parser)
            throws ReleaseNoteException {
        Optional<String> text = optionalText(key);
        if (text.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(parse(key, text.get(), form, parser));
    }

    <T> T requiredValue(String key, String form, Function<String, T> parser)
            throws ReleaseNoteException {
        Optional<T> value = optionalValue(key, form, parser);
        if (value.isEmpty()) {
            throw newError("missing key " + key + ", expected " + form);
        }
        return value.get();
    }

    <T> T parseName(String form, Function<String, T> parser) throws ReleaseNoteException {
        return parse("the section's name", name, form, parser);
    }

    ReleaseNoteException newError(String message) {
        return new ReleaseNoteException(section.getName(), message);
    }

    private <T> T parse(String key, String text, String form, Function<String, T> parser)
            throws ReleaseNoteException {
        try {
            return parser.apply(text);
        } catch (IllegalArgumentException e) {
            throw newError("bad value of " + key + ": " + text + ", expected " + form);
        }
    }
}
