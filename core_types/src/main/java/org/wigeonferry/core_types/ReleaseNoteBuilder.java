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

    /** Sets the id of the release note; committing the same id again has no effect. */
    public ReleaseNoteBuilder operationId(String value) {
        this.operationId = value;
        return this;
    }

    /** Sets the operator or process that orders the changes. */
    public ReleaseNoteBuilder author(String value) {
        this.author = value;
        return this;
    }

    /** Sets why the author orders the changes. */
    public ReleaseNoteBuilder reason(String value) {
        this.reason = value;
        return this;
    }

    /** Sets the revision that must be current at the commit; empty for any. */
    public ReleaseNoteBuilder baseRevision(Optional<Revision> value) {
        this.baseRevision = value;
        return this;
    }

    /** Sets the changes, in the order in which they are applied. */
    public ReleaseNoteBuilder changes(List<CatalogChange> value) {
        this.changes = value;
        return this;
    }

    /** Sets the text from which the release note was parsed. */
    public ReleaseNoteBuilder text(String value) {
        this.text = value;
        return this;
    }

    /** Builds the release note with a copy of the list of changes. */
    public ReleaseNote build() {
        return new ReleaseNote(operationId, author, reason, baseRevision, changes, text);
    }
}
