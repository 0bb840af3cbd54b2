package org.wigeonferry.core_types;

/**
 * Revision number of the configuration; each committed release note raises it by one.
 *
 * <p>Immutable and thread safe.
 *
 * @param number how many release notes have been committed
 */
public record Revision(long number) {
    public Revision {

        if (number < 0) {
            throw new IllegalArgumentException("revision must not be negative, was " + number);
        }
    }

    /** The revision before the first release note. */
    public static final Revision NONE = new Revision(0);

    /** Returns the revision that follows this one. */
    public Revision next() {
        return new Revision(number + 1);
    }

    /** Returns whether this revision is older than the other. */
    public boolean isBefore(Revision other) {
        return number < other.number;
    }
}
