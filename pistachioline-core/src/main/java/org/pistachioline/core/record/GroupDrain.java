package org.pistachioline.core.record;

/**
 * Drains a replica group: it completes the requests in progress and gets no new ones.
 *
 * @param groupId the id of the group
 * @param groupEpoch the offset of the group's formation
 * @param plannerEpoch the planner epoch of the writer, checked against the current one
 * @param reason why the group is drained, for operators
 */
public record GroupDrain(String groupId, long groupEpoch, long plannerEpoch, String reason) implements RecordBody {

}
