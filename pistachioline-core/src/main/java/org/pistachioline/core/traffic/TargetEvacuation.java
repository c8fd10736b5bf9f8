package org.pistachioline.core.traffic;

import java.util.Optional;
import java.util.Set;

import org.pistachioline.core.admission.Refusal;
import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.placement.TargetSet;

/**
 * Refuses requests whose targets are all in availability zones that operators evacuate.
 * Without it they would wait for a target until their deadline.
 */
public final class TargetEvacuation {

	/** An evacuation lasts for seconds at least. */
	private static final double RETRY_AFTER_MILLIS = 3_000;

	private static final long MAX_RETRY_AFTER_MILLIS = 60_000;

	private final TargetRegistry targets;

	private final ActiveRequests activeRequests;

	private Set<String> zones = Set.of();

	TargetEvacuation(TargetRegistry targets, ActiveRequests activeRequests) {
		this.targets = targets;
		this.activeRequests = activeRequests;
	}

	/**
	 * Applies the zones to evacuate. Requests that wait for their targets alone are
	 * refused with the next tick.
	 * @param availabilityZones the zones
	 */
	public void onZones(Set<String> availabilityZones) {
		this.zones = Set.copyOf(availabilityZones);
	}

	Optional<Refusal> check(RequestInfo info) {
		if (this.zones.isEmpty()) {
			return Optional.empty();
		}
		final TargetSet set = this.targets.targetSet(info);
		final boolean evacuated = set != null && !set.members().isEmpty()
				&& set.members()
					.stream()
					.allMatch((load) -> !load.view().serving() && this.zones.contains(load.view().availabilityZone()));
		return evacuated ? Optional
			.of(Refusal.withJitter(ErrorKind.NO_CAPACITY, info.requestId(), RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS))
				: Optional.empty();
	}

	void onTick(long nowNanos) {
		if (!this.zones.isEmpty()) {
			this.activeRequests.all()
				.stream()
				.filter((request) -> request.queued)
				.forEach((request) -> check(request.info).ifPresent((refusal) -> this.activeRequests.fail(nowNanos,
						request, refusal.kind(), refusal.retryAfterMillis())));
		}
	}

}
