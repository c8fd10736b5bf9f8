package org.pistachioline.core.traffic;

import java.util.List;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.placement.ExpectedWaitPlacement;
import org.pistachioline.core.placement.LiveDaemons;

import static org.assertj.core.api.Assertions.assertThat;

class TargetSlowStartTests {

	private static final long SECOND = 1_000_000_000L;

	private static final RequestInfo REQUEST = new RequestInfo(1, "workspace", TargetKind.MODEL, "pool/large", 100, 100,
			0, 100 * SECOND, 100 * SECOND, true, ClaimRequirement.NONE, "", List.of(), 2, 100 * SECOND);

	/**
	 * A group breaks and its survivors form another within a second. Its engines ran all
	 * the while. Were it given work as slowly as a machine that just started, callers
	 * would wait in the queue while half of its slots are free.
	 */
	@Test
	void aGroupThatIsFormedAnewOffersAllItsSlotsAtOnce() {
		assertThat(freeSlots(new ExpectedWaitPlacement("zone", 1, true))).isEqualTo(24);
	}

	@Test
	void aNewTargetStartsSlowlyWhereEnginesStartCold() {
		assertThat(freeSlots(new ExpectedWaitPlacement("zone", 1, false))).isEqualTo(13);
	}

	// A group that served before, and one that was formed anew this moment.
	private static int freeSlots(ExpectedWaitPlacement placement) {
		final TargetRegistry book = new TargetRegistry(placement);
		book.onLiveDaemons(0, LiveDaemons.ALONE);
		book.update(SECOND, List.of(view("a@1", SECOND)));
		book.update(10 * SECOND, List.of(view("a@1", 10 * SECOND), view("b@2", 10 * SECOND)));
		return book.freeSlots(REQUEST);
	}

	private static TargetView view(String targetId, long nowNanos) {
		return new TargetView(targetId, TargetKind.MODEL, "pool/large", "address", 1, "zone", true, 12, 0, 0, nowNanos);
	}

}
