package org.pistachioline.core.route;

import java.util.List;

/**
 * A route, which matches requests by their host and a prefix of their path.
 *
 * @param name the route's name
 * @param host the host that callers name
 * @param pathPrefix the path prefix, which begins and ends with a slash
 * @param kind whether requests may be repeated
 * @param timeoutMillis the time within which the final answer to a request must be sent
 * @param targetLatencyMillis the time within which an answer, or a stream's first event,
 * is of full use to its caller
 * @param eventGapMillis the longest pause between two events of a stream that is of full
 * use to its caller
 * @param maxAttempts the number of targets that a request may be sent to
 * @param priority the route's priority; 0 is the most urgent
 * @param anonymous whether the route may be called without a key
 * @param resumable whether a stream may be resumed at another target
 * @param services the services that share the route's requests
 */
public record Route(String name, String host, String pathPrefix, RouteKind kind, long timeoutMillis,
		long targetLatencyMillis, long eventGapMillis, int maxAttempts, int priority, boolean anonymous,
		boolean resumable, List<WeightedService> services) {

	public Route {
		services = List.copyOf(services);
	}

	/**
	 * Returns whether a request may be sent again after it may have run.
	 * @return whether it is idempotent
	 */
	public boolean idempotent() {
		return this.kind == RouteKind.SAFE || (this.kind == RouteKind.STREAM && this.resumable);
	}

	/**
	 * Selects the service of a request at random by the services' weights.
	 * @param draw a random number from 0 (inclusive) to 1 (exclusive)
	 * @return the service's name
	 */
	public String selectService(double draw) {
		final int total = this.services.stream().mapToInt(WeightedService::weight).sum();
		double remaining = draw * total;
		for (final WeightedService candidate : this.services) {
			remaining -= candidate.weight();
			if (remaining < 0) {
				return candidate.service();
			}
		}
		return this.services.get(this.services.size() - 1).service();
	}

}
