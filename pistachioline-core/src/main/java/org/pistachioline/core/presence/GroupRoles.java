package org.pistachioline.core.presence;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.pistachioline.core.state.GroupState;

/**
 * Works out which groups this daemon serves and its part before each.
 */
final class GroupRoles {

	private final String selfId;

	private final Map<String, String> zonesByDaemon;

	private final Map<String, List<String>> orderByDomain = new HashMap<>();

	private GroupRoles(String selfId, Map<String, String> zonesByDaemon) {
		this.selfId = selfId;
		this.zonesByDaemon = zonesByDaemon;
	}

	static Map<Long, GroupRole> compute(String selfId, Iterable<GroupState> groups, Map<String, String> zonesByDaemon) {
		final Map<String, Integer> groupsByModel = new HashMap<>();
		groups.forEach((group) -> groupsByModel.merge(group.model(), 1, Integer::sum));
		final GroupRoles roles = new GroupRoles(selfId, zonesByDaemon);
		final Map<Long, GroupRole> byEpoch = new HashMap<>();
		for (final GroupState group : groups) {
			final List<String> order = ServingOrder.forGroup(group.groupId(), roles.domainOrder(group));
			final int servers = ServingOrder.serverCount(order.size(), groupsByModel.get(group.model()));
			final int position = order.indexOf(selfId);
			if (position >= 0 && position < servers) {
				byEpoch.put(group.epoch(), roles.createRole(group, order, position));
			}
		}
		return byEpoch;
	}

	private List<String> domainOrder(GroupState group) {
		return this.orderByDomain.computeIfAbsent(group.fabricDomain(), (domain) -> ServingOrder.forDomain(domain,
				group.members().get(0).availabilityZone(), this.zonesByDaemon));
	}

	// Besides its parent each asks those who may probe, so that a lost daemon in the
	// middle
	// cuts nobody off from a proof.
	private GroupRole createRole(GroupState group, List<String> order, int position) {
		final Set<String> asked = new LinkedHashSet<>();
		if (position > 0) {
			asked.add(order.get(ServingOrder.parentPosition(position)));
		}
		asked.addAll(order.subList(0, Math.min(order.size(), ServingOrder.MAX_PROBERS)));
		asked.remove(this.selfId);
		return new GroupRole(group, position, List.copyOf(asked));
	}

}
