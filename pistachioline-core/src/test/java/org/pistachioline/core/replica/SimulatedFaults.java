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

	private final DelayedActions pending = new DelayedActions();

	private long lapsedUntilMillis;

	private long storeUnavailableUntilMillis;

	SimulatedFaults(ReplicaSimulation simulation) {
		this.simulation = simulation;
	}

	void inject() {
		this.pending.runDue(this.simulation.nowMillis);
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
		if (this.simulation.leaseKeptThroughTerms && this.simulation.random.nextInt(60) == 0) {
			this.simulation.renewLeaseInNextTerm();
		}
		if (this.simulation.rapidPlannerChanges && this.simulation.random.nextInt(200) == 0) {
			changePlannerRepeatedly();
		}
	}

	private void changePlannerRepeatedly() {
		long atMillis = this.simulation.nowMillis;
		for (int change = 2 + this.simulation.random.nextInt(4); change > 0; change--) {
			atMillis += 200 + this.simulation.random.nextInt(1_200);
			this.pending.add(atMillis, this.simulation::changePlanner);
		}
	}

	private void interruptStore() {
		if (this.simulation.listGapsAfterOutages && this.simulation.random.nextInt(250) == 0) {
			this.storeUnavailableUntilMillis = this.simulation.nowMillis + 8_000
					+ this.simulation.random.nextInt(22_000);
			this.pending.add(this.storeUnavailableUntilMillis, this::hideEntries);
		}
		if (this.simulation.storeOutages && this.simulation.random.nextInt(120) == 0) {
			this.storeUnavailableUntilMillis = this.simulation.nowMillis + 1_000
					+ this.simulation.random.nextInt(14_000);
		}
	}

	private void hideEntries() {
		for (final SimulatedInstance instance : this.simulation.instances.values()) {
			if (this.simulation.random.nextBoolean()) {
				instance.missingUntilMillis = this.simulation.nowMillis + this.simulation.random.nextInt(2_000);
			}
		}
	}

	private void replace(SimulatedInstance failed) {
		if (this.simulation.restartsKeepId) {
			this.pending.add(this.simulation.nowMillis + this.simulation.random.nextInt(1_000),
					() -> restartUnderSameId(failed));
			return;
		}
		final SimulatedInstance successor = this.simulation.addInstance(failed.domain);
		if (this.simulation.restartAtSameAddress) {
			successor.address = failed.address;
			this.simulation.restartedAs.put(failed.id, successor.id);
			// The list has one entry for the address, and shows the restarted instance.
			failed.restarted = true;
		}
	}

	private void restartUnderSameId(SimulatedInstance failed) {
		final SimulatedInstance successor = this.simulation.addInstance(failed.domain);
		successor.address = failed.address;
		successor.stagedModels = failed.stagedModels;
		// Its group lacks it since its failure.
		successor.groupChangedAtMillis = failed.failedAtMillis;
		this.simulation.restartedAs.put(failed.id, successor.id);
		failed.restarted = true;
		this.simulation.transport.hastenLateOrdersTo(failed.id);
	}

	boolean leaseLapsed() {
		return this.simulation.nowMillis < this.lapsedUntilMillis;
	}

	boolean storeUnavailable() {
		return this.simulation.nowMillis < this.storeUnavailableUntilMillis;
	}

}
