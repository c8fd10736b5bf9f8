package org.pistachioline.core.traffic;

import java.util.List;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.error.RunState;
import org.pistachioline.core.quarantine.GossipQuarantine;

import static org.assertj.core.api.Assertions.assertThat;

class UnsendableRequestTests {

	private final TrafficSimulation simulation = new TrafficSimulation(new GossipQuarantine());

	// Guards against a request that no target can get and that is tried at each of them.
	@Test
	void aRequestThatCannotBeWrittenIsRefusedAtOnceAsNotRun() {
		this.simulation.targets(TrafficSimulation.model("t1", true), TrafficSimulation.model("t2", true));
		final TrafficSimulation.Request request = this.simulation.arriveUnclaimed(1, TargetKind.MODEL, "f", true);
		final List<TrafficAction> actions = this.simulation.core.onAttemptEnd(this.simulation.nowNanos,
				request.liveAttempt, AttemptOutcome.UNSENDABLE, 0);
		assertThat(actions).singleElement().isInstanceOfSatisfying(TrafficAction.Fail.class, (failure) -> {
			assertThat(failure.kind()).isEqualTo(ErrorKind.UNSENDABLE);
			assertThat(failure.runState()).isEqualTo(RunState.NOT_RUN);
		});
		assertThat(this.simulation.core.activeRequestCount()).isZero();
	}

	// Guards against a request that is refused as not run after its target has answered.
	@Test
	void anAttemptThatHasDeliveredOutputMayHaveRun() {
		this.simulation.targets(TrafficSimulation.model("t1", true));
		final TrafficSimulation.Request request = this.simulation.arriveUnclaimed(1, TargetKind.MODEL, "f", false);
		this.simulation.core.onProgress(this.simulation.nowNanos, request.liveAttempt, 1);
		final List<TrafficAction> actions = this.simulation.core.onAttemptEnd(this.simulation.nowNanos,
				request.liveAttempt, AttemptOutcome.UNSENDABLE, 1);
		assertThat(actions).singleElement()
			.isInstanceOfSatisfying(TrafficAction.Fail.class,
					(failure) -> assertThat(failure.runState()).isEqualTo(RunState.RAN));
	}

}
