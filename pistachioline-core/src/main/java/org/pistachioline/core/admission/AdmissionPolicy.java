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
