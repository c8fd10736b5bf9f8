package org.pistachioline.core.route;

import java.util.List;

/**
 * One route: requests for a host whose path begins with a prefix.
 *
 * @param name the route's name
 * @param host the host that callers name
 * @param pathPrefix the prefix; it begins and ends with a slash
 * @param kind what may be repeated
 * @param timeoutMillis how long a request may be kept without its final answer
 * @param targetLatencyMillis within what time an answer, or a stream's first event, is of
 * full use to its caller
 * @param eventGapMillis the longest pause between two events of a stream that is of full
 * use
 * @param maxAttempts how many targets one request may be sent to
 * @param priority its rank; 0 is the most urgent
 * @param anonymous whether it may be called without a key
 * @param resumable whether a stream may be resumed at another target
 * @param services where its requests go
 */
public record Route(String name, String host, String pathPrefix, RouteKind kind, long timeoutMillis,
		long targetLatencyMillis, long eventGapMillis, int maxAttempts, int priority, boolean anonymous,
		boolean resumable, List<WeightedService> services) {

	public Route {
		services = List.copyOf(services);
	}

	/**
	 * Returns whether a request of this route may be sent again once it may have run.
	 * @return whether it is idempotent
	 */
	public boolean idempotent() {
		return this.kind == RouteKind.SAFE || (this.kind == RouteKind.STREAM && this.resumable);
	}

	/**
	 * Chooses the service of one request by the weights.
	 * @param draw a number drawn by chance, from 0 to 1, without 1
	 * @return the service's name
	 */
	public String selectService(double draw) {
		final int total = this.services.stream().mapToInt(WeightedService::weight).sum();
		double left = draw * total;
		for (final WeightedService candidate : this.services) {
			left -= candidate.weight();
			if (left < 0) {
				return candidate.service();
			}
		}
		return this.services.get(this.services.size() - 1).service();
	}

}
