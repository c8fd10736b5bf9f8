package org.pistachioline.core.presence;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.pistachioline.core.fleet.EngineState;
import org.pistachioline.core.record.Member;
import org.pistachioline.core.state.GroupState;

/**
 * Decides which members and daemons to ask for proofs of presence, and which groups this
 * daemon may serve.
 * <p>
 * In a large fleet no daemon can probe every member: the first daemon in the serving
 * order of a fabric domain probes the domain's groups, and the others ask it. Whether a
 * daemon may serve a group depends only on the age of the proof and not on the daemon
 * that should have provided it. A prober that fails, or is partitioned from its members
 * or its peers, is therefore replaced by time: the standby starts to probe when the proof
 * has reached half the maximum age, and any server without updates starts before the
 * proof expires. A daemon that reaches neither the members nor a daemon that does serves
 * no group once its proofs have expired.
 */
public final class PresenceNode {

	private final String selfId;

	private final PresenceLimits limits;

	private final PresenceTable probeResults;

	private final Map<Long, GroupProof> peerProofs = new HashMap<>();

	private final Map<Long, Long> roleSinceNanos = new HashMap<>();

	private final Map<String, Long> lastProbeNanosById = new HashMap<>();

	private final Map<String, SentRequest> lastRequests = new HashMap<>();

	private Map<Long, GroupRole> roles = Map.of();

	private Map<String, GroupState> groups = Map.of();

	private Map<String, String> zonesByDaemon = Map.of();

	private long lastCorrelationId;

	/**
	 * Creates a node without proofs.
	 * @param selfId this daemon's id
	 * @param limits the time limits of probes and proofs
	 */
	public PresenceNode(String selfId, PresenceLimits limits) {
		this.selfId = selfId;
		this.limits = limits;
		this.probeResults = new PresenceTable(limits.maxProofAgeNanos());
	}

	/**
	 * Updates the groups and the live daemons, and recomputes the roles if either has
	 * changed.
	 * @param newGroups the groups in the log, by id
	 * @param newZonesByDaemon the availability zone of each live daemon, including this
	 * one
	 * @param nowNanos the monotonic time
	 */
	public void update(Map<String, GroupState> newGroups, Map<String, String> newZonesByDaemon, long nowNanos) {
		if (newGroups.equals(this.groups) && newZonesByDaemon.equals(this.zonesByDaemon)) {
			return;
		}
		this.groups = newGroups;
		this.zonesByDaemon = Map.copyOf(newZonesByDaemon);
		this.roles = GroupRoles.compute(this.selfId, newGroups.values(), this.zonesByDaemon);
		this.roleSinceNanos.keySet().retainAll(this.roles.keySet());
		this.roles.keySet().forEach((epoch) -> this.roleSinceNanos.putIfAbsent(epoch, nowNanos));
		this.peerProofs.keySet().retainAll(this.roles.keySet());
		this.lastRequests.keySet().retainAll(this.zonesByDaemon.keySet());
	}

	/**
	 * Returns the probes and requests that are due.
	 * @param plannedMembers the instances that are probed in any case, because this
	 * daemon plans their fabric domain
	 * @param nowNanos the monotonic time
	 * @return the probes and requests to send now
	 */
	public PresenceStep step(List<Member> plannedMembers, long nowNanos) {
		final Map<String, Member> membersById = new LinkedHashMap<>();
		plannedMembers.forEach((member) -> membersById.put(member.instanceId(), member));
		final Map<String, List<Long>> epochsByDaemon = new TreeMap<>();
		for (final GroupRole role : this.roles.values()) {
			if (shouldProbe(role, nowNanos)) {
				role.group().members().forEach((member) -> membersById.put(member.instanceId(), member));
			}
			selectDaemonsToAsk(role, nowNanos)
				.forEach((daemon) -> epochsByDaemon.computeIfAbsent(daemon, (key) -> new ArrayList<>())
					.add(role.group().epoch()));
		}
		this.probeResults.retain(membersById.keySet());
		this.lastProbeNanosById.keySet().retainAll(membersById.keySet());
		return new PresenceStep(dueProbes(membersById, nowNanos), dueRequests(epochsByDaemon, nowNanos));
	}

	private boolean shouldProbe(GroupRole role, long nowNanos) {
		if (role.isProber()) {
			return true;
		}
		// A new role has no updates yet; the time without updates counts from its
		// start.
		final long sinceNanos = this.roleSinceNanos.get(role.group().epoch());
		final GroupProof peerProof = this.peerProofs.getOrDefault(role.group().epoch(), GroupProof.NONE);
		if (role.mayProbe()) {
			final long delayNanos = role.isStandby() ? this.limits.standbyDelayNanos()
					: this.limits.fallbackDelayNanos();
			return nowNanos - Math.max(sinceNanos, peerProof.provenAtNanos()) > delayNanos;
		}
		return nowNanos - Math.max(sinceNanos, peerProof.roundAtNanos()) > this.limits.fallbackDelayNanos();
	}

	private List<String> selectDaemonsToAsk(GroupRole role, long nowNanos) {
		final boolean stale = nowNanos - currentProof(role, nowNanos).provenAtNanos() > this.limits.standbyDelayNanos();
		if (stale) {
			return role.daemonsToAsk();
		}
		return role.isProber() ? List.of() : role.daemonsToAsk().subList(0, 1);
	}

	private List<Member> dueProbes(Map<String, Member> membersById, long nowNanos) {
		final List<Member> due = new ArrayList<>();
		for (final Member member : membersById.values()) {
			final Long lastProbeNanos = this.lastProbeNanosById.get(member.instanceId());
			if (lastProbeNanos == null || nowNanos - lastProbeNanos >= this.limits.probeIntervalNanos()) {
				this.lastProbeNanosById.put(member.instanceId(), nowNanos);
				due.add(member);
			}
		}
		return due;
	}

	private List<PresenceRequest> dueRequests(Map<String, List<Long>> epochsByDaemon, long nowNanos) {
		final List<PresenceRequest> due = new ArrayList<>();
		epochsByDaemon.forEach((daemon, epochs) -> {
			final SentRequest lastRequest = this.lastRequests.get(daemon);
			if (lastRequest == null || nowNanos - lastRequest.sentAtNanos() >= this.limits.probeIntervalNanos()) {
				this.lastCorrelationId++;
				this.lastRequests.put(daemon, new SentRequest(this.lastCorrelationId, nowNanos));
				due.add(new PresenceRequest(daemon, this.lastCorrelationId, epochs));
			}
		});
		return due;
	}

	/**
	 * Handles a member's response to a probe.
	 * @param instanceId the id of the instance that was probed
	 * @param state the state that it reported
	 * @param probedAtNanos the monotonic time just before the probe was sent
	 */
	public void onProbeResponse(String instanceId, EngineState state, long probedAtNanos) {
		this.probeResults.onProbeResponse(instanceId, state, probedAtNanos);
	}

	/**
	 * Responds to another daemon's request.
	 * @param epochs the epochs of the requested groups
	 * @param nowNanos the monotonic time
	 * @return the digests of those groups that this daemon serves
	 */
	public List<GroupDigest> respond(List<Long> epochs, long nowNanos) {
		final List<GroupDigest> digests = new ArrayList<>();
		for (final Long epoch : epochs) {
			final GroupRole role = this.roles.get(epoch);
			if (role != null) {
				digests.add(GroupDigest.of(epoch, currentProof(role, nowNanos), nowNanos));
			}
		}
		return digests;
	}

	/**
	 * Handles another daemon's response. An unsolicited response, or one to an earlier
	 * request, is ignored, since the time that it was in transit is unknown.
	 * @param daemonId the id of the daemon that responds
	 * @param correlationId the correlation id of the request
	 * @param digests the digests in the response
	 */
	public void onResponse(String daemonId, long correlationId, List<GroupDigest> digests) {
		final SentRequest request = this.lastRequests.get(daemonId);
		if (request == null || request.correlationId() != correlationId) {
			return;
		}
		for (final GroupDigest digest : digests) {
			if (this.roles.containsKey(digest.epoch())) {
				this.peerProofs.merge(digest.epoch(), digest.toProof(request.sentAtNanos()), GroupProof::merge);
			}
		}
	}

	/**
	 * Returns the current proof of each group that this daemon serves.
	 * @param nowNanos the monotonic time
	 * @return the proofs, by the group's epoch
	 */
	public Map<Long, GroupProof> proofs(long nowNanos) {
		final Map<Long, GroupProof> proofs = new HashMap<>();
		this.roles.forEach((epoch, role) -> proofs.put(epoch, currentProof(role, nowNanos)));
		return proofs;
	}

	/**
	 * Returns the groups that this daemon may serve now.
	 * @param nowNanos the monotonic time
	 * @return the epochs of the groups
	 */
	public Set<Long> servingEpochs(long nowNanos) {
		final Set<Long> servingEpochs = new HashSet<>();
		proofs(nowNanos).forEach((epoch, proof) -> {
			if (proof.mayServe(this.limits.maxProofAgeNanos(), nowNanos)) {
				servingEpochs.add(epoch);
			}
		});
		return servingEpochs;
	}

	/**
	 * Returns the instances that this daemon probes.
	 * @return the ids of the instances
	 */
	public Set<String> probedInstanceIds() {
		return Set.copyOf(this.lastProbeNanosById.keySet());
	}

	/**
	 * Returns the responses to this daemon's probes.
	 * @return the responses
	 */
	public PresenceTable probeResults() {
		return this.probeResults;
	}

	private GroupProof currentProof(GroupRole role, long nowNanos) {
		return ownProof(role, nowNanos).merge(this.peerProofs.getOrDefault(role.group().epoch(), GroupProof.NONE));
	}

	// A round without responses counts as an update too: otherwise all servers would
	// probe an unreachable domain.
	private GroupProof ownProof(GroupRole role, long nowNanos) {
		final GroupProof proof = this.probeResults.groupProof(role.group(), nowNanos);
		final Long lastProbeNanos = this.lastProbeNanosById.get(role.group().members().get(0).instanceId());
		return (lastProbeNanos != null) ? proof.withRound(lastProbeNanos) : proof;
	}

	private record SentRequest(long correlationId, long sentAtNanos) {
	}

}
