package org.pistachioline.core.record;

import java.util.List;

/**
 * Forms a replica group from free instances of one fabric domain.
 *
 * @param groupId the new group's id
 * @param model the model that it serves
 * @param plannerEpoch the writer's planner epoch for the fabric domain
 * @param members the members in rank order
 * @param configVersion the configuration that asked for it, for operators to read
 */
public record GroupFormation(String groupId, String model, long plannerEpoch, List<Member> members,
		long configVersion) implements RecordBody {

	public GroupFormation {
		members = List.copyOf(members);
	}

}
