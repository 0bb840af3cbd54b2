package org.wigeonferry.core_types;

import java.util.List;
import java.util.Optional;

/**
 * A parsed release note: who changes what, and why.
 *
 * <p>Immutable and thread safe.
 *
 * @param operationId names this change; a repeated commit of the same operation has no effect
 * @param author who asks for the change
 * @param reason why
 * @param baseRevision the revision that the author read, if the author insists on it
 * @param changes the changes in their order
 * @param text the note as written
 */
public record ReleaseNote(
        String operationId,
        String author,
        String reason,
        Optional<Revision> baseRevision,
        List<CatalogChange> changes,
        String text) {
    public ReleaseNote {
        changes = List.copyOf(changes);
    }

    /** Starts a builder with the default of every optional field. */
    public static ReleaseNoteBuilder builder() {
        return new ReleaseNoteBuilder();
    }

    /** Starts a builder that holds this value's fields. */
    public ReleaseNoteBuilder toBuilder() {
        return new ReleaseNoteBuilder()
                .operationId(operationId)
                .author(author)
                .reason(reason)
                .baseRevision(baseRevision)
                .changes(changes)
                .text(text);
    }
}
