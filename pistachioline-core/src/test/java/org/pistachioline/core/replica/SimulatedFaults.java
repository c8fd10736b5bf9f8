package org.pistachioline.core.replica;

import java.util.List;

/**
 * The faults of a {@link ReplicaSimulation}: instances that fail or are disconnected,
 * changes of the planner, lapses of its lease and outages of the store.
 */
final class SimulatedFaults {

	private static final long PARTITION_MILLIS = 10_000;

	private static final long LONG_PARTITION_MILLIS = 40_000;

	private final ReplicaSimulation simulation;

	private long lapsedUntilMillis;

	private long storeUnavailableUntilMillis;

	SimulatedFaults(ReplicaSimulation simulation) {
		this.simulation = simulation;
	}

	void inject() {
		failInstance();
		partitionInstance();
		changePlanner();
		interruptStore();
	}

	private void failInstance() {
		if (this.simulation.random.nextInt(15) == 0) {
			final List<SimulatedInstance> alive = this.simulation.instances.values()
				.stream()
				.filter((instance) -> instance.alive)
				.toList();
			final SimulatedInstance failed = alive.get(this.simulation.random.nextInt(alive.size()));
			failed.alive = false;
			failed.failedAtMillis = this.simulation.nowMillis;
			replace(failed);
		}
	}

	private void partitionInstance() {
		if (this.simulation.random.nextInt(40) == 0) {
			final List<SimulatedInstance> all = List.copyOf(this.simulation.instances.values());
			final SimulatedInstance partitioned = all.get(this.simulation.random.nextInt(all.size()));
			partitioned.unreachable = this.simulation.random.nextInt(3) == 0;
			partitioned.partitionedUntilMillis = this.simulation.nowMillis
					+ ((partitioned.unreachable && this.simulation.longPartitions) ? LONG_PARTITION_MILLIS
							: PARTITION_MILLIS);
		}
	}

	private void changePlanner() {
		if (this.simulation.random.nextInt(60) == 0) {
			this.simulation.changePlanner();
		}
		if (this.simulation.leaseLapses && this.simulation.random.nextInt(100) == 0) {
			this.lapsedUntilMillis = this.simulation.nowMillis + 500 + this.simulation.random.nextInt(5_000);
		}
		else if (this.lapsedUntilMillis > 0 && this.simulation.nowMillis >= this.lapsedUntilMillis) {
			this.lapsedUntilMillis = 0;
			this.simulation.reacquireLease();
		}
	}

	private void interruptStore() {
		if (this.simulation.storeOutages && this.simulation.random.nextInt(120) == 0) {
			this.storeUnavailableUntilMillis = this.simulation.nowMillis + 1_000
					+ this.simulation.random.nextInt(14_000);
		}
	}

	private void replace(SimulatedInstance failed) {
		final SimulatedInstance successor = this.simulation.addInstance(failed.domain);
		if (this.simulation.restartAtSameAddress) {
			successor.address = failed.address;
			this.simulation.restartedAs.put(failed.id, successor.id);
			// The list has one entry for the address, and shows the restarted instance.
			failed.restarted = true;
		}
	}

	boolean leaseLapsed() {
		return this.simulation.nowMillis < this.lapsedUntilMillis;
	}

	boolean storeUnavailable() {
		return this.simulation.nowMillis < this.storeUnavailableUntilMillis;
	}

}
