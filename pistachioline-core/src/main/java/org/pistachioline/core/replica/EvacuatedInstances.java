package org.pistachioline.core.replica;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The instances in availability zones that operators evacuate. They count as draining:
 * their groups close when their requests are done, and no group is formed with them.
 */
public final class EvacuatedInstances {

	private final Set<String> availabilityZones;

	/**
	 * Creates the instances of some zones.
	 * @param availabilityZones the zones to evacuate
	 */
	public EvacuatedInstances(Set<String> availabilityZones) {
		this.availabilityZones = Set.copyOf(availabilityZones);
	}

	/**
	 * Overrides the draining state of the listed instances in these zones.
	 * @param listed the listed instances
	 * @return the same instances, with those in the zones marked as draining
	 */
	public List<ServingInstance> markDraining(List<ServingInstance> listed) {
		if (this.availabilityZones.isEmpty()) {
			return listed;
		}
		return listed.stream().map((instance) -> isEvacuated(instance) ? instance.asDraining() : instance).toList();
	}

	private boolean isEvacuated(ServingInstance instance) {
		return this.availabilityZones.contains(instance.availabilityZone());
	}

	/**
	 * Returns the instances that receive requests for an evacuated instance: themselves,
	 * and the heads of groups with a member in these zones.
	 * @param listed the listed instances
	 * @return the ids of the instances
	 */
	public Set<String> receiverIds(List<ServingInstance> listed) {
		if (this.availabilityZones.isEmpty()) {
			return Set.of();
		}
		final Set<GroupId> groups = listed.stream()
			.filter(this::isEvacuated)
			.flatMap((instance) -> instance.membership().stream())
			.map(Membership::group)
			.collect(Collectors.toSet());
		final Set<String> ids = new HashSet<>();
		for (final ServingInstance instance : listed) {
			final boolean heads = instance.membership()
				.filter((membership) -> membership.rank() == 0 && groups.contains(membership.group()))
				.isPresent();
			if (heads || isEvacuated(instance)) {
				ids.add(instance.id());
			}
		}
		return ids;
	}

}
