package org.wigeonferry.core_types;

/**
 * Renders a whole catalog as the text of a release note.
 *
 * <p>Implementations are pure. Applying the text to the empty catalog gives an equal catalog.
 */
@FunctionalInterface
public interface CatalogRenderer {
    /** Returns the text of a release note that rebuilds the catalog from the empty one. */
    String render(Catalog catalog);
}
