package org.pistachioline.core.replica;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The instance list of a {@link ReplicaSimulation} and its history: daemons see it after
 * a lag, and it shows a silent instance until three heartbeats are missing.
 */
final class SimulatedInstanceList {

	private final ReplicaSimulation simulation;

	private final List<Map<String, ServingInstance>> history = new ArrayList<>();

	private final List<Long> asOfMillis = new ArrayList<>();

	SimulatedInstanceList(ReplicaSimulation simulation) {
		this.simulation = simulation;
	}

	void update(boolean storeUnavailable) {
		if (storeUnavailable && !this.history.isEmpty()) {
			this.history.add(this.history.get(this.history.size() - 1));
			this.asOfMillis.add(this.asOfMillis.get(this.asOfMillis.size() - 1));
			return;
		}
		final Map<String, ServingInstance> listed = new HashMap<>();
		for (final SimulatedInstance instance : this.simulation.instances.values()) {
			final long unreachableMillis = instance.alive
					? this.simulation.nowMillis - instance.partitionedSince(this.simulation.nowMillis)
					: this.simulation.nowMillis - instance.failedAtMillis;
			final int index = Integer.parseInt(instance.id.substring("i-".length()));
			if (unreachableMillis >= 3 * ReplicaSimulation.HEARTBEAT_MILLIS || instance.restarted
					|| this.simulation.nowMillis < instance.missingUntilMillis
					|| this.simulation.nowMillis < index * this.simulation.listingIntervalMillis) {
				instance.lastListed = null;
			}
			else if (instance.alive && unreachableMillis == 0) {
				instance.lastListed = instance.report();
			}
			if (instance.lastListed != null) {
				listed.put(instance.id, instance.lastListed);
			}
		}
		this.history.add(listed);
		this.asOfMillis.add(this.simulation.nowMillis);
	}

	boolean isKnown(int lagSteps) {
		return this.history.size() > lagSteps;
	}

	long asOfMillis(int lagSteps) {
		return this.asOfMillis.get(this.asOfMillis.size() - 1 - lagSteps);
	}

	Map<String, ServingInstance> seenAfter(int lagSteps) {
		return this.history.get(this.history.size() - 1 - lagSteps);
	}

}
