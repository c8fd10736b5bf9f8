package org.pistachioline.core.record;

import java.util.List;

/**
 * Forms a replica group from free instances of one fabric domain.
 *
 * @param groupId the id of the new group
 * @param model the name of the model that the group serves
 * @param plannerEpoch the planner epoch of the writer for the fabric domain, checked
 * against the current one
 * @param members the members in rank order
 * @param configVersion the version of the configuration that the formation is based on,
 * for operators
 */
public record GroupFormation(String groupId, String model, long plannerEpoch, List<Member> members,
		long configVersion) implements RecordBody {

	public GroupFormation {
		members = List.copyOf(members);
	}

}
