package org.pistachioline.replay.trace;

/**
 * A model and how its replica groups behave.
 *
 * @param name the model's name
 * @param replicas how many replica groups serve it
 * @param slots how many requests one group batches
 * @param tokenMillis the time from one token to the next
 * @param prefillTokensPerMilli how fast a prompt is read
 * @param cacheBlocks how many blocks of prompts one group caches
 * @param cacheEventMillis how often a daemon reads cache events; 0 for never
 * @param cacheEventLossRatio how many of these readings are lost
 * @param recoverySeconds how long a crashed group takes to come back
 */
public record ModelLine(String name, int replicas, int slots, double tokenMillis, Double prefillTokensPerMilli,
		int cacheBlocks, long cacheEventMillis, double cacheEventLossRatio,
		Double recoverySeconds) implements TraceLine {

	private static final int MOST_REPLICAS = 2_000;

	private static final int MOST_SLOTS = 1_024;

	private static final double MOST_TOKEN_MILLIS = 60_000;

	public ModelLine {
		Checks.text("name", name);
		Checks.between("replicas", replicas, 1, MOST_REPLICAS);
		Checks.between("slots", slots, 1, MOST_SLOTS);
		Checks.between("token_millis", tokenMillis, 1e-3, MOST_TOKEN_MILLIS);
		prefillTokensPerMilli = Checks.or(prefillTokensPerMilli, 10.0);
		Checks.between("prefill_tokens_per_milli", prefillTokensPerMilli, 1e-3, 1e6);
		Checks.between("cache_event_loss_ratio", cacheEventLossRatio, 0, 1);
		recoverySeconds = Checks.or(recoverySeconds, 30.0);
	}

	/**
	 * Returns how long a request holds a slot when nothing is cached.
	 * @param promptTokens the prompt's length
	 * @param outputTokens the answer's length
	 * @return the time, in milliseconds
	 */
	public double serviceMillis(int promptTokens, int outputTokens) {
		return promptTokens / this.prefillTokensPerMilli + outputTokens * this.tokenMillis;
	}

}
