package org.wigeonferry.core_types;

import java.util.List;
import java.util.Optional;

/**
 * Builds a {@link ReleaseNote}.
 *
 * <p>Not thread safe; a builder belongs to the thread that made it.
 */
public final class ReleaseNoteBuilder {
    private String operationId;
    private String author = "";
    private String reason = "";
    private Optional<Revision> baseRevision = Optional.empty();
    private List<CatalogChange> changes = List.of();
    private String text = "";

    ReleaseNoteBuilder() {}

    /** Sets names this change; a repeated commit of the same operation has no effect. */
    public ReleaseNoteBuilder operationId(String value) {
        this.operationId = value;
        return this;
    }

    /** Sets who asks for the change. */
    public ReleaseNoteBuilder author(String value) {
        this.author = value;
        return this;
    }

    /** Sets why. */
    public ReleaseNoteBuilder reason(String value) {
        this.reason = value;
        return this;
    }

    /** Sets the revision that the author read, if the author insists on it. */
    public ReleaseNoteBuilder baseRevision(Optional<Revision> value) {
        this.baseRevision = value;
        return this;
    }

    /** Sets the changes in their order. */
    public ReleaseNoteBuilder changes(List<CatalogChange> value) {
        this.changes = value;
        return this;
    }

    /** Sets the note as written. */
    public ReleaseNoteBuilder text(String value) {
        this.text = value;
        return this;
    }

    /** Builds the value; fails on a field that breaks an invariant of {@link ReleaseNote}. */
    public ReleaseNote build() {
        return new ReleaseNote(operationId, author, reason, baseRevision, changes, text);
    }
}
