package org.pistachioline.daemon.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.quarantine.TargetCrash;
import org.pistachioline.core.traffic.ClaimRequirement;
import org.pistachioline.core.traffic.RequestInfo;
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

	private static RequestInfo request(String fingerprint) {
		return new RequestInfo(1, "", TargetKind.MODEL, "pool/m", 100, 60, 0, Long.MAX_VALUE, Long.MAX_VALUE, true,
				ClaimRequirement.NONE, fingerprint, List.of(), 2, Long.MAX_VALUE, List.of("part-of-" + fingerprint),
				60);
	}

	@Test
	void aTargetThatRefusesConnectionsCrashedUnderAllBrokenRequests() {
		this.probe.onConnectionBroken(TARGET, request("a"), false);
		this.probe.onConnectionBroken(TARGET, request("b"), true);
		assertThat(this.pendingProbes).hasSize(1);
		this.pendingProbes.get(0).accept(true);
		assertThat(this.crashes)
			.containsExactly(new TargetCrash("i-1@1", Set.of("a"), Set.of("b"), Set.of("part-of-a")));
	}

	/**
	 * Guards against blaming requests for a crash when the target only resets connections
	 * or loses responses.
	 */
	@Test
	void aTargetThatAcceptsConnectionsHasNotCrashed() {
		this.probe.onConnectionBroken(TARGET, request("a"), false);
		this.pendingProbes.get(0).accept(false);
		assertThat(this.crashes).isEmpty();
	}

	@Test
	void aLaterBreakIsProbedAgain() {
		this.probe.onConnectionBroken(TARGET, request("a"), false);
		this.pendingProbes.get(0).accept(false);
		this.probe.onConnectionBroken(TARGET, request("b"), false);
		this.pendingProbes.get(1).accept(true);
		assertThat(this.crashes).containsExactly(new TargetCrash("i-1@1", Set.of("b"), Set.of(), Set.of("part-of-b")));
	}

}
