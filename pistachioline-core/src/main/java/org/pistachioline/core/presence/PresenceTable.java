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
 * Says which groups may serve: those of which every member has proved within a bound that
 * it is ready as this rank of this group at this epoch.
 * <p>
 * A member that died answers nothing, so its proof ages past the bound. A member that
 * paused and came back into another time names an old epoch. In both cases the replica
 * would run a request on a part of its model, or on the wrong one; so the whole group
 * stops taking work. The age counts from before the question, since the answer may have
 * waited on the way.
 */
public final class PresenceTable {

	private final long maxProofAgeNanos;

	private final Map<String, PresenceProof> proofs = new HashMap<>();

	/**
	 * Creates an empty table.
	 * @param boundNanos the age at which a proof no longer counts
	 */
	public PresenceTable(long boundNanos) {
		this.maxProofAgeNanos = boundNanos;
	}

	/**
	 * Notes an answer.
	 * @param instanceId the instance that was asked
	 * @param held what it said that it holds
	 * @param askedAtNanos the monotonic time just before it was asked
	 */
	public void onProbeResponse(String instanceId, EngineState held, long askedAtNanos) {
		final PresenceProof known = this.proofs.get(instanceId);
		if (known == null || askedAtNanos - known.probedAtNanos() >= 0) {
			this.proofs.put(instanceId, new PresenceProof(held, askedAtNanos));
		}
	}

	/**
	 * Forgets all instances but some.
	 * @param instanceIds the instances that are still of interest
	 */
	public void retain(Set<String> instanceIds) {
		this.proofs.keySet().retainAll(instanceIds);
	}

	/**
	 * Returns the instances that have answered.
	 * @return their ids
	 */
	public Set<String> instanceIds() {
		return Set.copyOf(this.proofs.keySet());
	}

	/**
	 * Returns the last answer of an instance.
	 * @param instanceId the instance
	 * @return its proof; null where it never answered
	 */
	public PresenceProof proof(String instanceId) {
		return this.proofs.get(instanceId);
	}

	/**
	 * Returns the ranks of a group that have not proved to be ready.
	 * @param group the group
	 * @param nowNanos the monotonic time
	 * @return the missing ranks; empty where the group may serve
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
	 * Sums up the answers of a group's members.
	 * @param group the group
	 * @param nowNanos the monotonic time
	 * @return what they prove together
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
		final boolean loaded = first != null;
		return new GroupProof(provenAtNanos, deniedAtNanos, roundAtNanos, missingRanks(group, nowNanos),
				loaded ? first.state().running() : 0, loaded ? first.state().waiting() : 0,
				loaded ? first.probedAtNanos() : GroupProof.NEVER);
	}

	private boolean isProven(GroupState group, int rank, long nowNanos) {
		final Member member = group.members().get(rank);
		final PresenceProof proof = this.proofs.get(member.instanceId());
		if (proof == null || nowNanos - proof.probedAtNanos() > this.maxProofAgeNanos) {
			return false;
		}
		return isReadyAs(proof.state(), group, rank);
	}

	private static boolean isReadyAs(EngineState held, GroupState group, int rank) {
		final Member member = group.members().get(rank);
		return held.instanceId().equals(member.instanceId()) && held.groupId().equals(group.groupId())
				&& held.fencingToken() == group.epoch() && held.rank() == rank && held.phase() == EnginePhase.READY;
	}

}
