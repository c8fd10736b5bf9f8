package org.pistachioline.core.admission;

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
	 * Gives back what an admitted request held.
	 * @param nowNanos the monotonic time
	 * @param info the request
	 */
	void release(long nowNanos, RequestInfo info);

}
