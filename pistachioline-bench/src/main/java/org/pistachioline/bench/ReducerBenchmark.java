package org.pistachioline.bench;

import java.util.List;

import org.pistachioline.core.record.LogRecord;
import org.pistachioline.core.record.RecordBody;
import org.pistachioline.core.state.FleetReducer;
import org.pistachioline.core.state.FleetState;

/**
 * Measures how fast formations fold, at today's and at the letter's size.
 */
final class ReducerBenchmark implements Benchmark {

	private static final int MEMBERS = 32;

	private static final int ROUNDS = 5;

	private static final double NANOS_PER_SECOND = 1e9;

	@Override
	public String name() {
		return "reducer";
	}

	@Override
	public void run(Figures figures) {
		for (final int replicas : new int[] { 63, 1_600 }) {
			double bestSeconds = Double.MAX_VALUE;
			for (int round = 0; round < ROUNDS; round++) {
				bestSeconds = Math.min(bestSeconds, foldSeconds(replicas));
			}
			figures.print("fold of " + replicas + " formations of " + MEMBERS, bestSeconds * 1_000, "ms");
			figures.print("records a second at " + replicas + " formations of " + MEMBERS, replicas / bestSeconds,
					"1/s");
		}
	}

	private static double foldSeconds(int replicas) {
		final FleetReducer reducer = new FleetReducer();
		final List<RecordBody> bodies = FleetSamples.formations(replicas, MEMBERS);
		final long begunAtNanos = System.nanoTime();
		FleetState state = reducer.initial();
		long offset = 0;
		for (final RecordBody body : bodies) {
			state = reducer.apply(state, offset, new LogRecord("w", offset + 1, 1, body)).state();
			offset++;
		}
		if (state.groups().size() != replicas) {
			throw new IllegalStateException("a formation was rejected");
		}
		return (System.nanoTime() - begunAtNanos) / NANOS_PER_SECOND;
	}

}
