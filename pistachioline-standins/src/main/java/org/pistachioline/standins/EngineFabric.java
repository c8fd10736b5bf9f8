package org.pistachioline.standins;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Lets the engines of one process know of each other, since losing one member of a group
 * kills the whole replica.
 */
public final class EngineFabric {

	private final Map<String, Set<EngineStandIn>> membersByGroup = new HashMap<>();

	synchronized void join(String groupId, EngineStandIn engine) {
		this.membersByGroup.computeIfAbsent(groupId, (key) -> new HashSet<>()).add(engine);
	}

	synchronized void leave(String groupId, EngineStandIn engine) {
		final Set<EngineStandIn> members = this.membersByGroup.get(groupId);
		if (members != null) {
			members.remove(engine);
		}
	}

	synchronized Set<EngineStandIn> members(String groupId) {
		return Set.copyOf(this.membersByGroup.getOrDefault(groupId, Set.of()));
	}

}
