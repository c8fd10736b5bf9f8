package org.pistachioline.bench;

import java.util.List;
import java.util.concurrent.Callable;

import org.pistachioline.adapters.codec.FleetSnapshotCodec;
import org.pistachioline.adapters.codec.RecordCodec;
import org.pistachioline.adapters.stream.CheckpointParts;
import org.pistachioline.core.record.LogRecord;
import org.pistachioline.core.record.RecordBody;
import org.pistachioline.core.record.UnknownBody;
import org.pistachioline.core.state.FleetReducer;
import org.pistachioline.core.state.FleetState;
import org.pistachioline.core.state.WriterMarks;

/**
 * Measures the fleet's checkpoint against folding its records, and the writers' marks at
 * their limit.
 */
final class StateBenchmark implements Benchmark {

	private static final int MEMBERS = 32;

	private static final int ROUNDS = 9;

	private static final int EVICTIONS = 200;

	private static final double NANOS_PER_MILLI = 1e6;

	private static final double NANOS_PER_MICRO = 1e3;

	@Override
	public String name() {
		return "state";
	}

	@Override
	public void run(Figures figures) throws Exception {
		for (final int replicas : new int[] { 63, 1_600 }) {
			measure(figures, replicas);
		}
		measureMarks(figures);
	}

	private static void measure(Figures figures, int replicas) throws Exception {
		final String size = " at " + replicas + " replicas of " + MEMBERS;
		final List<RecordBody> bodies = FleetSamples.formations(replicas, MEMBERS);
		final FleetState state = fold(bodies);
		final FleetSnapshotCodec codec = new FleetSnapshotCodec();
		final byte[] stateBytes = codec.encode(state);
		if (!codec.decode(stateBytes).equals(state)) {
			throw new IllegalStateException("the checkpoint is not the state");
		}
		long recordBytes = 0;
		long sequence = 1;
		for (final RecordBody body : bodies) {
			recordBytes += RecordCodec.encode(List.of(new LogRecord("w", sequence++, 1, body))).length;
		}
		figures.print("record bytes" + size, recordBytes, "bytes");
		figures.print("checkpoint bytes" + size, stateBytes.length, "bytes");
		figures.print("checkpoint parts" + size, CheckpointParts.cut(0, stateBytes).size(), "parts");
		figures.print("fold of all records" + size, bestNanos(() -> fold(bodies)) / NANOS_PER_MILLI, "ms");
		figures.print("checkpoint encode" + size, bestNanos(() -> codec.encode(state)) / NANOS_PER_MILLI, "ms");
		figures.print("checkpoint decode" + size, bestNanos(() -> codec.decode(stateBytes)) / NANOS_PER_MILLI, "ms");
	}

	private static FleetState fold(List<RecordBody> bodies) {
		final FleetReducer reducer = new FleetReducer();
		FleetState state = reducer.initial();
		long offset = 0;
		for (final RecordBody body : bodies) {
			state = reducer.apply(state, offset, new LogRecord("w", offset + 1, 1, body)).state();
			offset++;
		}
		if (state.groups().size() != bodies.size() - 1) {
			throw new IllegalStateException("a formation was rejected");
		}
		return state;
	}

	private static void measureMarks(Figures figures) throws Exception {
		WriterMarks full = WriterMarks.EMPTY;
		for (int writer = 0; writer < WriterMarks.MAX_WRITERS; writer++) {
			full = full.with(writer, mark("w-" + writer));
		}
		final WriterMarks marks = full;
		final double known = bestNanos(() -> {
			WriterMarks next = marks;
			for (int i = 0; i < EVICTIONS; i++) {
				next = next.with(WriterMarks.MAX_WRITERS + i, mark("w-" + i));
			}
			return next;
		}) / EVICTIONS;
		final double evicting = bestNanos(() -> {
			WriterMarks next = marks;
			for (int i = 0; i < EVICTIONS; i++) {
				next = next.with(WriterMarks.MAX_WRITERS + i, mark("new-" + i));
			}
			return next;
		}) / EVICTIONS;
		figures.print("mark of a known writer among 4096", known / NANOS_PER_MICRO, "us");
		figures.print("mark of a new writer that evicts one of 4096", evicting / NANOS_PER_MICRO, "us");
	}

	private static LogRecord mark(String writer) {
		return new LogRecord(writer, 1, 1, new UnknownBody());
	}

	private static double bestNanos(Callable<?> work) throws Exception {
		long best = Long.MAX_VALUE;
		for (int round = 0; round < ROUNDS; round++) {
			final long begunAtNanos = System.nanoTime();
			if (work.call() == null) {
				throw new IllegalStateException("no result");
			}
			best = Math.min(best, System.nanoTime() - begunAtNanos);
		}
		return best;
	}

}
