package org.pistachioline.core.admission;

import java.util.Map;
import java.util.Optional;

import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.traffic.RequestInfo;

/**
 * A policy that decides whether a request is admitted.
 */
public interface AdmissionPolicy {

	/**
	 * Applies the limits of a manifest.
	 * @param nowNanos the monotonic time
	 * @param manifest the manifest in force
	 */
	void configure(long nowNanos, Manifest manifest);

	/**
	 * Admits a request and counts it against its workspace's limits, or refuses it.
	 * @param nowNanos the monotonic time
	 * @param info the request
	 * @return the refusal; empty where the request is admitted
	 */
	Optional<Refusal> admit(long nowNanos, RequestInfo info);

	/**
	 * Sets how the slots of targets are counted. Called once, before any request.
	 * @param slots counts the slots
	 */
	default void bind(SlotCounts slots) {
		// Only policies that compare demand with capacity use the slots.
	}

	/**
	 * Counts a request that arrives, whether it is admitted or not.
	 * @param nowNanos the monotonic time
	 * @param info the request
	 * @return the request with what is known of its caller: one that has waited before
	 * has an earlier soft deadline
	 */
	default RequestInfo onArrival(long nowNanos, RequestInfo info) {
		return info;
	}

	/**
	 * Records that a request was answered by its first attempt.
	 * @param nowNanos the monotonic time
	 * @param info the request
	 * @param slotNanos how long it held a slot
	 * @param waitNanos how long it waited for the slot
	 */
	default void onServed(long nowNanos, RequestInfo info, long slotNanos, long waitNanos) {
		// Only policies that compare demand with capacity use the times.
	}

	/**
	 * Returns after which delay the caller of a request that was admitted, but did not
	 * get a slot, may retry.
	 * @param nowNanos the monotonic time
	 * @param info the request
	 * @param defaultMillis the delay that applies without a better estimate
	 * @return the delay, in milliseconds
	 */
	default long retryAfterMillis(long nowNanos, RequestInfo info, long defaultMillis) {
		return defaultMillis;
	}

	/**
	 * Sets this daemon's shares of the limits.
	 * @param nowNanos the monotonic time
	 * @param shareRatios the share of each workspace's limits, by workspace; 1 where a
	 * workspace is absent
	 */
	default void updateShares(long nowNanos, Map<String, Double> shareRatios) {
		// Policies without limits have no shares.
	}

	/**
	 * Returns this daemon's recent demand, by which its shares are determined.
	 * @param nowNanos the monotonic time
	 * @return the requests per second that arrived recently, by workspace
	 */
	default Map<String, Double> demand(long nowNanos) {
		return Map.of();
	}

	/**
	 * Releases what an admitted request holds, when it ends.
	 * @param nowNanos the monotonic time
	 * @param info the request
	 */
	void release(long nowNanos, RequestInfo info);

}
