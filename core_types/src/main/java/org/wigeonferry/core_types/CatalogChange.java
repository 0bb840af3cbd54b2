package org.wigeonferry.core_types;

/**
 * One change to the catalog that a release note orders.
 *
 * <p>Implementations are stateless lambdas and thread safe.
 */
@FunctionalInterface
public interface CatalogChange {
    /**
     * Applies the change to a draft.
     *
     * @throws ReleaseNoteException if the change refers to something that the draft lacks, or sets
     *     an invalid value
     */
    void applyTo(CatalogDraft draft) throws ReleaseNoteException;
}
