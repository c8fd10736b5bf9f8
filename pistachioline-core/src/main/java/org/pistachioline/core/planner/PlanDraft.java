package org.pistachioline.core.planner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.pistachioline.core.manifest.ModelSpec;
import org.pistachioline.core.record.GroupFormation;
import org.pistachioline.core.record.RecordBody;
import org.pistachioline.core.state.GroupState;
import org.pistachioline.core.state.PlannerEpoch;

/**
 * A plan while it is being made.
 */
final class PlanDraft {

	private final PlannerInput input;

	private final List<RecordBody> records = new ArrayList<>();

	private final Map<String, String> groupReasons = new HashMap<>();

	private final Map<String, String> freeReasons = new HashMap<>();

	private final Set<String> unreachableDomains = new HashSet<>();

	private final Map<String, Integer> desiredByModel = new HashMap<>();

	private final Map<String, Integer> countedByModel = new HashMap<>();

	private final Map<String, String> blockReasonsByPool = new HashMap<>();

	private final Set<String> changedGroupIds = new HashSet<>();

	private final Set<String> assignedInstanceIds = new HashSet<>();

	PlanDraft(PlannerInput input) {
		this.input = input;
	}

	Set<String> unreachableDomains() {
		return this.unreachableDomains;
	}

	void setReplicaCounts(ModelSpec model, int desired, int counted) {
		this.desiredByModel.put(model.name(), desired);
		this.countedByModel.put(model.name(), counted);
	}

	int desiredReplicas(String model) {
		return this.desiredByModel.getOrDefault(model, 0);
	}

	int missingReplicas(String model) {
		return desiredReplicas(model) - this.countedByModel.getOrDefault(model, 0);
	}

	void explain(GroupState group, String reason) {
		this.groupReasons.put(group.groupId(), reason);
	}

	void explainFree(String instanceId, String reason) {
		this.freeReasons.put(instanceId, reason);
	}

	void drain(GroupState group, PlannerEpoch planner, String reason) {
		if (!group.draining() && this.changedGroupIds.add(group.groupId())) {
			this.records.add(GroupPlanner.drainOf(group, planner, reason));
			explain(group, "begins to drain: " + reason);
		}
	}

	void dissolve(GroupState group, PlannerEpoch planner, String reason) {
		if (this.changedGroupIds.add(group.groupId())) {
			this.records.add(GroupPlanner.dissolution(group, planner, reason));
			explain(group, "is dissolved: " + reason);
		}
	}

	void form(GroupFormation formation) {
		this.records.add(formation);
	}

	int countedReplicas(String model) {
		return this.countedByModel.getOrDefault(model, 0);
	}

	void addReplica(String model) {
		this.countedByModel.merge(model, 1, Integer::sum);
	}

	void markAssigned(String instanceId) {
		this.assignedInstanceIds.add(instanceId);
	}

	boolean isAssigned(String instanceId) {
		return this.assignedInstanceIds.contains(instanceId);
	}

	boolean hasUnresponsiveMember(GroupState group) {
		return group.members()
			.stream()
			.anyMatch((member) -> this.input.unresponsiveIds().contains(member.instanceId()));
	}

	boolean isOutdated(GroupState group) {
		return this.input.manifest()
			.model(group.model())
			.filter((model) -> model.members() == group.members().size())
			.isEmpty();
	}

	Set<String> modelsBelowDesired(String pool) {
		final Set<String> names = new TreeSet<>();
		for (final ModelSpec model : this.input.manifest().models()) {
			if (model.pool().equals(pool) && missingReplicas(model.name()) > 0) {
				names.add(model.name());
			}
		}
		return names;
	}

	void setBlockReason(String pool, String reason) {
		this.blockReasonsByPool.putIfAbsent(pool, reason);
	}

	String blockReason(String pool, String domain) {
		return this.unreachableDomains.contains(domain) ? "the fabric domain is dark"
				: this.blockReasonsByPool.getOrDefault(pool, "too few free instances in this fabric domain");
	}

	Plan toPlan() {
		return new Plan(this.records, this.groupReasons, this.freeReasons, this.unreachableDomains);
	}

}
