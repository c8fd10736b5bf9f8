package org.pistachioline.adapters.codec;

import java.util.HashMap;
import java.util.Map;

import com.google.protobuf.InvalidProtocolBufferException;
import org.pcollections.HashTreePMap;

import org.pistachioline.core.record.Member;
import org.pistachioline.core.record.RequestQuarantine;
import org.pistachioline.core.record.RequestSuspicion;
import org.pistachioline.core.state.FleetState;
import org.pistachioline.core.state.GroupState;
import org.pistachioline.core.state.PlannerEpoch;
import org.pistachioline.protocol.records.FleetSnapshot;

/**
 * Checkpoints planners, groups and barred requests; the epochs in it are the original
 * offsets, so that fencing numbers and proofs of presence stay valid.
 */
public final class FleetSnapshotCodec implements SnapshotCodec<FleetState> {

	@Override
	public byte[] encode(FleetState state) {
		final FleetSnapshot.Builder builder = FleetSnapshot.newBuilder();
		state.planners()
			.forEach((domain,
					planner) -> builder.addPlanners(FleetSnapshot.PlannerEpoch.newBuilder()
						.setFabricDomain(domain)
						.setWriter(planner.writer())
						.setEpoch(planner.epoch())));
		state.groups().values().forEach((group) -> builder.addGroups(encode(group)));
		state.lastEpochs()
			.forEach((instance, epoch) -> builder
				.addLastEpochs(FleetSnapshot.InstanceEpoch.newBuilder().setInstanceId(instance).setEpoch(epoch)));
		state.quarantines().values().forEach((quarantine) -> builder.addQuarantines(RecordCodec.encode(quarantine)));
		state.suspicions().values().forEach((suspicion) -> builder.addSuspicions(RecordCodec.encode(suspicion)));
		return builder.addAllWriters(WriterMarksCodec.encode(state.writers())).build().toByteArray();
	}

	private static FleetSnapshot.Group encode(GroupState group) {
		return FleetSnapshot.Group.newBuilder()
			.setGroupId(group.groupId())
			.setModel(group.model())
			.setEpoch(group.epoch())
			.setDraining(group.draining())
			.setReason(group.reason())
			.addAllMembers(group.members().stream().map(RecordCodec::encode).toList())
			.setConfigVersion(group.configVersion())
			.build();
	}

	@Override
	public FleetState decode(byte[] stateBytes) throws CorruptRecordException {
		try {
			return decode(FleetSnapshot.parseFrom(stateBytes));
		}
		catch (InvalidProtocolBufferException | IllegalArgumentException ex) {
			throw new CorruptRecordException(ex);
		}
	}

	private static FleetState decode(FleetSnapshot snapshot) {
		final Map<String, PlannerEpoch> planners = new HashMap<>();
		snapshot.getPlannersList()
			.forEach((planner) -> planners.put(planner.getFabricDomain(),
					new PlannerEpoch(planner.getWriter(), planner.getEpoch())));
		final Map<String, GroupState> groups = new HashMap<>();
		final Map<String, String> owners = new HashMap<>();
		for (final FleetSnapshot.Group message : snapshot.getGroupsList()) {
			final GroupState group = decode(message);
			groups.put(group.groupId(), group);
			for (final Member member : group.members()) {
				owners.put(member.instanceId(), group.groupId());
			}
		}
		final Map<String, Long> lastEpochs = new HashMap<>();
		snapshot.getLastEpochsList()
			.forEach((instance) -> lastEpochs.put(instance.getInstanceId(), instance.getEpoch()));
		final Map<String, RequestQuarantine> quarantines = new HashMap<>();
		snapshot.getQuarantinesList()
			.forEach((message) -> quarantines.put(message.getFingerprint(), RecordCodec.decode(message)));
		final Map<String, RequestSuspicion> suspicions = new HashMap<>();
		snapshot.getSuspicionsList()
			.forEach((message) -> suspicions.put(message.getFingerprint(), RecordCodec.decode(message)));
		return new FleetState(HashTreePMap.from(planners), HashTreePMap.from(groups), HashTreePMap.from(owners),
				HashTreePMap.from(lastEpochs), HashTreePMap.from(quarantines), HashTreePMap.from(suspicions),
				WriterMarksCodec.decode(snapshot.getWritersList()));
	}

	private static GroupState decode(FleetSnapshot.Group group) {
		if (group.getMembersList().isEmpty()) {
			throw new IllegalArgumentException("a group without members");
		}
		return new GroupState(group.getGroupId(), group.getModel(), group.getEpoch(), group.getDraining(),
				group.getReason(), group.getMembersList().stream().map(RecordCodec::decode).toList(),
				group.getConfigVersion());
	}

}
