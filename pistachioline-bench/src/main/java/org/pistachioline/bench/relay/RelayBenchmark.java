package org.pistachioline.bench.relay;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import org.pistachioline.bench.Benchmark;
import org.pistachioline.bench.Figures;
import org.pistachioline.standins.local.LocalProcess;

/**
 * Measures what a daemon adds to a stream against going straight to the same engine, and
 * what it costs.
 */
public final class RelayBenchmark implements Benchmark {

	private static final int MODERATE_STREAMS = 100;

	private static final int MODERATE_TOKEN_MILLIS = 10;

	private static final int CALM_TOKEN_MILLIS = 75;

	private static final double[] PERCENTILES = { 50, 99 };

	private static final int FEW_STREAMS = 10;

	private static final int SATURATING_STREAMS = 200;

	private static final int OPEN_STREAMS = 1_000;

	private static final long WARM_UP_NANOS = TimeUnit.SECONDS.toNanos(4);

	private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(6);

	private static final double MICROS_PER_MILLI = 1_000;

	private static final double BYTES_PER_MEBIBYTE = 1_024 * 1_024;

	@Override
	public String name() {
		return "relay";
	}

	@Override
	public void run(Figures figures) {
		try (RelaySystem system = new RelaySystem(MODERATE_TOKEN_MILLIS)) {
			memory(figures, "at rest", system.daemon().process());
			addedBetweenTokens(figures, system);
		}
		try (RelaySystem system = new RelaySystem(CALM_TOKEN_MILLIS)) {
			openStreams(figures, system);
		}
		// A quick engine, since the wait for an engine's next step would hide what is
		// added.
		try (RelaySystem system = new RelaySystem(1)) {
			addedToFirstToken(figures, system);
			tokensPerCore(figures, "streams at full speed", system, SATURATING_STREAMS);
			requestsPerCore(figures, system);
		}
	}

	private static void addedBetweenTokens(Figures figures, RelaySystem system) {
		// Once unmeasured, so that both ways are compiled by the time they are compared.
		through(system, MODERATE_STREAMS, WINDOW_NANOS);
		final StreamTimes straight = new StreamLoad(system.engine(), 100, RelaySystem.STRAIGHT).run(MODERATE_STREAMS,
				WARM_UP_NANOS, () -> LockSupport.parkNanos(WINDOW_NANOS));
		final LocalProcess process = system.daemon().process();
		final double[] cpuSeconds = new double[1];
		final StreamTimes through = new StreamLoad(system.daemon().callers(), 100, RelaySystem.CALLER)
			.run(MODERATE_STREAMS, WARM_UP_NANOS, () -> cpuSeconds[0] = cpuOf(process, WINDOW_NANOS));
		for (final double percentile : PERCENTILES) {
			added(figures, "between tokens", percentile, straight.betweenTokensMicros(percentile),
					through.betweenTokensMicros(percentile));
		}
		cost(figures, MODERATE_STREAMS + " streams of a token each 10 ms", through, cpuSeconds[0]);
	}

	private static void addedToFirstToken(Figures figures, RelaySystem system) {
		through(system, FEW_STREAMS, WINDOW_NANOS);
		final StreamTimes straight = new StreamLoad(system.engine(), 20, RelaySystem.STRAIGHT).run(FEW_STREAMS,
				WARM_UP_NANOS, () -> LockSupport.parkNanos(WINDOW_NANOS));
		final StreamTimes through = new StreamLoad(system.daemon().callers(), 20, RelaySystem.CALLER).run(FEW_STREAMS,
				WARM_UP_NANOS, () -> LockSupport.parkNanos(WINDOW_NANOS));
		for (final double percentile : PERCENTILES) {
			added(figures, "first token", percentile, straight.firstTokenMicros(percentile),
					through.firstTokenMicros(percentile));
		}
	}

	private static void added(Figures figures, String what, double percentile, long straightMicros,
			long throughMicros) {
		final String at = what + " p" + (int) percentile;
		figures.print(at + ", straight", straightMicros / MICROS_PER_MILLI, "ms");
		figures.print(at + ", through the daemon", throughMicros / MICROS_PER_MILLI, "ms");
		figures.print(at + ", added", (throughMicros - straightMicros) / MICROS_PER_MILLI, "ms");
	}

	private static void through(RelaySystem system, int streams, long windowNanos) {
		new StreamLoad(system.daemon().callers(), 100, RelaySystem.CALLER).run(streams, 0,
				() -> LockSupport.parkNanos(windowNanos));
	}

	private static void openStreams(Figures figures, RelaySystem system) {
		final LocalProcess process = system.daemon().process();
		final double[] cpuSeconds = new double[1];
		final StreamTimes times = new StreamLoad(system.daemon().callers(), 1_000, RelaySystem.CALLER).run(OPEN_STREAMS,
				WARM_UP_NANOS, () -> {
					cpuSeconds[0] = cpuOf(process, WINDOW_NANOS);
					memory(figures, "at " + OPEN_STREAMS + " open streams", process);
				});
		cost(figures, OPEN_STREAMS + " streams of a token each " + CALM_TOKEN_MILLIS + " ms", times, cpuSeconds[0]);
	}

	private static void tokensPerCore(Figures figures, String load, RelaySystem system, int streams) {
		final LocalProcess process = system.daemon().process();
		final double[] cpuSeconds = new double[1];
		final StreamTimes times = new StreamLoad(system.daemon().callers(), 1_000, RelaySystem.CALLER).run(streams,
				WARM_UP_NANOS, () -> cpuSeconds[0] = cpuOf(process, WINDOW_NANOS));
		cost(figures, load, times, cpuSeconds[0]);
	}

	private static void requestsPerCore(Figures figures, RelaySystem system) {
		final LocalProcess process = system.daemon().process();
		final double[] cpuSeconds = new double[1];
		final StreamTimes times = new StreamLoad(system.daemon().callers(), 1, RelaySystem.CALLER).run(64,
				WARM_UP_NANOS, () -> cpuSeconds[0] = cpuOf(process, WINDOW_NANOS));
		figures.print("requests of one token", times.requests() / seconds(WINDOW_NANOS), "1/s");
		figures.print("requests of one token a core", times.requests() / cpuSeconds[0], "1/s");
		figures.print("failed requests of one token", times.failures(), "1");
	}

	private static void cost(Figures figures, String load, StreamTimes times, double cpuSeconds) {
		figures.print("tokens relayed, " + load, times.tokens() / seconds(WINDOW_NANOS), "1/s");
		figures.print("cores used, " + load, cpuSeconds / seconds(WINDOW_NANOS), "1");
		figures.print("tokens relayed a core, " + load, times.tokens() / cpuSeconds, "1/s");
		figures.print("failed requests, " + load, times.failures(), "1");
	}

	private static double cpuOf(LocalProcess process, long windowNanos) {
		final double before = process.cpuSeconds();
		LockSupport.parkNanos(windowNanos);
		return process.cpuSeconds() - before;
	}

	private static double seconds(long nanos) {
		return nanos / (double) TimeUnit.SECONDS.toNanos(1);
	}

	private static void memory(Figures figures, String when, LocalProcess process) {
		figures.print("resident memory " + when, process.residentBytes() / BYTES_PER_MEBIBYTE, "MiB");
		figures.print("heap after collection " + when, process.heapBytesAfterCollection() / BYTES_PER_MEBIBYTE, "MiB");
	}

}
