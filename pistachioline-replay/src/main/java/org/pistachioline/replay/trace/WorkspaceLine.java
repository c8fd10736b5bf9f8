package org.pistachioline.replay.trace;

/**
 * A workspace and its limits.
 *
 * @param name the workspace's name
 * @param weight its weight in fair queueing
 * @param requestsPerSecond its request rate over all daemons
 * @param tokensInFlight its tokens in flight over all daemons
 * @param queuedRequests how many of its requests may wait on one daemon
 */
public record WorkspaceLine(String name, Double weight, Double requestsPerSecond, Long tokensInFlight,
		Integer queuedRequests) implements TraceLine {

	private static final double UNLIMITED_PER_SECOND = 1e9;

	private static final long UNLIMITED_TOKENS = 1L << 50;

	private static final int USUAL_QUEUE = 1_000;

	public WorkspaceLine {
		Checks.text("name", name);
		weight = Checks.or(weight, 1.0);
		Checks.between("weight", weight, 1e-6, 1e6);
		requestsPerSecond = Checks.or(requestsPerSecond, UNLIMITED_PER_SECOND);
		tokensInFlight = Checks.or(tokensInFlight, UNLIMITED_TOKENS);
		queuedRequests = Checks.or(queuedRequests, USUAL_QUEUE);
	}

}
