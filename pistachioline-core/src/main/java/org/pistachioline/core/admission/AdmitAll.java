package org.pistachioline.core.admission;

import java.util.Optional;

import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.traffic.RequestInfo;

/**
 * Admits all requests; the baseline without limits.
 */
public final class AdmitAll implements AdmissionPolicy {

	@Override
	public void configure(long nowNanos, Manifest manifest) {
		// There are no limits to apply.
	}

	@Override
	public Optional<Refusal> admit(long nowNanos, RequestInfo info) {
		return Optional.empty();
	}

	@Override
	public void release(long nowNanos, RequestInfo info) {
		// Admitted requests are not counted.
	}

}
