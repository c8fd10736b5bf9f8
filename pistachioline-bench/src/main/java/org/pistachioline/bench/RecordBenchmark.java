package org.pistachioline.bench;

import java.util.ArrayList;
import java.util.List;

import org.pistachioline.adapters.codec.RecordCodec;
import org.pistachioline.core.manifest.DeadlineSpec;
import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.manifest.WeightSpec;
import org.pistachioline.core.manifest.WorkspaceSpec;
import org.pistachioline.core.record.KeyClaim;
import org.pistachioline.core.record.KeyOutcome;
import org.pistachioline.core.record.LogRecord;
import org.pistachioline.core.record.ManifestProposal;
import org.pistachioline.core.record.RecordBody;

/**
 * Measures how large the records are whose number grows with traffic and configuration.
 */
final class RecordBenchmark implements Benchmark {

	private static final String HASH = "130a82f68d3064ef477880b571abfcf0f1f4aac4f9cd161aea5e6b543d2ee2d8";

	private static final String WORKSPACE = "atlanta-franchises";

	private static final int BODY_BYTES = 200;

	private static final long SOME_MILLIS = 1_700_000_000_000L;

	@Override
	public String name() {
		return "records";
	}

	@Override
	public void run(Figures figures) {
		figures.print("claim", bytes(new KeyClaim(WORKSPACE, HASH, HASH, SOME_MILLIS, SOME_MILLIS)), "bytes");
		figures.print("outcome with a body of " + BODY_BYTES + " bytes", bytes(
				new KeyOutcome(WORKSPACE, HASH, SOME_MILLIS, 200, "application/json", "x".repeat(BODY_BYTES), false)),
				"bytes");
		for (final int workspaces : new int[] { 10, 200, 1_000 }) {
			figures.print("manifest with " + workspaces + " workspaces", bytes(manifest(workspaces)), "bytes");
		}
	}

	private static RecordBody manifest(int workspaces) {
		final List<WorkspaceSpec> specs = new ArrayList<>();
		for (int i = 0; i < workspaces; i++) {
			specs.add(new WorkspaceSpec("workspace-" + i, List.of(HASH), 100, 100_000, 100, 1.0,
					List.of("sign-copy", "report-assessment"), List.of("order-desk")));
		}
		return new ManifestProposal(1,
				new Manifest(List.of(), List.of(), List.of(), specs, WeightSpec.DEFAULT, DeadlineSpec.DEFAULT));
	}

	private static int bytes(RecordBody body) {
		return RecordCodec
			.encode(List.of(new LogRecord("atlanta-a-1#1abcdefgh9", 1_000, LogRecord.CURRENT_SCHEMA, body))).length;
	}

}
