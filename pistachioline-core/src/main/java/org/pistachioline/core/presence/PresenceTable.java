package org.pistachioline.core.presence;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.pistachioline.core.fleet.EnginePhase;
import org.pistachioline.core.fleet.EngineState;
import org.pistachioline.core.record.Member;
import org.pistachioline.core.state.GroupState;

/**
 * Holds the probe responses of instances, and determines which groups may serve: those of
 * which every member reported, within a bound, that it is ready at its rank of this group
 * and this epoch.
 * <p>
 * A failed member does not respond, so its proof ages past the bound. A member that
 * paused and resumed after its group was replaced reports an old epoch. In both cases the
 * replica would run requests with a part of its model missing or of another model, so
 * that the whole group stops serving. The age is counted from before the probe, since the
 * response may have been in transit for any time.
 */
public final class PresenceTable {

	private final long maxProofAgeNanos;

	private final Map<String, PresenceProof> proofs = new HashMap<>();

	/**
	 * Creates an empty table.
	 * @param maxProofAgeNanos the age at which a proof expires
	 */
	public PresenceTable(long maxProofAgeNanos) {
		this.maxProofAgeNanos = maxProofAgeNanos;
	}

	/**
	 * Stores a response unless one to a later probe is known.
	 * @param instanceId the id of the instance that was probed
	 * @param state the state that it reported
	 * @param probedAtNanos the monotonic time just before the probe was sent
	 */
	public void onProbeResponse(String instanceId, EngineState state, long probedAtNanos) {
		final PresenceProof previous = this.proofs.get(instanceId);
		if (previous == null || probedAtNanos - previous.probedAtNanos() >= 0) {
			this.proofs.put(instanceId, new PresenceProof(state, probedAtNanos));
		}
	}

	/**
	 * Removes all instances but the given ones.
	 * @param instanceIds the ids of the instances to retain
	 */
	public void retain(Set<String> instanceIds) {
		this.proofs.keySet().retainAll(instanceIds);
	}

	/**
	 * Returns the instances that have responded.
	 * @return their ids
	 */
	public Set<String> instanceIds() {
		return Set.copyOf(this.proofs.keySet());
	}

	/**
	 * Returns the last response of an instance.
	 * @param instanceId the id of the instance
	 * @return its proof; null if it never responded
	 */
	public PresenceProof proof(String instanceId) {
		return this.proofs.get(instanceId);
	}

	/**
	 * Returns the ranks of a group that are not proven to be ready.
	 * @param group the group
	 * @param nowNanos the monotonic time
	 * @return the missing ranks; empty if the group may serve
	 */
	public List<Integer> missingRanks(GroupState group, long nowNanos) {
		final List<Integer> missing = new ArrayList<>();
		for (int rank = 0; rank < group.members().size(); rank++) {
			if (!isProven(group, rank, nowNanos)) {
				missing.add(rank);
			}
		}
		return missing;
	}

	/**
	 * Combines the responses of a group's members.
	 * @param group the group
	 * @param nowNanos the monotonic time
	 * @return the proof of the group
	 */
	public GroupProof groupProof(GroupState group, long nowNanos) {
		long provenAtNanos = Long.MAX_VALUE;
		long deniedAtNanos = GroupProof.NEVER;
		long roundAtNanos = GroupProof.NEVER;
		for (int rank = 0; rank < group.members().size(); rank++) {
			final PresenceProof proof = this.proofs.get(group.members().get(rank).instanceId());
			if (proof == null) {
				provenAtNanos = GroupProof.NEVER;
				continue;
			}
			roundAtNanos = Math.max(roundAtNanos, proof.probedAtNanos());
			if (isReadyAs(proof.state(), group, rank)) {
				provenAtNanos = Math.min(provenAtNanos, proof.probedAtNanos());
			}
			else {
				provenAtNanos = GroupProof.NEVER;
				deniedAtNanos = Math.max(deniedAtNanos, proof.probedAtNanos());
			}
		}
		final PresenceProof first = this.proofs.get(group.members().get(0).instanceId());
		final boolean hasLoad = first != null;
		return new GroupProof(provenAtNanos, deniedAtNanos, roundAtNanos, missingRanks(group, nowNanos),
				hasLoad ? first.state().running() : 0, hasLoad ? first.state().waiting() : 0,
				hasLoad ? first.probedAtNanos() : GroupProof.NEVER);
	}

	private boolean isProven(GroupState group, int rank, long nowNanos) {
		final Member member = group.members().get(rank);
		final PresenceProof proof = this.proofs.get(member.instanceId());
		if (proof == null || nowNanos - proof.probedAtNanos() > this.maxProofAgeNanos) {
			return false;
		}
		return isReadyAs(proof.state(), group, rank);
	}

	private static boolean isReadyAs(EngineState state, GroupState group, int rank) {
		final Member member = group.members().get(rank);
		return state.instanceId().equals(member.instanceId()) && state.groupId().equals(group.groupId())
				&& state.fencingToken() == group.epoch() && state.rank() == rank && state.phase() == EnginePhase.READY;
	}

}
