package org.pistachioline.core.replica;

import java.util.Optional;
import java.util.Set;

/**
 * An instance as shown in the platform's instance list.
 *
 * @param id the id, new with each start
 * @param service the service that the instance belongs to
 * @param address the address for requests and orders
 * @param availabilityZone the availability zone
 * @param fabricDomain the fabric domain; empty for a service without groups
 * @param draining whether the instance is about to leave
 * @param slots the number of requests that it runs concurrently
 * @param stagedModels the models whose weights are on its host
 * @param membership its group membership; empty if it belongs to none
 * @param coldRemainingMillis how long it stays cold, as of its entry in the list; 0 if it
 * is warm
 */
public record ServingInstance(String id, String service, String address, String availabilityZone, String fabricDomain,
		boolean draining, int slots, Set<String> stagedModels, Optional<Membership> membership,
		long coldRemainingMillis) {

	public ServingInstance {
		stagedModels = Set.copyOf(stagedModels);
	}

	/**
	 * Creates a warm instance.
	 * @param id the id, new with each start
	 * @param service the service that the instance belongs to
	 * @param address the address for requests and orders
	 * @param availabilityZone the availability zone
	 * @param fabricDomain the fabric domain; empty for a service without groups
	 * @param draining whether the instance is about to leave
	 * @param slots the number of requests that it runs concurrently
	 * @param stagedModels the models whose weights are on its host
	 * @param membership its group membership; empty if it belongs to none
	 */
	public ServingInstance(String id, String service, String address, String availabilityZone, String fabricDomain,
			boolean draining, int slots, Set<String> stagedModels, Optional<Membership> membership) {
		this(id, service, address, availabilityZone, fabricDomain, draining, slots, stagedModels, membership, 0);
	}

	/**
	 * Returns a copy of this instance that is marked as draining.
	 * @return the copy
	 */
	ServingInstance asDraining() {
		return new ServingInstance(this.id, this.service, this.address, this.availabilityZone, this.fabricDomain, true,
				this.slots, this.stagedModels, this.membership, this.coldRemainingMillis);
	}

	/**
	 * Returns whether the instance reports that it belongs to a group.
	 * @param group the group
	 * @return whether it does
	 */
	public boolean isMemberOf(GroupId group) {
		return this.membership.filter((current) -> current.group().equals(group)).isPresent();
	}

	/**
	 * Returns the instance's state within a group.
	 * @param group the group
	 * @return the state; empty if it does not belong to the group
	 */
	public Optional<MemberState> stateIn(GroupId group) {
		return this.membership.filter((current) -> current.group().equals(group)).map(Membership::state);
	}

}
