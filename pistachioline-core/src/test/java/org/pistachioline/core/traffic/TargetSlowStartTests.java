package org.pistachioline.core.traffic;

import java.util.List;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.placement.ExpectedWaitPlacement;
import org.pistachioline.core.placement.LiveDaemons;

import static org.assertj.core.api.Assertions.assertThat;

class TargetSlowStartTests {

	private static final long SECOND_NANOS = 1_000_000_000L;

	private static final RequestInfo REQUEST = new RequestInfo(1, "workspace", TargetKind.MODEL, "pool/large", 100, 100,
			0, 100 * SECOND_NANOS, 100 * SECOND_NANOS, true, ClaimRequirement.NONE, "", List.of(), 2,
			100 * SECOND_NANOS);

	/**
	 * Guards against a slow start of a group whose engines are already warm. When a group
	 * breaks, its remaining members form a new one within a second. If the new group were
	 * loaded as slowly as a machine that has just started, callers would be queued while
	 * half of its slots are free.
	 */
	@Test
	void aReformedGroupOffersAllItsSlotsAtOnce() {
		assertThat(freeSlots(new ExpectedWaitPlacement("zone", 1, true))).isEqualTo(24);
	}

	@Test
	void aNewTargetStartsSlowlyWhereEnginesStartCold() {
		assertThat(freeSlots(new ExpectedWaitPlacement("zone", 1, false))).isEqualTo(13);
	}

	// Counts the slots of a group that has served for a while and of a newly formed one.
	private static int freeSlots(ExpectedWaitPlacement placement) {
		final TargetRegistry registry = new TargetRegistry(placement);
		registry.onLiveDaemons(0, LiveDaemons.ALONE);
		registry.update(SECOND_NANOS, List.of(view("a@1", SECOND_NANOS)));
		registry.update(10 * SECOND_NANOS, List.of(view("a@1", 10 * SECOND_NANOS), view("b@2", 10 * SECOND_NANOS)));
		return registry.freeSlots(REQUEST);
	}

	private static TargetView view(String targetId, long nowNanos) {
		return new TargetView(targetId, TargetKind.MODEL, "pool/large", "address", 1, "zone", true, 12, 0, 0, nowNanos);
	}

}
