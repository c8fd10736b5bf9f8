package org.pistachioline.core.replica;

import java.util.Optional;
import java.util.Set;

/**
 * An instance as it stands in the platform's list.
 *
 * @param id its id, new with each start
 * @param service the service that it belongs to
 * @param address where it is called
 * @param availabilityZone its availability zone
 * @param fabricDomain its fabric domain; empty for an instance of a plain service
 * @param draining whether it is about to leave
 * @param slots how many requests it runs at once
 * @param stagedModels the models whose weights are on its host
 * @param membership its group; empty where it has none
 */
public record ServingInstance(String id, String service, String address, String availabilityZone, String fabricDomain,
		boolean draining, int slots, Set<String> stagedModels, Optional<Membership> membership) {

	public ServingInstance {
		stagedModels = Set.copyOf(stagedModels);
	}

	/**
	 * Returns the same instance as one that is about to leave.
	 * @return the instance
	 */
	ServingInstance asDraining() {
		return new ServingInstance(this.id, this.service, this.address, this.availabilityZone, this.fabricDomain, true,
				this.slots, this.stagedModels, this.membership);
	}

	/**
	 * Returns whether it says that it belongs to a group.
	 * @param group the group
	 * @return whether it does
	 */
	public boolean isMemberOf(GroupId group) {
		return this.membership.filter((own) -> own.group().equals(group)).isPresent();
	}

	/**
	 * Returns how far it is in a group.
	 * @param group the group
	 * @return its state; empty where it does not belong to the group
	 */
	public Optional<MemberState> stateIn(GroupId group) {
		return this.membership.filter((own) -> own.group().equals(group)).map(Membership::state);
	}

}
