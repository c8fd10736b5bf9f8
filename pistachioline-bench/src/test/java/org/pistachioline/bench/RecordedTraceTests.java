package org.pistachioline.bench;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.manifest.DeadlineSpec;
import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.manifest.ModelSpec;
import org.pistachioline.core.manifest.WeightSpec;
import org.pistachioline.core.manifest.WorkspaceSpec;
import org.pistachioline.core.traffic.ClaimRequirement;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.core.traffic.TargetKind;
import org.pistachioline.daemon.traffic.TraceRecorder;
import org.pistachioline.replay.simulation.PolicySet;
import org.pistachioline.replay.simulation.Simulation;
import org.pistachioline.replay.trace.Trace;
import org.pistachioline.replay.trace.TraceReader;

import static org.assertj.core.api.Assertions.assertThat;

class RecordedTraceTests {

	private static final Manifest MANIFEST = new Manifest(List.of(),
			List.of(new ModelSpec("sign-copy", "engines", 2, 1, 4, 8)), List.of(),
			List.of(new WorkspaceSpec("shops", List.of("secret-hash"), 100, 1_000_000, 50, 1, List.of(), List.of())),
			WeightSpec.DEFAULT, DeadlineSpec.DEFAULT);

	// An operator sees a bad hour, records it and wants to know whether a change would
	// have helped. What the daemon wrote must be a trace that the replay takes.
	@Test
	void whatADaemonRecordedReplaysWithTheSameArrivals() throws Exception {
		final TraceRecorder recorder = new TraceRecorder(true);
		for (int i = 0; i < 50; i++) {
			recorder.onArrival(1_000_000L * i, info(i));
			recorder.onTokens(i, 40 + i);
			recorder.onEnd(i);
		}
		final String lines = recorder.toJsonLines("d1", MANIFEST, Map.of("sign-copy", 2));
		assertThat(lines).doesNotContain("secret-hash").doesNotContain("fingerprint-of-a-prompt");
		final Trace trace = TraceReader.read("recorded", lines.lines().toList());
		assertThat(trace.arrivals()).hasSize(50);
		assertThat(trace.arrivals().get(49).outputTokens()).isEqualTo(89);
		assertThat(new Simulation(trace, PolicySet.PISTACHIOLINE).run().figure("answered_calls_ratio", "", ""))
			.isEqualTo(1);
	}

	@Test
	void aRecordingThatIsLeftOnStaysBounded() {
		final TraceRecorder recorder = new TraceRecorder(true);
		for (int i = 0; i < 25_000; i++) {
			recorder.onArrival(i, info(i));
		}
		assertThat(recorder.toJsonLines("d1", MANIFEST, Map.of()).lines().filter((line) -> line.contains("at_millis")))
			.hasSize(20_000);
	}

	private static RequestInfo info(int id) {
		return new RequestInfo(id, "shops", TargetKind.MODEL, "sign-copy", 100, 200, 0, 10_000_000_000L,
				600_000_000_000L, true, ClaimRequirement.NONE, "fingerprint-of-a-prompt", List.of(7L, 8L));
	}

}
