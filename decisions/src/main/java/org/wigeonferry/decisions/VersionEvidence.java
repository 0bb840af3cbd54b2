package org.wigeonferry.decisions;

/**
 * What was seen of a version's answers.
 *
 * <p>Immutable and thread safe.
 *
 * @param answers whole answers
 * @param errors attempts that failed
 * @param ratings number of ratings
 * @param ratingSum sum of the ratings
 */
public record VersionEvidence(long answers, long errors, long ratings, double ratingSum) {
    /** Nothing seen. */
    public static final VersionEvidence NONE = new VersionEvidence(0, 0, 0, 0);

    /** Both together. */
    public VersionEvidence plus(VersionEvidence other) {
        return new VersionEvidence(
                answers + other.answers,
                errors + other.errors,
                ratings + other.ratings,
                ratingSum + other.ratingSum);
    }

    /** What came after an earlier state of the same evidence. */
    public VersionEvidence since(VersionEvidence earlier) {
        return new VersionEvidence(
                answers - earlier.answers,
                errors - earlier.errors,
                ratings - earlier.ratings,
                ratingSum - earlier.ratingSum);
    }

    /** Attempts seen, whole or failed. */
    public long attempts() {
        return answers + errors;
    }

    /** Share of attempts that failed; zero if none was seen. */
    public double errorShare() {
        return attempts() == 0 ? 0 : (double) errors / attempts();
    }

    /** Mean rating; zero if none was seen. */
    public double meanRating() {
        return ratings == 0 ? 0 : ratingSum / ratings;
    }
}
