package org.pistachioline.core.traffic;

import java.util.Optional;

import org.pistachioline.core.admission.Refusal;
import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.error.RunState;
import org.pistachioline.core.quarantine.SuspectKind;

/**
 * Refuses new requests that this daemon must not or cannot serve, before they are queued.
 */
final class ArrivalAdmission {

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private final TrafficPolicies policies;

	private final TargetRegistry targets;

	private final DrainAdmission drainAdmission;

	private final DeadlineAdmission deadlineAdmission;

	ArrivalAdmission(TrafficPolicies policies, TargetRegistry targets, DrainAdmission drainAdmission,
			DeadlineAdmission deadlineAdmission) {
		this.policies = policies;
		this.targets = targets;
		this.drainAdmission = drainAdmission;
		this.deadlineAdmission = deadlineAdmission;
	}

	/**
	 * Checks a new request.
	 * @param nowNanos the monotonic time
	 * @param info the request
	 * @return the failure of a refused request; empty if it may be queued
	 */
	Optional<TrafficAction.Fail> check(long nowNanos, RequestInfo info) {
		final Optional<TrafficAction.Fail> leaving = this.drainAdmission.check(nowNanos, info)
			.map((refusal) -> failure(info, refusal, FailureReason.NOT_ADMITTED));
		if (leaving.isPresent()) {
			return leaving;
		}
		final Optional<SuspectKind> quarantinedBy = this.policies.quarantine()
			.quarantinedBy(info.fingerprint(), info.sharedPromptParts());
		if (quarantinedBy.isPresent()) {
			return Optional
				.of(failure(info, new Refusal(ErrorKind.QUARANTINED, 0), FailureReason.of(quarantinedBy.get())));
		}
		return checkCapacity(nowNanos, info).map((refusal) -> failure(info, refusal, FailureReason.NOT_ADMITTED));
	}

	private Optional<Refusal> checkCapacity(long nowNanos, RequestInfo info) {
		if (!this.targets.hasTargetSet(info)) {
			return Optional.of(new Refusal(ErrorKind.NO_CAPACITY, RETRY_AFTER_MILLIS));
		}
		return this.deadlineAdmission.check(nowNanos, info).or(() -> this.policies.admission().admit(nowNanos, info));
	}

	private static TrafficAction.Fail failure(RequestInfo info, Refusal refusal, FailureReason reason) {
		return new TrafficAction.Fail(info.requestId(), refusal.kind(), RunState.NOT_RUN, refusal.retryAfterMillis(),
				reason);
	}

}
