package org.pistachioline.core.state;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.pcollections.PMap;

import org.pistachioline.core.record.CheckpointPart;
import org.pistachioline.core.record.GroupDissolution;
import org.pistachioline.core.record.GroupDrain;
import org.pistachioline.core.record.GroupFormation;
import org.pistachioline.core.record.LogRecord;
import org.pistachioline.core.record.Member;
import org.pistachioline.core.record.PlannerClaim;
import org.pistachioline.core.record.RecordBody;
import org.pistachioline.core.record.RequestQuarantine;
import org.pistachioline.core.record.RequestSuspicion;
import org.pistachioline.core.record.UnknownBody;

/**
 * Applies the records of the fleet stream: planner claims, replica groups and request
 * quarantines.
 * <p>
 * The result depends on this stream only. A group formation carries all data that its
 * validation needs, so daemons that have read the configuration stream up to different
 * offsets still reach the same state.
 */
public final class FleetReducer implements Reducer<FleetState> {

	@Override
	public FleetState initial() {
		return FleetState.EMPTY;
	}

	@Override
	public ApplyResult<FleetState> apply(FleetState state, long offset, LogRecord record) {
		if (state.writers().isDuplicate(record)) {
			return ApplyResult.rejected(state, RejectReason.REPEATED);
		}
		final FleetState stateWithMark = state.withWriters(state.writers().with(offset, record));
		final RecordBody body = record.body();
		if (body instanceof PlannerClaim claim) {
			return claimPlanner(stateWithMark, offset, record.writer(), claim);
		}
		if (body instanceof GroupFormation formation) {
			return formGroup(stateWithMark, offset, record.writer(), formation);
		}
		if (body instanceof GroupDissolution dissolution) {
			return dissolveGroup(stateWithMark, record.writer(), dissolution);
		}
		if (body instanceof GroupDrain drain) {
			return drainGroup(stateWithMark, record.writer(), drain);
		}
		if (body instanceof RequestQuarantine quarantine) {
			return ApplyResult.accepted(QuarantineRules.applyQuarantine(stateWithMark, quarantine));
		}
		if (body instanceof RequestSuspicion suspicion) {
			return ApplyResult.accepted(QuarantineRules.applySuspicion(stateWithMark, suspicion));
		}
		if (body instanceof CheckpointPart) {
			// A checkpoint repeats the state; only the mark of its writer changes.
			return ApplyResult.accepted(stateWithMark);
		}
		final boolean unknown = body instanceof UnknownBody;
		return ApplyResult.rejected(stateWithMark, unknown ? RejectReason.UNKNOWN_KIND : RejectReason.WRONG_STREAM);
	}

	private static ApplyResult<FleetState> claimPlanner(FleetState state, long offset, String writer,
			PlannerClaim claim) {
		final PlannerEpoch current = state.planners().get(claim.fabricDomain());
		final long currentEpoch = (current != null) ? current.epoch() : PlannerClaim.NO_EPOCH;
		if (claim.expectedEpoch() != currentEpoch) {
			return ApplyResult.rejected(state, RejectReason.STALE_PLANNER);
		}
		return ApplyResult.accepted(state.withPlanner(claim.fabricDomain(), new PlannerEpoch(writer, offset)));
	}

	private static ApplyResult<FleetState> formGroup(FleetState state, long offset, String writer,
			GroupFormation formation) {
		final Optional<RejectReason> rejection = rejectionOf(state, offset, writer, formation);
		if (rejection.isPresent()) {
			return ApplyResult.rejected(state, rejection.get());
		}
		final GroupState group = new GroupState(formation.groupId(), formation.model(), offset, false, "",
				formation.members(), formation.configVersion());
		PMap<String, String> groupIdsByInstance = state.groupIdsByInstance();
		PMap<String, Long> lastEpochs = state.lastEpochs();
		for (final Member member : formation.members()) {
			groupIdsByInstance = groupIdsByInstance.plus(member.instanceId(), group.groupId());
			lastEpochs = lastEpochs.plus(member.instanceId(), offset);
		}
		return ApplyResult
			.accepted(state.withGroups(state.groups().plus(group.groupId(), group), groupIdsByInstance, lastEpochs));
	}

	private static Optional<RejectReason> rejectionOf(FleetState state, long offset, String writer,
			GroupFormation formation) {
		if (formation.members().isEmpty()) {
			return Optional.of(RejectReason.INVALID_MEMBERS);
		}
		final String domain = formation.members().get(0).fabricDomain();
		if (!isPlanner(state, domain, writer, formation.plannerEpoch())) {
			return Optional.of(RejectReason.STALE_PLANNER);
		}
		if (state.groups().containsKey(formation.groupId())) {
			return Optional.of(RejectReason.GROUP_EXISTS);
		}
		final Set<String> seen = new HashSet<>();
		for (final Member member : formation.members()) {
			if (!member.fabricDomain().equals(domain) || !seen.add(member.instanceId())) {
				return Optional.of(RejectReason.INVALID_MEMBERS);
			}
			// One log entry can hold several records. A second formation of an instance
			// at the same offset would get the same fencing token, so it is rejected
			// even if the first group was dissolved in between.
			final long lastEpoch = state.lastEpochs().getOrDefault(member.instanceId(), -1L);
			if (state.groupIdsByInstance().containsKey(member.instanceId()) || lastEpoch >= offset) {
				return Optional.of(RejectReason.MEMBER_TAKEN);
			}
		}
		return Optional.empty();
	}

	private static ApplyResult<FleetState> dissolveGroup(FleetState state, String writer,
			GroupDissolution dissolution) {
		final GroupState group = state.groups().get(dissolution.groupId());
		if (group == null || group.epoch() != dissolution.groupEpoch()) {
			return ApplyResult.rejected(state, RejectReason.UNKNOWN_GROUP);
		}
		if (!isPlanner(state, group.fabricDomain(), writer, dissolution.plannerEpoch())) {
			return ApplyResult.rejected(state, RejectReason.STALE_PLANNER);
		}
		PMap<String, String> groupIdsByInstance = state.groupIdsByInstance();
		for (final Member member : group.members()) {
			groupIdsByInstance = groupIdsByInstance.minus(member.instanceId());
		}
		return ApplyResult
			.accepted(state.withGroups(state.groups().minus(group.groupId()), groupIdsByInstance, state.lastEpochs()));
	}

	private static ApplyResult<FleetState> drainGroup(FleetState state, String writer, GroupDrain drain) {
		final GroupState group = state.groups().get(drain.groupId());
		if (group == null || group.epoch() != drain.groupEpoch()) {
			return ApplyResult.rejected(state, RejectReason.UNKNOWN_GROUP);
		}
		if (!isPlanner(state, group.fabricDomain(), writer, drain.plannerEpoch())) {
			return ApplyResult.rejected(state, RejectReason.STALE_PLANNER);
		}
		final PMap<String, GroupState> groups = state.groups().plus(group.groupId(), group.asDraining(drain.reason()));
		return ApplyResult.accepted(state.withGroups(groups, state.groupIdsByInstance(), state.lastEpochs()));
	}

	private static boolean isPlanner(FleetState state, String fabricDomain, String writer, long epoch) {
		final PlannerEpoch planner = state.planners().get(fabricDomain);
		return planner != null && planner.writer().equals(writer) && planner.epoch() == epoch;
	}

}
