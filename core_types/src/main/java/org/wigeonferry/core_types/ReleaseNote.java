package org.wigeonferry.core_types;

import java.util.List;
import java.util.Optional;

/**
 * A parsed release note: an operator's change to the configuration, with its author and reason.
 *
 * <p>Immutable and thread safe.
 *
 * @param operationId identifies the release note; committing the same id again has no effect
 * @param author the operator or process that orders the changes
 * @param reason why the author orders the changes
 * @param baseRevision if present, the commit fails unless this is the current revision
 * @param changes the changes, in the order in which they are applied
 * @param text the text from which the release note was parsed
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

    /** Returns a builder; the operation id must be set. */
    public static ReleaseNoteBuilder builder() {
        return new ReleaseNoteBuilder();
    }

    /** Returns a builder initialised with the fields of this record. */
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
