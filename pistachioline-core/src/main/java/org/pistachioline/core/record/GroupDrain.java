package org.pistachioline.core.record;

/**
 * Stops new work on a replica group.
 *
 * @param groupId the group
 * @param groupEpoch the group's epoch
 * @param plannerEpoch the writer's planner epoch
 * @param reason why, for operators to read
 */
public record GroupDrain(String groupId, long groupEpoch, long plannerEpoch, String reason) implements RecordBody {

}
