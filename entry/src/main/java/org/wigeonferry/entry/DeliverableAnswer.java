package org.wigeonferry.entry;

import org.wigeonferry.core_types.ModelVersion;

/**
 * A whole answer that may be delivered.
 *
 * <p>Immutable and thread safe.
 *
 * @param version version that gave it
 * @param text its text
 * @param tokens tokens generated for it
 */
record DeliverableAnswer(ModelVersion version, String text, long tokens) {}
