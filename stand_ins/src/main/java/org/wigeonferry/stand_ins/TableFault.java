package org.wigeonferry.stand_ins;

/**
 * How a stand-in table service misbehaves.
 *
 * <p>Immutable and thread safe.
 */
public enum TableFault {
    /** It works. */
    NONE,
    /** It does nothing and gives no answer. */
    DOWN,
    /** Writes take effect, but their answers are lost. */
    ANSWER_LOST,
    /** It answers late. */
    SLOW
}
