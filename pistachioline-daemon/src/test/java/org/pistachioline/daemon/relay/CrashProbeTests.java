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

	private final List<Consumer<Boolean>> pendingProbes = new ArrayList<>();

	private final List<TargetCrash> crashes = new ArrayList<>();

	private final CrashProbe probe = new CrashProbe((address, receiver) -> this.pendingProbes.add(receiver),
			this.crashes::add);

	@Test
	void aTargetThatRefusesConnectionsCrashedUnderAllBrokenRequests() {
		this.probe.onConnectionBroken(TARGET, "a", false);
		this.probe.onConnectionBroken(TARGET, "b", true);
		assertThat(this.pendingProbes).hasSize(1);
		this.pendingProbes.get(0).accept(true);
		assertThat(this.crashes).containsExactly(new TargetCrash("i-1@1", Set.of("a"), Set.of("b")));
	}

	/**
	 * Guards against requests that are held to crash a target which only resets
	 * connections, or loses answers.
	 */
	@Test
	void aTargetThatAcceptsConnectionsHasNotCrashed() {
		this.probe.onConnectionBroken(TARGET, "a", false);
		this.pendingProbes.get(0).accept(false);
		assertThat(this.crashes).isEmpty();
	}

	@Test
	void aLaterBreakIsProbedAgain() {
		this.probe.onConnectionBroken(TARGET, "a", false);
		this.pendingProbes.get(0).accept(false);
		this.probe.onConnectionBroken(TARGET, "b", false);
		this.pendingProbes.get(1).accept(true);
		assertThat(this.crashes).containsExactly(new TargetCrash("i-1@1", Set.of("b"), Set.of()));
	}

}
