package org.pistachioline.bench.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import org.pistachioline.bench.Benchmark;
import org.pistachioline.bench.Figures;
import org.pistachioline.standins.local.LocalDaemon;

/**
 * Measures what a daemon spends on control, idle and while configurations change, with
 * growing numbers of daemons, replicas and workspaces.
 */
public final class ControlBenchmark implements Benchmark {

	private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(10);

	private static final long SETTLE_NANOS = TimeUnit.SECONDS.toNanos(15);

	private static final long CHANGE_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final double BYTES_PER_MEBIBYTE = 1_024 * 1_024;

	private static final double PERCENT = 100;

	private static final List<Shape> SHAPES = List.of(new Shape(2, 8, 10), new Shape(6, 8, 10), new Shape(12, 8, 10),
			new Shape(2, 32, 10), new Shape(2, 8, 200));

	@Override
	public String name() {
		return "control";
	}

	@Override
	public void run(Figures figures) {
		for (final Shape shape : SHAPES) {
			try (ControlSystem system = new ControlSystem(shape.daemons(), shape.replicas(), 0, shape.workspaces())) {
				LockSupport.parkNanos(SETTLE_NANOS);
				measure(figures, shape + ", idle", system, () -> LockSupport.parkNanos(WINDOW_NANOS));
				measure(figures, shape + ", a change a second", system, () -> change(system));
				memory(figures, shape.toString(), system.daemons());
			}
		}
	}

	private static void change(ControlSystem system) {
		for (long spentNanos = 0; spentNanos < WINDOW_NANOS; spentNanos += CHANGE_NANOS) {
			system.publish();
			LockSupport.parkNanos(CHANGE_NANOS);
		}
	}

	private static void measure(Figures figures, String when, ControlSystem system, Runnable window) {
		final List<Counters> before = system.daemons().stream().map(Counters::of).toList();
		final double[] cpuBefore = system.daemons()
			.stream()
			.mapToDouble((daemon) -> daemon.process().cpuSeconds())
			.toArray();
		final long begunAtNanos = System.nanoTime();
		window.run();
		final double seconds = (System.nanoTime() - begunAtNanos) / (double) TimeUnit.SECONDS.toNanos(1);
		final List<Counters> after = new ArrayList<>();
		double cpuSeconds = 0;
		for (int i = 0; i < system.daemons().size(); i++) {
			cpuSeconds += system.daemons().get(i).process().cpuSeconds() - cpuBefore[i];
			after.add(Counters.of(system.daemons().get(i)));
		}
		final int daemons = system.daemons().size();
		figures.print(when + ": share of a core", PERCENT * cpuSeconds / seconds / daemons, "%");
		double bytes = 0;
		final Set<String> names = new TreeSet<>();
		after.forEach((counters) -> names.addAll(counters.values().keySet()));
		for (final String name : names) {
			double sum = 0;
			for (int i = 0; i < daemons; i++) {
				sum += after.get(i).since(before.get(i), name);
			}
			if (sum > 0) {
				figures.print(when + ": " + name, sum / seconds / daemons, "1/s");
			}
			bytes += (name.contains("bytes") && !name.contains("\"request\"")) ? sum : 0;
		}
		figures.print(when + ": bytes of control", bytes / seconds / daemons, "B/s");
	}

	private static void memory(Figures figures, String shape, List<LocalDaemon> daemons) {
		final LocalDaemon one = daemons.get(0);
		figures.print(shape + ": heap after collection", one.process().heapBytesAfterCollection() / BYTES_PER_MEBIBYTE,
				"MiB");
		figures.print(shape + ": resident memory", one.process().residentBytes() / BYTES_PER_MEBIBYTE, "MiB");
	}

	private record Shape(int daemons, int replicas, int workspaces) {

		@Override
		public String toString() {
			return this.daemons + " daemons, " + this.replicas + " replicas, " + this.workspaces + " workspaces";
		}

	}

}
