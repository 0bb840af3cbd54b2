package org.wigeonferry.decisions;

/**
 * What was seen of a version's answers.
 *
 * <p>Immutable and thread safe.
 *
 * @param answers whole answers
 * @param errors attempts that failed
 * @param ratingCount number of ratings
 * @param ratingSum sum of the ratings
 */
public record VersionEvidence(long answers, long errors, long ratingCount, double ratingSum) {
    /** Nothing seen. */
    public static final VersionEvidence NONE = new VersionEvidence(0, 0, 0, 0);

    /** Both together. */
    public VersionEvidence plus(VersionEvidence other) {
        return new VersionEvidence(
                answers + other.answers,
                errors + other.errors,
                ratingCount + other.ratingCount,
                ratingSum + other.ratingSum);
    }

    /** What came after an earlier state of the same evidence. */
    public VersionEvidence minus(VersionEvidence earlier) {
        return new VersionEvidence(
                answers - earlier.answers,
                errors - earlier.errors,
                ratingCount - earlier.ratingCount,
                ratingSum - earlier.ratingSum);
    }

    /** Attempts seen, whole or failed. */
    public long attempts() {
        return answers + errors;
    }

    /** Share of attempts that failed; zero if none was seen. */
    public double errorRate() {
        return attempts() == 0 ? 0 : (double) errors / attempts();
    }

    /** Mean rating; zero if none was seen. */
    public double meanRating() {
        return ratingCount == 0 ? 0 : ratingSum / ratingCount;
    }
}
