package org.wigeonferry.core_types;

/**
 * Number of a committed configuration; a later one is always greater.
 *
 * <p>Immutable and thread safe.
 *
 * @param number zero before the first release note
 */
public record Revision(long number) {
    public Revision {

        if (number < 0) {
            throw new IllegalArgumentException("revision below zero: " + number);
        }
    }

    /** The revision before the first release note. */
    public static final Revision NONE = new Revision(0);

    /** Returns the revision that follows this one. */
    public Revision next() {
        return new Revision(number + 1);
    }

    /** Tells whether this revision precedes the other. */
    public boolean isBefore(Revision other) {
        return number < other.number;
    }
}
