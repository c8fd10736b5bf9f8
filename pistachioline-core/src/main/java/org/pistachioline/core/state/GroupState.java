package org.pistachioline.core.state;

import java.util.List;

import org.pistachioline.core.record.Member;

/**
 * One replica group as agreed on the log.
 *
 * @param groupId the group's id
 * @param model the model that it serves
 * @param epoch the offset of its accepted formation; the fencing number of its orders
 * @param draining whether it takes no new work
 * @param reason why it drains, for operators to read
 * @param members its members in rank order
 * @param configVersion the configuration that asked for it
 */
public record GroupState(String groupId, String model, long epoch, boolean draining, String reason,
		List<Member> members, long configVersion) {

	public GroupState {
		members = List.copyOf(members);
	}

	/**
	 * Returns the fabric domain of all members.
	 * @return the fabric domain
	 */
	public String fabricDomain() {
		return this.members.get(0).fabricDomain();
	}

	/**
	 * Returns how many accelerators the members hold.
	 * @return the sum over the members
	 */
	public int accelerators() {
		return this.members.stream().mapToInt(Member::accelerators).sum();
	}

	GroupState asDraining(String why) {
		return new GroupState(this.groupId, this.model, this.epoch, true, why, this.members, this.configVersion);
	}

}
