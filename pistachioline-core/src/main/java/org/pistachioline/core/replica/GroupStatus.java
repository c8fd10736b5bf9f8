package org.pistachioline.core.replica;

import java.util.Map;
import java.util.Optional;

/**
 * How one group stands by what its members report now.
 */
final class GroupStatus {

	private final TrackedGroup tracked;

	private final Map<String, ServingInstance> instances;

	GroupStatus(TrackedGroup record, Map<String, ServingInstance> instances) {
		this.tracked = record;
		this.instances = instances;
	}

	Optional<ServingInstance> head() {
		return Optional.ofNullable(this.tracked.headId()).map(this.instances::get);
	}

	Optional<MemberState> headState() {
		return head().flatMap((head) -> head.stateIn(this.tracked.id));
	}

	// Some member that is listed, belongs to the group and does not head it.
	Optional<ServingInstance> firstFollower() {
		return this.tracked.memberIds.stream()
			.skip(1)
			.map(this.instances::get)
			.filter((instance) -> instance != null && instance.isMemberOf(this.tracked.id))
			.findFirst();
	}

	boolean allListed() {
		return this.tracked.memberIds.stream().allMatch((id) -> id != null && this.instances.containsKey(id));
	}

	boolean anyDraining() {
		return this.tracked.memberIds.stream()
			.anyMatch((id) -> id != null && this.instances.containsKey(id) && this.instances.get(id).draining());
	}

	// Whether every member says that it belongs to the group.
	boolean allJoined() {
		return this.tracked.memberIds.stream()
			.allMatch((id) -> id != null && this.instances.containsKey(id)
					&& this.instances.get(id).isMemberOf(this.tracked.id));
	}

	// Whether some member is still on its way into the group, or was not heard of yet.
	boolean anyJoining() {
		return !this.tracked.openOrdered && this.tracked.memberIds.stream()
			.map(this.instances::get)
			.anyMatch((instance) -> instance != null
					&& instance.stateIn(this.tracked.id).orElse(MemberState.JOINING) == MemberState.JOINING);
	}

	// Whether some member belongs to a later group by now.
	boolean anyInLaterGroup() {
		return this.tracked.memberIds.stream()
			.anyMatch((id) -> id != null && this.instances.containsKey(id)
					&& this.instances.get(id)
						.membership()
						.filter((own) -> own.group().epoch() > this.tracked.id.epoch())
						.isPresent());
	}

	// Whether every member is prepared and none has noticed a loss.
	boolean allReady() {
		return allJoined() && this.tracked.memberIds.stream().allMatch((id) -> {
			final MemberState state = this.instances.get(id).stateIn(this.tracked.id).orElseThrow();
			return state == MemberState.READY || state == MemberState.OPEN;
		});
	}

}
