package org.pistachioline.core.state;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

import org.pistachioline.core.record.RequestQuarantine;
import org.pistachioline.core.record.RequestSuspicion;

/**
 * The replica groups, planners and quarantined requests that result from applying all
 * records of the fleet stream.
 *
 * @param planners the planner of each fabric domain
 * @param groups the replica groups by id
 * @param groupIdsByInstance the id of the group of each instance that is a member of one
 * @param lastEpochs the epoch of the last group of each instance, also after the group
 * was dissolved
 * @param quarantines the quarantined requests by fingerprint
 * @param suspicions the suspected requests by fingerprint
 * @param writers the last record of each writer of the stream
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

	FleetState withGroups(PMap<String, GroupState> newGroups, PMap<String, String> newGroupIdsByInstance,
			PMap<String, Long> newLastEpochs) {
		return new FleetState(this.planners, newGroups, newGroupIdsByInstance, newLastEpochs, this.quarantines,
				this.suspicions, this.writers);
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
