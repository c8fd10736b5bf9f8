package org.pistachioline.core.replica;

import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Evaluates a group's state from what its members currently report.
 */
final class GroupStatus {

	private final TrackedGroup tracked;

	private final Map<String, ServingInstance> instances;

	GroupStatus(TrackedGroup tracked, Map<String, ServingInstance> instances) {
		this.tracked = tracked;
		this.instances = instances;
	}

	Optional<ServingInstance> head() {
		return Optional.ofNullable(this.tracked.headId()).map(this.instances::get);
	}

	Optional<MemberState> headState() {
		return head().flatMap((head) -> head.stateIn(this.tracked.id));
	}

	// Returns the first listed member by rank, other than the head, that reports this
	// group and is suitable.
	Optional<ServingInstance> firstFollower(Predicate<ServingInstance> suitable) {
		return this.tracked.memberIds.stream()
			.skip(1)
			.map(this.instances::get)
			.filter((instance) -> instance != null && instance.isMemberOf(this.tracked.id))
			.filter(suitable)
			.findFirst();
	}

	boolean allListed() {
		return this.tracked.memberIds.stream().allMatch((id) -> id != null && this.instances.containsKey(id));
	}

	boolean anyDraining() {
		return this.tracked.memberIds.stream()
			.anyMatch((id) -> id != null && this.instances.containsKey(id) && this.instances.get(id).draining());
	}

	// Returns whether every member reports that it belongs to the group.
	boolean allJoined() {
		return this.tracked.memberIds.stream()
			.allMatch((id) -> id != null && this.instances.containsKey(id)
					&& this.instances.get(id).isMemberOf(this.tracked.id));
	}

	// Returns whether a listed member of a group that was never ordered to open is still
	// joining, or has not reported this group yet.
	boolean anyJoining() {
		return !this.tracked.openOrdered && this.tracked.memberIds.stream()
			.map(this.instances::get)
			.anyMatch((instance) -> instance != null
					&& instance.stateIn(this.tracked.id).orElse(MemberState.JOINING) == MemberState.JOINING);
	}

	// Returns whether a member reports a group with a higher epoch.
	boolean anyInLaterGroup() {
		return this.tracked.memberIds.stream()
			.anyMatch((id) -> id != null && this.instances.containsKey(id)
					&& this.instances.get(id)
						.membership()
						.filter((membership) -> membership.group().epoch() > this.tracked.id.epoch())
						.isPresent());
	}

	// Returns whether the group is open and complete.
	boolean serves() {
		return allListed() && allReady() && !anyDraining()
				&& headState().filter((state) -> state == MemberState.OPEN).isPresent();
	}

	// Returns whether every member is ready in this group and none has noticed a loss.
	boolean allReady() {
		return allJoined() && this.tracked.memberIds.stream().allMatch((id) -> {
			final MemberState state = this.instances.get(id).stateIn(this.tracked.id).orElseThrow();
			return state == MemberState.READY || state == MemberState.OPEN;
		});
	}

}
