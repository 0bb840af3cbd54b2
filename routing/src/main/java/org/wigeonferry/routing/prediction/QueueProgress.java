package org.wigeonferry.routing.prediction;

/**
 * Estimates how much of a queue of prompts is still to be processed.
 *
 * <p>Routers learn of the progress of a prompt only when it ends. At a random time, half of the
 * prompt that is being processed is done on average; its size is the mean over prompts weighted by
 * size, since large ones are processed for longer. Owned by the control thread.
 */
final class QueueProgress {
    /** Weight of a new prompt in the means. */
    private static final double NEW_PROMPT_WEIGHT = 0.02;

    private double meanTokens;
    private double meanSquare;

    /** Records the tokens of a prompt that is sent. */
    void onSend(double tokens) {
        meanTokens += NEW_PROMPT_WEIGHT * (tokens - meanTokens);
        meanSquare += NEW_PROMPT_WEIGHT * (tokens * tokens - meanSquare);
    }

    /** Tokens that are still to be processed of those of all unfinished prompts. */
    double remainingTokens(double queuedTokens) {
        double sizeWeightedMean = meanTokens > 0 ? meanSquare / meanTokens : 0;
        return queuedTokens - Math.min(queuedTokens, sizeWeightedMean) / 2;
    }
}
