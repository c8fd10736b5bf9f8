package org.pistachioline.core.state;

import java.util.List;

import org.pistachioline.core.record.Member;

/**
 * A replica group that was formed by an accepted record.
 *
 * @param groupId the group's id
 * @param model the name of the model that the group serves
 * @param epoch the offset of the accepted formation, used as the fencing token of orders
 * to the members
 * @param draining whether the group gets no new requests
 * @param reason why the group is draining, for operators; empty if it is not
 * @param members the members in rank order
 * @param configVersion the version of the configuration that the formation is based on
 */
public record GroupState(String groupId, String model, long epoch, boolean draining, String reason,
		List<Member> members, long configVersion) {

	public GroupState {
		members = List.copyOf(members);
	}

	/**
	 * Returns the fabric domain, which is the same for all members.
	 * @return the name of the fabric domain
	 */
	public String fabricDomain() {
		return this.members.get(0).fabricDomain();
	}

	/**
	 * Returns the number of accelerators of the group.
	 * @return the sum over the members
	 */
	public int accelerators() {
		return this.members.stream().mapToInt(Member::accelerators).sum();
	}

	GroupState asDraining(String drainReason) {
		return new GroupState(this.groupId, this.model, this.epoch, true, drainReason, this.members,
				this.configVersion);
	}

}
