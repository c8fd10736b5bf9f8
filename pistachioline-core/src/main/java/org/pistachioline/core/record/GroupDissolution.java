package org.pistachioline.core.record;

/**
 * Dissolves a replica group, so that its instances can join other groups.
 *
 * @param groupId the id of the group
 * @param groupEpoch the offset of the group's formation
 * @param plannerEpoch the planner epoch of the writer, checked against the current one
 * @param reason why the group is dissolved, for operators
 */
public record GroupDissolution(String groupId, long groupEpoch, long plannerEpoch,
		String reason) implements RecordBody {

}
