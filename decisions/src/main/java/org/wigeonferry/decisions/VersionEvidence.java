package org.wigeonferry.decisions;

/**
 * Counts of a version's answers, failed attempts and ratings, on which a roll-out is decided.
 *
 * <p>Immutable and thread safe.
 *
 * @param answers number of complete answers
 * @param errors number of attempts that failed
 * @param ratingCount number of ratings
 * @param ratingSum sum of the ratings, each between 0 and 1
 */
public record VersionEvidence(long answers, long errors, long ratingCount, double ratingSum) {
    /** Evidence without any attempt or rating. */
    public static final VersionEvidence NONE = new VersionEvidence(0, 0, 0, 0);

    /** Sum of this evidence and {@code other}, count by count. */
    public VersionEvidence plus(VersionEvidence other) {
        return new VersionEvidence(
                answers + other.answers,
                errors + other.errors,
                ratingCount + other.ratingCount,
                ratingSum + other.ratingSum);
    }

    /** Counts added since {@code earlier}, a previous total for the same version. */
    public VersionEvidence minus(VersionEvidence earlier) {
        return new VersionEvidence(
                answers - earlier.answers,
                errors - earlier.errors,
                ratingCount - earlier.ratingCount,
                ratingSum - earlier.ratingSum);
    }

    /** Number of attempts, answered or failed. */
    public long attempts() {
        return answers + errors;
    }

    /** Share of attempts that failed, between 0 and 1; 0 without attempts. */
    public double errorRate() {
        return attempts() == 0 ? 0 : (double) errors / attempts();
    }

    /** Mean rating, between 0 and 1; 0 without ratings. */
    public double meanRating() {
        return ratingCount == 0 ? 0 : ratingSum / ratingCount;
    }
}
