package org.pistachioline.replay.trace;

/**
 * Arrivals at a mean rate, expanded with the trace's seed.
 *
 * @param workspace the callers' workspace
 * @param target the model or the service
 * @param fromSeconds when they begin
 * @param toSeconds when they end; 0 for the trace's end
 * @param perSecond the mean rate
 * @param loadRatio the mean rate as a part of the model's capacity, in place of a rate
 * @param promptTokens the prompts' length
 * @param outputTokens the answers' mean length
 * @param outputSpreadRatio how far the answers' length departs from its mean
 * @param maxOutputTokens the maximum that callers ask for
 * @param prefixes how many shared prefixes there are; 0 for none
 * @param prefixTokens the length of a shared prefix
 * @param priority the priority
 * @param keyed whether each call has an idempotency key
 * @param repeatMillis after which a refused caller comes again; 0 for after what it was
 * told
 * @param repeats how often a refused caller comes again
 * @param patient whether a caller with a key also repeats answers other than refusals
 */
public record PoissonLine(String workspace, String target, double fromSeconds, double toSeconds, double perSecond,
		double loadRatio, int promptTokens, int outputTokens, double outputSpreadRatio, int maxOutputTokens,
		int prefixes, int prefixTokens, int priority, boolean keyed, long repeatMillis, int repeats,
		boolean patient) implements TraceLine {

	public PoissonLine {
		Checks.text("workspace", workspace);
		Checks.text("target", target);
		Checks.between("per_second", perSecond, 0, 1e6);
		Checks.between("load_ratio", loadRatio, 0, 1e3);
		if (perSecond == 0 && loadRatio == 0) {
			throw new IllegalArgumentException("per_second or load_ratio is missing");
		}
		Checks.between("output_spread_ratio", outputSpreadRatio, 0, 1);
		promptTokens = Math.max(1, promptTokens);
		outputTokens = Math.max(1, outputTokens);
		maxOutputTokens = (maxOutputTokens > 0) ? maxOutputTokens : 2 * outputTokens;
	}

}
