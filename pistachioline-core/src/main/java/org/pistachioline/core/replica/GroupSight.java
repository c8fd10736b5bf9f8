package org.pistachioline.core.replica;

import java.util.Map;
import java.util.Optional;

/**
 * How one group stands by what its members report now.
 */
final class GroupSight {

	private final GroupRecord record;

	private final Map<String, ServingInstance> instances;

	GroupSight(GroupRecord record, Map<String, ServingInstance> instances) {
		this.record = record;
		this.instances = instances;
	}

	Optional<ServingInstance> head() {
		return Optional.ofNullable(this.record.headId()).map(this.instances::get);
	}

	Optional<MemberState> headState() {
		return head().flatMap((head) -> head.stateIn(this.record.group));
	}

	// Some member that is listed, belongs to the group and does not head it.
	Optional<ServingInstance> firstFollower() {
		return this.record.memberIds.stream()
			.skip(1)
			.map(this.instances::get)
			.filter((instance) -> instance != null && instance.isMemberOf(this.record.group))
			.findFirst();
	}

	boolean allListed() {
		return this.record.memberIds.stream().allMatch((id) -> id != null && this.instances.containsKey(id));
	}

	boolean anyDraining() {
		return this.record.memberIds.stream()
			.anyMatch((id) -> id != null && this.instances.containsKey(id) && this.instances.get(id).draining());
	}

	// Whether every member says that it belongs to the group.
	boolean allJoined() {
		return this.record.memberIds.stream()
			.allMatch((id) -> id != null && this.instances.containsKey(id)
					&& this.instances.get(id).isMemberOf(this.record.group));
	}

	// Whether some member is still on its way into the group, or was not heard of yet.
	boolean anyJoining() {
		return !this.record.opened && this.record.memberIds.stream()
			.map(this.instances::get)
			.anyMatch((instance) -> instance != null
					&& instance.stateIn(this.record.group).orElse(MemberState.JOINING) == MemberState.JOINING);
	}

	// Whether some member belongs to a later group by now.
	boolean anySuperseded() {
		return this.record.memberIds.stream()
			.anyMatch((id) -> id != null && this.instances.containsKey(id)
					&& this.instances.get(id)
						.membership()
						.filter((own) -> own.group().epoch() > this.record.group.epoch())
						.isPresent());
	}

	// Whether every member is prepared and none has noticed a loss.
	boolean allPrepared() {
		return allJoined() && this.record.memberIds.stream().allMatch((id) -> {
			final MemberState state = this.instances.get(id).stateIn(this.record.group).orElseThrow();
			return state == MemberState.READY || state == MemberState.OPEN;
		});
	}

}
