package org.pistachioline.daemon.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.quarantine.TargetCrash;
import org.pistachioline.core.traffic.TargetKind;
import org.pistachioline.core.traffic.TargetView;

import static org.assertj.core.api.Assertions.assertThat;

class CrashProbeTests {

	private static final TargetView TARGET = new TargetView("i-1@1", TargetKind.MODEL, "pool/m", "127.0.0.1:9", 1, "z",
			true, 12, 0, 0, 0);

	private final List<Consumer<Boolean>> asked = new ArrayList<>();

	private final List<TargetCrash> crashes = new ArrayList<>();

	private final CrashProbe probe = new CrashProbe((address, receiver) -> this.asked.add(receiver), this.crashes::add);

	@Test
	void aTargetThatRefusesConnectionsHasDiedUnderAllThatBroke() {
		this.probe.onBreak(TARGET, "a", false);
		this.probe.onBreak(TARGET, "b", true);
		assertThat(this.asked).hasSize(1);
		this.asked.get(0).accept(true);
		assertThat(this.crashes).containsExactly(new TargetCrash("i-1@1", Set.of("a"), Set.of("b")));
	}

	/**
	 * Guards against requests that are held to crash a target which only resets
	 * connections, or loses answers.
	 */
	@Test
	void aTargetThatTakesConnectionsHasNotDied() {
		this.probe.onBreak(TARGET, "a", false);
		this.asked.get(0).accept(false);
		assertThat(this.crashes).isEmpty();
	}

	@Test
	void aLaterBreakIsLookedIntoAnew() {
		this.probe.onBreak(TARGET, "a", false);
		this.asked.get(0).accept(false);
		this.probe.onBreak(TARGET, "b", false);
		this.asked.get(1).accept(true);
		assertThat(this.crashes).containsExactly(new TargetCrash("i-1@1", Set.of("b"), Set.of()));
	}

}
