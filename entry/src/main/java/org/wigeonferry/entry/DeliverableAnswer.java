package org.wigeonferry.entry;

import org.wigeonferry.core_types.ModelVersion;

/**
 * A complete answer of one stage, which is delivered if no other stage has a better one.
 *
 * <p>Immutable and thread safe.
 *
 * @param version version that generated the answer
 * @param text text of the answer
 * @param tokens number of tokens generated
 */
record DeliverableAnswer(ModelVersion version, String text, long tokens) {}
