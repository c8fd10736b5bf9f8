package org.pistachioline.core.admission;

import java.util.Map;
import java.util.Optional;

import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.traffic.RequestInfo;

/**
 * Decides whether a request may enter.
 */
public interface AdmissionPolicy {

	/**
	 * Takes over the limits of a manifest.
	 * @param nowNanos the monotonic time
	 * @param manifest the manifest in force
	 */
	void configure(long nowNanos, Manifest manifest);

	/**
	 * Admits a request and counts it, or refuses it.
	 * @param nowNanos the monotonic time
	 * @param info the request
	 * @return the refusal; empty where the request is admitted
	 */
	Optional<Refusal> admit(long nowNanos, RequestInfo info);

	/**
	 * Takes over this daemon's shares of the limits.
	 * @param nowNanos the monotonic time
	 * @param shareRatios the share of each workspace's limits, by workspace; 1 where a
	 * workspace is absent
	 */
	default void updateShares(long nowNanos, Map<String, Double> shareRatios) {
		// Without limits there are no shares.
	}

	/**
	 * Returns the demand for which this daemon wants its shares.
	 * @param nowNanos the monotonic time
	 * @return the requests a second that came lately, by workspace
	 */
	default Map<String, Double> demand(long nowNanos) {
		return Map.of();
	}

	/**
	 * Gives back what an admitted request held.
	 * @param nowNanos the monotonic time
	 * @param info the request
	 */
	void release(long nowNanos, RequestInfo info);

}
