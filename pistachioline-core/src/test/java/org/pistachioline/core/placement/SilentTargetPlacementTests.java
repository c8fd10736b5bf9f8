package org.pistachioline.core.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.traffic.AttemptOutcome;
import org.pistachioline.core.traffic.ClaimRequirement;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.core.traffic.TargetKind;
import org.pistachioline.core.traffic.TargetView;

import static org.assertj.core.api.Assertions.assertThat;

class SilentTargetPlacementTests {

	private static final long MILLI = 1_000_000L;

	private static final long START_NANOS = 100_000 * MILLI;

	private static final int REQUESTS = 200;

	private final ExpectedWaitPlacement placement = new ExpectedWaitPlacement("zone", 7, true);

	private final TargetSet targets = new TargetSet(true);

	private final List<TargetLoad> loads = new ArrayList<>();

	/**
	 * A member of a group dies. The group's head keeps its connections open and takes
	 * requests, but delivers nothing; the list shows the loss seconds later. Each caller
	 * who is sent there meanwhile waits in vain and is late. The other groups of the
	 * model are half full, so that the dead one, whose streams end nowhere, looks no
	 * fuller.
	 */
	@Test
	void newRequestsAvoidATargetThatFellSilent() {
		fill(4);
		streamAtAllButTheFirst(400);
		int toSilent = 0;
		for (int i = 0; i < REQUESTS; i++) {
			toSilent += (choose(START_NANOS + 400 * MILLI) == this.loads.get(0)) ? 1 : 0;
		}
		assertThat(toSilent).isZero();
	}

	/**
	 * An engine reads a long prompt for a tenth of a second. Its streams pause meanwhile,
	 * which must not send everybody to the others.
	 */
	@Test
	void aShortPauseChangesNothing() {
		fill(4);
		streamAtAllButTheFirst(120);
		int toPaused = 0;
		for (int i = 0; i < REQUESTS; i++) {
			toPaused += (choose(START_NANOS + 120 * MILLI) == this.loads.get(0)) ? 1 : 0;
		}
		assertThat(toPaused).isBetween(REQUESTS / 4 - REQUESTS / 10, REQUESTS);
	}

	/**
	 * A group was closed to give its members away. It declines every request until the
	 * list shows that, a second later. A request may be sent to two targets; one that was
	 * sent to two such groups is refused though others have room.
	 */
	@Test
	void newRequestsAvoidATargetThatHasJustDeclined() {
		fill(4);
		streamAtAllButTheFirst(120);
		this.loads.get(0).onStart(START_NANOS, 100);
		this.loads.get(0).onEnd(START_NANOS + 120 * MILLI, 100, AttemptOutcome.DECLINED);
		int toClosed = 0;
		for (int i = 0; i < REQUESTS; i++) {
			toClosed += (choose(START_NANOS + 130 * MILLI) == this.loads.get(0)) ? 1 : 0;
		}
		// Six targets are drawn; once in four thousand times all six are this one.
		assertThat(toClosed).isLessThanOrEqualTo(1);
	}

	/** With nobody else free a silent target is better than none. */
	@Test
	void theOnlyTargetIsUsedThoughItIsSilent() {
		fill(1);
		assertThat(choose(START_NANOS + 1_000 * MILLI)).isSameAs(this.loads.get(0));
	}

	private void fill(int count) {
		for (int i = 0; i < count; i++) {
			this.loads.add(new TargetLoad(new TargetView("target-" + i, TargetKind.MODEL, "pool/large", "address", 0,
					"zone", true, 12, 0, 0, START_NANOS), START_NANOS));
		}
		this.targets.replace(START_NANOS, this.loads, new DaemonRank(0, 1));
		this.loads.forEach((load) -> load.onStart(START_NANOS, 100));
	}

	private void streamAtAllButTheFirst(long millis) {
		for (long at = 40; at <= millis; at += 40) {
			for (final TargetLoad load : this.loads.subList(1, this.loads.size())) {
				load.onTokens(START_NANOS + at * MILLI, START_NANOS + (at - 40) * MILLI, 5, at == 40);
			}
		}
	}

	private TargetLoad choose(long nowNanos) {
		return this.placement.choose(nowNanos, request(), this.targets, Set.of()).orElseThrow();
	}

	private static RequestInfo request() {
		return new RequestInfo(1, "workspace", TargetKind.MODEL, "pool/large", 1_000, 100, 0,
				START_NANOS + 2_000 * MILLI, START_NANOS + 8_000 * MILLI, true, ClaimRequirement.NONE, "", List.of(), 2,
				START_NANOS + 2_000 * MILLI);
	}

}
