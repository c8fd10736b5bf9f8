package org.pistachioline.bench.control;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import org.HdrHistogram.Histogram;

import org.pistachioline.bench.Benchmark;
import org.pistachioline.bench.Figures;
import org.pistachioline.standins.local.LocalDaemon;
import org.pistachioline.standins.local.LocalHttp;

/**
 * Measures the time from a configuration's acceptance until it is in force on every
 * daemon: in calm, with a daemon paused, and after an outage of the log.
 */
public final class InForceBenchmark implements Benchmark {

	private static final int DAEMONS = 8;

	private static final int CHANGES = 30;

	private static final long OUTAGE_NANOS = TimeUnit.SECONDS.toNanos(10);

	private static final double MICROS_PER_MILLI = 1_000;

	@Override
	public String name() {
		return "inforce";
	}

	@Override
	public void run(Figures figures) {
		try (ControlSystem system = new ControlSystem(DAEMONS, 2, 0, 2)) {
			changes(system, system.daemons());
			print(figures, "in force on all of 8", changes(system, system.daemons()));
			final LocalDaemon paused = system.daemons().get(0);
			final List<LocalDaemon> others = system.daemons().subList(1, DAEMONS);
			paused.process().signal("STOP");
			print(figures, "in force on the other 7 while one is paused", changes(system, others));
			paused.process().signal("CONT");
			final long wokenAtNanos = System.nanoTime();
			awaitVersion(paused, system.publish());
			figures.print("in force on the paused one after it wakes", millisSince(wokenAtNanos), "ms");
			afterOutage(figures, system);
		}
	}

	private static void afterOutage(Figures figures, ControlSystem system) {
		outage(system, true);
		LockSupport.parkNanos(OUTAGE_NANOS);
		outage(system, false);
		final long backAtNanos = System.nanoTime();
		final int version = system.publish();
		system.daemons().forEach((daemon) -> awaitVersion(daemon, version));
		figures.print("in force on all of 8 after the end of an outage of 10 s", millisSince(backAtNanos), "ms");
	}

	private static void outage(ControlSystem system, boolean outage) {
		LocalHttp.post(system.standIns().log(), "/faults", "{\"outage\":" + outage + "}");
	}

	private static double millisSince(long nanos) {
		return (System.nanoTime() - nanos) / (double) TimeUnit.MILLISECONDS.toNanos(1);
	}

	private static Histogram changes(ControlSystem system, List<LocalDaemon> daemons) {
		final Histogram micros = new Histogram(3);
		for (int i = 0; i < CHANGES; i++) {
			final int version = system.publish();
			final long acceptedAtNanos = System.nanoTime();
			long lastAtNanos = acceptedAtNanos;
			for (final LocalDaemon daemon : daemons) {
				lastAtNanos = Math.max(lastAtNanos, awaitVersion(daemon, version));
			}
			micros.recordValue(TimeUnit.NANOSECONDS.toMicros(lastAtNanos - acceptedAtNanos));
		}
		return micros;
	}

	private static long awaitVersion(LocalDaemon daemon, int version) {
		return daemon.process().awaitLine("PL-0300.*version=\"" + version + "\"").readAtNanos();
	}

	private static void print(Figures figures, String what, Histogram micros) {
		figures.print(what + " p50", micros.getValueAtPercentile(50) / MICROS_PER_MILLI, "ms");
		figures.print(what + " p99", micros.getValueAtPercentile(99) / MICROS_PER_MILLI, "ms");
		figures.print(what + " max", micros.getMaxValue() / MICROS_PER_MILLI, "ms");
	}

}
