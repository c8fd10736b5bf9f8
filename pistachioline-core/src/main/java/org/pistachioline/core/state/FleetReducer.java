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
 * Folds planner epochs, groups and barred requests.
 * <p>
 * It reads nothing but its own stream: a formation carries all that its check needs, so
 * that daemons which have read the configuration to different offsets still agree.
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
		final FleetState marked = state.withWriters(state.writers().with(offset, record));
		final RecordBody body = record.body();
		if (body instanceof PlannerClaim claim) {
			return claimPlanner(marked, offset, record.writer(), claim);
		}
		if (body instanceof GroupFormation formation) {
			return formGroup(marked, offset, record.writer(), formation);
		}
		if (body instanceof GroupDissolution dissolution) {
			return dissolveGroup(marked, record.writer(), dissolution);
		}
		if (body instanceof GroupDrain drain) {
			return drainGroup(marked, record.writer(), drain);
		}
		if (body instanceof RequestQuarantine quarantine) {
			return ApplyResult.accepted(QuarantineRules.applyQuarantine(marked, quarantine));
		}
		if (body instanceof RequestSuspicion suspicion) {
			return ApplyResult.accepted(QuarantineRules.applySuspicion(marked, suspicion));
		}
		if (body instanceof CheckpointPart) {
			// It restates what the state says already; only its writer's mark moves.
			return ApplyResult.accepted(marked);
		}
		final boolean unknown = body instanceof UnknownBody;
		return ApplyResult.rejected(marked, unknown ? RejectReason.UNKNOWN_KIND : RejectReason.WRONG_STREAM);
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
		final Optional<RejectReason> fault = rejectionOf(state, offset, writer, formation);
		if (fault.isPresent()) {
			return ApplyResult.rejected(state, fault.get());
		}
		final GroupState group = new GroupState(formation.groupId(), formation.model(), offset, false, "",
				formation.members(), formation.configVersion());
		PMap<String, String> owners = state.groupIdsByInstance();
		PMap<String, Long> epochs = state.lastEpochs();
		for (final Member member : formation.members()) {
			owners = owners.plus(member.instanceId(), group.groupId());
			epochs = epochs.plus(member.instanceId(), offset);
		}
		return ApplyResult.accepted(state.withGroups(state.groups().plus(group.groupId(), group), owners, epochs));
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
			// A second formation at the same offset would have the same fencing number.
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
		PMap<String, String> owners = state.groupIdsByInstance();
		for (final Member member : group.members()) {
			owners = owners.minus(member.instanceId());
		}
		return ApplyResult
			.accepted(state.withGroups(state.groups().minus(group.groupId()), owners, state.lastEpochs()));
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
