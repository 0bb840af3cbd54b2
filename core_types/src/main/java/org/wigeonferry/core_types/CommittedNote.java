package org.wigeonferry.core_types;

/**
 * The text of a committed release note and the revision that the commit gave it.
 *
 * <p>Immutable and thread safe.
 *
 * @param revision the revision of the configuration after the note
 * @param text the text as its author wrote it, or as rendered for a snapshot
 * @param snapshot whether the text holds the whole configuration, so that it is applied without the
 *     notes before it
 */
public record CommittedNote(Revision revision, String text, boolean snapshot) {}
