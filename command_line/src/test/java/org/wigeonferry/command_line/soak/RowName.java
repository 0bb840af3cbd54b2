package org.wigeonferry.command_line.soak;

/**
 * Names a row of the store.
 *
 * <p>Immutable and thread safe.
 */
record RowName(String table, String key) {}
