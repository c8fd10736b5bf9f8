package org.pistachioline.core.record;

/**
 * Dissolves a replica group and frees its instances.
 *
 * @param groupId the group
 * @param groupEpoch the group's epoch
 * @param plannerEpoch the writer's planner epoch
 * @param reason why, for operators to read
 */
public record GroupDissolution(String groupId, long groupEpoch, long plannerEpoch,
		String reason) implements RecordBody {

}
