package org.wigeonferry.measurements;

/**
 * What is wrong with a version.
 *
 * <p>Immutable and thread safe.
 *
 * @param name what it is called
 * @param ratingLoss loss in mean rating
 * @param errorShare further share of attempts that fail
 */
record VersionFault(String name, double ratingLoss, double errorShare) {
    /** Nothing is wrong. */
    static final VersionFault NONE = new VersionFault("none", 0, 0);
}
