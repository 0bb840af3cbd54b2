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
 * <p>Not thread safe; used by the thread that parses the release note.
 */
final class NoteSection {
    private final Profile.Section section;
    private final String name;

    NoteSection(Profile.Section section, String name) {
        this.section = section;
        this.name = name;
    }

    /** Returns the part of the header after the section type: {@code x} in {@code [version x]}. */
    String name() {
        return name;
    }

    /** Throws if the section has a key that is not one of {@code keys}. */
    void requireOnlyKeys(String... keys) throws ReleaseNoteException {
        Set<String> allowed = Set.of(keys);
        for (String key : section.keySet()) {
            if (!allowed.contains(key)) {
                throw newError("unknown key " + key + ", allowed keys: " + List.of(keys));
            }
        }
    }

    /** Returns the stripped text of a key, or empty if the key is absent. */
    Optional<String> optionalText(String key) {
        return Optional.ofNullable(section.get(key)).map(String::strip);
    }

    /**
     * Parses the text of a key; empty if the key is absent.
     *
     * @param expected describes the valid texts, for the error
     * @param parser throws {@link IllegalArgumentException} on a bad text
     */
    <T> Optional<T> optionalValue(String key, String expected, Function<String, T> parser)
            throws ReleaseNoteException {
        Optional<String> text = optionalText(key);
        if (text.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(parse(key, text.get(), expected, parser));
    }

    /** Does the same as {@link #optionalValue}, but throws if the key is absent. */
    <T> T requiredValue(String key, String expected, Function<String, T> parser)
            throws ReleaseNoteException {
        Optional<T> value = optionalValue(key, expected, parser);
        if (value.isEmpty()) {
            throw newError("missing key " + key + ", expected " + expected);
        }
        return value.get();
    }

    /** Parses {@link #name()}; {@code expected} describes the valid names, for the error. */
    <T> T parseName(String expected, Function<String, T> parser) throws ReleaseNoteException {
        return parse("the section's name", name, expected, parser);
    }

    /** Returns, but does not throw, an error located at this section. */
    ReleaseNoteException newError(String message) {
        return new ReleaseNoteException(section.getName(), message);
    }

    private <T> T parse(String key, String text, String expected, Function<String, T> parser)
            throws ReleaseNoteException {
        try {
            return parser.apply(text);
        } catch (IllegalArgumentException e) {
            throw newError("bad value of " + key + ": " + text + ", expected " + expected);
        }
    }
}
