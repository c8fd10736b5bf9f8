package org.pistachioline.core.traffic;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.error.RunState;
import org.pistachioline.core.quarantine.GossipQuarantine;
import org.pistachioline.core.quarantine.TargetCrash;
import org.pistachioline.core.retry.RetryBudget;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a refusal tells whether the request itself is quarantined or a part of its
 * prompt, so that operators see which verdict refuses sound requests.
 */
class QuarantineReasonTests {

	private static final long SECOND_NANOS = 1_000_000_000L;

	private final TrafficCore core = new TrafficCore(RoutingPolicies.create("zone", 1,
			new RetryBudget(0.2, 100, 10 * SECOND_NANOS), () -> 1, new GossipQuarantine()));

	private long nowNanos;

	private void crash(String targetId, String fingerprint, Set<String> parts) {
		this.nowNanos += SECOND_NANOS / 3;
		this.core.targetCrashes()
			.onCrash(this.nowNanos, new TargetCrash(targetId, Set.of(fingerprint), Set.of(), parts));
	}

	private List<TrafficAction> request(long id, String fingerprint, List<String> parts) {
		final long deadlineNanos = this.nowNanos + SECOND_NANOS;
		return this.core.onRequest(this.nowNanos,
				new RequestInfo(id, "shop", TargetKind.MODEL, "pool/m", 100, 60, 0, deadlineNanos, deadlineNanos, true,
						ClaimRequirement.NONE, fingerprint, List.of(), 2, deadlineNanos, parts, 60));
	}

	private static TrafficAction refusal(long id, FailureReason reason) {
		return new TrafficAction.Fail(id, ErrorKind.QUARANTINED, RunState.NOT_RUN, 0, reason);
	}

	@Test
	void aRefusalNamesTheRequestThatCrashesTargets() {
		for (int i = 0; i < 3; i++) {
			crash("i-" + i, "culprit", Set.of());
		}
		assertThat(request(1, "culprit", List.of())).containsExactly(refusal(1, FailureReason.QUARANTINED));
	}

	@Test
	void aRefusalNamesThePartThatCrashesTargets() {
		for (int i = 0; i < 3; i++) {
			crash("i-" + i, "request-" + i, Set.of("5e"));
		}
		assertThat(request(1, "another", List.of("1a", "5e")))
			.containsExactly(refusal(1, FailureReason.PART_QUARANTINED));
	}

}
