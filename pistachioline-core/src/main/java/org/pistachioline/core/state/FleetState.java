package org.pistachioline.core.state;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

import org.pistachioline.core.record.RequestQuarantine;
import org.pistachioline.core.record.RequestSuspicion;

/**
 * The agreed groups, planners and barred requests.
 *
 * @param planners who plans each fabric domain
 * @param groups the groups by id
 * @param groupIdsByInstance the group of each instance that is in one
 * @param lastEpochs the last group epoch of each instance that was in one
 * @param quarantines the barred requests by fingerprint
 * @param suspicions the suspected requests by fingerprint
 * @param writers the marks of the stream's writers
 */
public record FleetState(PMap<String, PlannerEpoch> planners, PMap<String, GroupState> groups,
		PMap<String, String> groupIdsByInstance, PMap<String, Long> lastEpochs,
		PMap<String, RequestQuarantine> quarantines, PMap<String, RequestSuspicion> suspicions, WriterMarks writers) {

	/** The state before any record. */
	public static final FleetState EMPTY = new FleetState(HashTreePMap.empty(), HashTreePMap.empty(),
			HashTreePMap.empty(), HashTreePMap.empty(), HashTreePMap.empty(), HashTreePMap.empty(), WriterMarks.EMPTY);

	FleetState withWriters(WriterMarks marks) {
		return new FleetState(this.planners, this.groups, this.groupIdsByInstance, this.lastEpochs, this.quarantines,
				this.suspicions, marks);
	}

	FleetState withPlanner(String fabricDomain, PlannerEpoch planner) {
		return new FleetState(this.planners.plus(fabricDomain, planner), this.groups, this.groupIdsByInstance,
				this.lastEpochs, this.quarantines, this.suspicions, this.writers);
	}

	FleetState withGroups(PMap<String, GroupState> newGroups, PMap<String, String> newOwners,
			PMap<String, Long> newEpochs) {
		return new FleetState(this.planners, newGroups, newOwners, newEpochs, this.quarantines, this.suspicions,
				this.writers);
	}

	FleetState withQuarantine(RequestQuarantine quarantine) {
		return new FleetState(this.planners, this.groups, this.groupIdsByInstance, this.lastEpochs,
				this.quarantines.plus(quarantine.fingerprint(), quarantine), this.suspicions, this.writers);
	}

	FleetState withSuspicion(RequestSuspicion suspicion) {
		return new FleetState(this.planners, this.groups, this.groupIdsByInstance, this.lastEpochs, this.quarantines,
				this.suspicions.plus(suspicion.fingerprint(), suspicion), this.writers);
	}

	FleetState withQuarantinesAndSuspicions(PMap<String, RequestQuarantine> newQuarantines,
			PMap<String, RequestSuspicion> newSuspicions) {
		return new FleetState(this.planners, this.groups, this.groupIdsByInstance, this.lastEpochs, newQuarantines,
				newSuspicions, this.writers);
	}

}
