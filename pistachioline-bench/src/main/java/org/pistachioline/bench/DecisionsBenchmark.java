package org.pistachioline.bench;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.sun.management.ThreadMXBean;
import org.HdrHistogram.Histogram;

import org.pistachioline.core.manifest.DeadlineSpec;
import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.manifest.WeightSpec;
import org.pistachioline.core.manifest.WorkspaceSpec;
import org.pistachioline.core.placement.LiveDaemons;
import org.pistachioline.core.traffic.AttemptId;
import org.pistachioline.core.traffic.AttemptOutcome;
import org.pistachioline.core.traffic.ClaimRequirement;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.core.traffic.StandardPolicies;
import org.pistachioline.core.traffic.TargetKind;
import org.pistachioline.core.traffic.TargetView;
import org.pistachioline.core.traffic.TrafficCore;

/**
 * Measures how long one daemon takes to decide on a request, and what garbage it leaves.
 */
final class DecisionsBenchmark implements Benchmark {

	private static final int[] REPLICAS = { 63, 1_600 };

	private static final int SLOTS = 8;

	private static final int WARM_UP = 200_000;

	private static final int MEASURED = 300_000;

	private static final long STEP_NANOS = 100_000;

	private static final int PREFIX_BLOCKS = 16;

	private static final long HIGHEST_NANOS = 1_000_000_000L;

	@Override
	public String name() {
		return "decisions";
	}

	@Override
	public void run(Figures figures) {
		for (final int replicas : REPLICAS) {
			measure(figures, replicas, 0.6);
			measure(figures, replicas, 1.0);
		}
	}

	private static void measure(Figures figures, int replicas, double fullRatio) {
		final TrafficCore core = core(replicas);
		final int inFlight = (int) (replicas * SLOTS * fullRatio);
		final Histogram histogram = new Histogram(HIGHEST_NANOS, 3);
		final Histogram whole = new Histogram(HIGHEST_NANOS, 3);
		final ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
		long nowNanos = 1;
		long allocatedFrom = 0;
		for (int i = 0; i < WARM_UP + MEASURED; i++) {
			if (i == WARM_UP) {
				histogram.reset();
				whole.reset();
				allocatedFrom = threads.getCurrentThreadAllocatedBytes();
			}
			nowNanos += STEP_NANOS;
			final RequestInfo info = info(i, nowNanos);
			final long begunNanos = System.nanoTime();
			core.onRequest(nowNanos, info);
			histogram.recordValue(Math.min(HIGHEST_NANOS, System.nanoTime() - begunNanos));
			if (i >= inFlight) {
				final AttemptId attempt = new AttemptId(i - inFlight, 1);
				core.onProgress(nowNanos, attempt, 1);
				core.onAttemptEnd(nowNanos, attempt, AttemptOutcome.COMPLETE, 100);
			}
			whole.recordValue(Math.min(HIGHEST_NANOS, System.nanoTime() - begunNanos));
		}
		final double bytes = (double) (threads.getCurrentThreadAllocatedBytes() - allocatedFrom) / MEASURED;
		final String label = replicas + "_replicas_" + Math.round(fullRatio * 100) + "_percent_full";
		figures.print("decision_" + label, histogram.getValueAtPercentile(50) / 1e3, "microseconds_p50");
		figures.print("decision_" + label, histogram.getValueAtPercentile(99) / 1e3, "microseconds_p99");
		figures.print("whole_life_" + label, whole.getValueAtPercentile(99) / 1e3, "microseconds_p99");
		figures.print("whole_life_" + label, bytes, "allocated_bytes");
	}

	private static TrafficCore core(int replicas) {
		final TrafficCore core = new TrafficCore(StandardPolicies.create("a", 1));
		core.onManifest(1,
				new Manifest(List.of(), List.of(), List.of(),
						List.of(new WorkspaceSpec("w", List.of(), 1e9, 1L << 50, 100_000, 1, List.of(), List.of())),
						WeightSpec.DEFAULT, DeadlineSpec.DEFAULT));
		final List<TargetView> views = new ArrayList<>();
		for (int i = 0; i < replicas; i++) {
			views.add(new TargetView("g" + i + "@1", TargetKind.MODEL, "m", "", 1, "abc".substring(i % 3, i % 3 + 1),
					true, SLOTS, 0, 0, 1));
		}
		core.onTargets(1, views);
		core.onShares(1, LiveDaemons.ALONE, Map.of());
		return core;
	}

	private static RequestInfo info(int id, long nowNanos) {
		final List<Long> hashes = new ArrayList<>();
		for (int block = 0; block < PREFIX_BLOCKS; block++) {
			hashes.add((id % 50) * 1_000_003L + block);
		}
		return new RequestInfo(id, "w", TargetKind.MODEL, "m", 1_024, 200, 0, nowNanos + 10_000_000_000L,
				nowNanos + 600_000_000_000L, true, ClaimRequirement.NONE, "f" + id, hashes);
	}

}
