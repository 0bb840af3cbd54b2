package org.wigeonferry.core_types;

/**
 * Writes a whole catalog as the text of a release note.
 *
 * <p>Implementations are pure. Applying the text to the empty catalog gives an equal catalog.
 */
@FunctionalInterface
public interface CatalogRenderer {
    /** Writes the text. */
    String render(Catalog catalog);
}
