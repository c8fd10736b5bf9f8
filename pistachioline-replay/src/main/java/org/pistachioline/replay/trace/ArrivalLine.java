package org.pistachioline.replay.trace;

import java.util.List;

/**
 * One arrival.
 *
 * @param atMillis when it comes
 * @param workspace the caller's workspace
 * @param target the model or the service
 * @param promptTokens the prompt's length
 * @param outputTokens the answer's length
 * @param maxOutputTokens the maximum that the caller asks for
 * @param priority the priority
 * @param prefixHashes hashes of the prompt's growing prefixes
 * @param fingerprint what makes it the same request as another; empty for its own
 * @param crashes whether a target that runs it crashes
 * @param key its idempotency key; empty for none
 * @param repeatMillis after which a refused caller comes again; 0 for after what it was
 * told
 * @param repeats how often a refused caller comes again
 * @param patient whether the caller also repeats answers other than refusals
 */
public record ArrivalLine(double atMillis, String workspace, String target, int promptTokens, int outputTokens,
		int maxOutputTokens, int priority, List<Long> prefixHashes, String fingerprint, boolean crashes, String key,
		long repeatMillis, int repeats, boolean patient) implements TraceLine {

	public ArrivalLine {
		Checks.between("at_millis", atMillis, 0, 1e12);
		Checks.text("workspace", workspace);
		Checks.text("target", target);
		prefixHashes = List.copyOf(Checks.or(prefixHashes, List.of()));
		fingerprint = Checks.or(fingerprint, "");
		key = Checks.or(key, "");
		promptTokens = Math.max(1, promptTokens);
		outputTokens = Math.max(1, outputTokens);
		maxOutputTokens = Math.max(outputTokens, maxOutputTokens);
	}

}
