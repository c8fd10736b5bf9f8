package org.pistachioline.core.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleBiFunction;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import org.pistachioline.core.world.VirtualTime;

/**
 * Many daemons that share uneven targets, in virtual time.
 */
final class UnevenFleet {

	static final String[] ZONES = { "a", "b", "c" };

	private static final long TICK_NANOS = 50_000_000L;

	final VirtualTime time = new VirtualTime();

	final List<UnevenTarget> targets = new ArrayList<>();

	final List<UnevenFleetDaemon> daemons = new ArrayList<>();

	final UniformRandomProvider random;

	private List<Double> busyAtStart = List.of();

	int requests;

	int newConnections;

	int crossZone;

	int failures;

	long longestWaitNanos;

	int waited;

	int failedTwice;

	UnevenFleet(long seed) {
		this.random = RandomSource.SPLIT_MIX_64.create(seed);
	}

	void addTargets(int count, int slots, double... paces) {
		for (int i = 0; i < count; i++) {
			final int index = this.targets.size();
			this.targets.add(new UnevenTarget(this.time, "group-" + index + "@" + index, ZONES[index % ZONES.length],
					slots, paces[(index / ZONES.length) % paces.length]));
		}
	}

	void addDaemons(int count, boolean subsets) {
		for (int i = 0; i < count; i++) {
			this.daemons.add(new UnevenFleetDaemon(this, ZONES[i % ZONES.length], i, count, subsets));
		}
		this.time.every(TICK_NANOS, () -> this.daemons.forEach(UnevenFleetDaemon::onTick));
	}

	/**
	 * Sends requests to random daemons.
	 * @param requestsPerSecond the rate of one daemon, by its zone and the time in
	 * seconds
	 * @param workMillis the mean duration of a request on an idle target of pace 1
	 */
	void load(ToDoubleBiFunction<String, Double> requestsPerSecond, double workMillis) {
		for (final UnevenFleetDaemon daemon : this.daemons) {
			arrive(daemon, requestsPerSecond, workMillis);
		}
	}

	private void arrive(UnevenFleetDaemon daemon, ToDoubleBiFunction<String, Double> requestsPerSecond,
			double workMillis) {
		final double seconds = (double) this.time.nowNanos() / VirtualTime.SECOND_NANOS;
		final double gap = -Math.log(1 - this.random.nextDouble())
				/ requestsPerSecond.applyAsDouble(daemon.zone, seconds);
		this.time.after((long) (gap * VirtualTime.SECOND_NANOS), () -> {
			daemon.submit((long) (workMillis * 1e6 * (0.2 - 0.8 * Math.log(1 - this.random.nextDouble()))));
			arrive(daemon, requestsPerSecond, workMillis);
		});
	}

	/** Starts the measurement, after the fleet has settled. */
	void measure() {
		this.busyAtStart = this.targets.stream().map(UnevenTarget::busyNanosPerSlot).toList();
		this.requests = 0;
		this.newConnections = 0;
		this.crossZone = 0;
		this.failures = 0;
		this.waited = 0;
		this.longestWaitNanos = 0;
		this.failedTwice = 0;
	}

	/**
	 * Returns how much busier the busiest target was than the mean. A target at half the
	 * pace that runs half as many requests is as busy as the others.
	 * @param zone the zone whose targets are compared; empty for all
	 * @return the ratio of the times spent per slot
	 */
	double busiestToMean(String zone) {
		double max = 0;
		double sum = 0;
		int count = 0;
		for (int i = 0; i < this.targets.size(); i++) {
			if (zone.isEmpty() || this.targets.get(i).zone.equals(zone)) {
				final double busy = this.targets.get(i).busyNanosPerSlot() - this.busyAtStart.get(i);
				max = Math.max(max, busy);
				sum += busy;
				count++;
			}
		}
		return max / (sum / count);
	}

	double newConnectionsPerRequest() {
		return (double) this.newConnections / this.requests;
	}

	double crossZoneRatio() {
		return (double) this.crossZone / this.requests;
	}

	double utilization(double seconds) {
		double busy = 0;
		for (int i = 0; i < this.targets.size(); i++) {
			busy += this.targets.get(i).busyNanosPerSlot() - this.busyAtStart.get(i);
		}
		return busy / this.targets.size() / (seconds * VirtualTime.SECOND_NANOS);
	}

	UnevenTarget target(String id) {
		return this.targets.stream().filter((each) -> each.id.equals(id)).findFirst().orElseThrow();
	}

}
