package org.wigeonferry.core_types;

/**
 * A release note with the revision that its commit gave it.
 *
 * <p>Immutable and thread safe.
 *
 * @param revision the revision that the note leads to
 * @param text the note as its operator wrote it
 * @param snapshot whether the text replaces everything before its revision
 */
public record CommittedNote(Revision revision, String text, boolean snapshot) {}
