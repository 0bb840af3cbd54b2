package org.wigeonferry.core_types;

/**
 * One change that a release note asks for.
 *
 * <p>Implementations are stateless lambdas and thread safe.
 */
@FunctionalInterface
public interface CatalogChange {
    /**
     * Applies the change to a draft.
     *
     * @throws ReleaseNoteException if the change does not fit the draft
     */
    void applyTo(CatalogDraft draft) throws ReleaseNoteException;
}
