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
 * Decides whom a daemon asks for proof of presence, and which groups it may serve.
 * <p>
 * Made for a fleet in which no daemon can ask every member: the first daemon before a
 * fabric domain probes its groups, the others ask it. What a daemon may serve depends
 * only on the age of a proof, never on who should have brought it. So a prober that dies,
 * or is cut off from its members or from its peers, is replaced by age: the stand-by
 * probes when the proof is half as old as the bound, and any server that hears nothing at
 * all probes before the bound. A daemon that reaches neither the members nor a daemon
 * that does sees its proofs pass the bound and serves no group.
 */
public final class PresenceNode {

	private final String selfId;

	private final PresenceLimits limits;

	private final PresenceTable probeResults;

	private final Map<Long, GroupProof> peerProofs = new HashMap<>();

	private final Map<Long, Long> roleSinceNanos = new HashMap<>();

	private final Map<String, Long> probedAtNanos = new HashMap<>();

	private final Map<String, SentRequest> probedInstanceIds = new HashMap<>();

	private Map<Long, GroupRole> roles = Map.of();

	private Map<String, GroupState> groups = Map.of();

	private Map<String, String> zonesByDaemon = Map.of();

	private long lastCorrelationId;

	/**
	 * Creates a node that knows nothing.
	 * @param selfId this daemon's name
	 * @param limits the times of probing
	 */
	public PresenceNode(String selfId, PresenceLimits limits) {
		this.selfId = selfId;
		this.limits = limits;
		this.probeResults = new PresenceTable(limits.maxProofAgeNanos());
	}

	/**
	 * Takes the agreed groups and the live daemons.
	 * @param newGroups the groups by id
	 * @param newZonesByDaemon the availability zone of each live daemon, this one
	 * included
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
		this.probedInstanceIds.keySet().retainAll(this.zonesByDaemon.keySet());
	}

	/**
	 * Decides what to ask now.
	 * @param planned the instances that are probed in any case, since this daemon plans
	 * their fabric domain
	 * @param nowNanos the monotonic time
	 * @return what to ask
	 */
	public PresenceStep step(List<Member> planned, long nowNanos) {
		final Map<String, Member> wanted = new LinkedHashMap<>();
		planned.forEach((member) -> wanted.put(member.instanceId(), member));
		final Map<String, List<Long>> epochsByDaemon = new TreeMap<>();
		for (final GroupRole role : this.roles.values()) {
			if (shouldProbe(role, nowNanos)) {
				role.group().members().forEach((member) -> wanted.put(member.instanceId(), member));
			}
			selectDaemonsToAsk(role, nowNanos)
				.forEach((daemon) -> epochsByDaemon.computeIfAbsent(daemon, (key) -> new ArrayList<>())
					.add(role.group().epoch()));
		}
		this.probeResults.retain(wanted.keySet());
		this.probedAtNanos.keySet().retainAll(wanted.keySet());
		return new PresenceStep(dueProbes(wanted, nowNanos), dueRequests(epochsByDaemon, nowNanos));
	}

	private boolean shouldProbe(GroupRole role, long nowNanos) {
		if (role.isProber()) {
			return true;
		}
		// A role that is new has heard nothing yet; its silence counts from its start.
		final long sinceNanos = this.roleSinceNanos.get(role.group().epoch());
		final GroupProof heard = this.peerProofs.getOrDefault(role.group().epoch(), GroupProof.NONE);
		if (role.mayProbe()) {
			final long afterNanos = role.isStandby() ? this.limits.standbyDelayNanos()
					: this.limits.fallbackDelayNanos();
			return nowNanos - Math.max(sinceNanos, heard.provenAtNanos()) > afterNanos;
		}
		return nowNanos - Math.max(sinceNanos, heard.roundAtNanos()) > this.limits.fallbackDelayNanos();
	}

	private List<String> selectDaemonsToAsk(GroupRole role, long nowNanos) {
		final boolean stale = nowNanos - currentProof(role, nowNanos).provenAtNanos() > this.limits.standbyDelayNanos();
		if (stale) {
			return role.daemonsToAsk();
		}
		return role.isProber() ? List.of() : role.daemonsToAsk().subList(0, 1);
	}

	private List<Member> dueProbes(Map<String, Member> wanted, long nowNanos) {
		final List<Member> due = new ArrayList<>();
		for (final Member member : wanted.values()) {
			final Long last = this.probedAtNanos.get(member.instanceId());
			if (last == null || nowNanos - last >= this.limits.probeIntervalNanos()) {
				this.probedAtNanos.put(member.instanceId(), nowNanos);
				due.add(member);
			}
		}
		return due;
	}

	private List<PresenceRequest> dueRequests(Map<String, List<Long>> epochsByDaemon, long nowNanos) {
		final List<PresenceRequest> due = new ArrayList<>();
		epochsByDaemon.forEach((daemon, epochs) -> {
			final SentRequest last = this.probedInstanceIds.get(daemon);
			if (last == null || nowNanos - last.sentAtNanos() >= this.limits.probeIntervalNanos()) {
				this.lastCorrelationId++;
				this.probedInstanceIds.put(daemon, new SentRequest(this.lastCorrelationId, nowNanos));
				due.add(new PresenceRequest(daemon, this.lastCorrelationId, epochs));
			}
		});
		return due;
	}

	/**
	 * Takes a member's answer.
	 * @param instanceId the instance that was asked
	 * @param held what it said that it holds
	 * @param askedAtNanos the monotonic time just before it was asked
	 */
	public void onProbeResponse(String instanceId, EngineState held, long askedAtNanos) {
		this.probeResults.onProbeResponse(instanceId, held, askedAtNanos);
	}

	/**
	 * Answers another daemon's question.
	 * @param epochs the groups' epochs
	 * @param nowNanos the monotonic time
	 * @return what is known of those that this daemon serves
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
	 * Takes another daemon's answer. One that was not asked for, or that answers an older
	 * question, is dropped: nothing would say how long it was on its way.
	 * @param daemonId the daemon that answers
	 * @param correlationId the question's token
	 * @param digests what it knows
	 */
	public void onResponse(String daemonId, long token, List<GroupDigest> digests) {
		final SentRequest question = this.probedInstanceIds.get(daemonId);
		if (question == null || question.correlationId() != token) {
			return;
		}
		for (final GroupDigest digest : digests) {
			if (this.roles.containsKey(digest.epoch())) {
				this.peerProofs.merge(digest.epoch(), digest.toProof(question.sentAtNanos()), GroupProof::merge);
			}
		}
	}

	/**
	 * Returns what is known of each group that this daemon serves.
	 * @param nowNanos the monotonic time
	 * @return what is known, by the group's epoch
	 */
	public Map<Long, GroupProof> proofs(long nowNanos) {
		final Map<Long, GroupProof> proofs = new HashMap<>();
		this.roles.forEach((epoch, role) -> proofs.put(epoch, currentProof(role, nowNanos)));
		return proofs;
	}

	/**
	 * Returns the groups that may serve now.
	 * @param nowNanos the monotonic time
	 * @return their epochs
	 */
	public Set<Long> servingEpochs(long nowNanos) {
		final Set<Long> serving = new HashSet<>();
		proofs(nowNanos).forEach((epoch, proof) -> {
			if (proof.mayServe(this.limits.maxProofAgeNanos(), nowNanos)) {
				serving.add(epoch);
			}
		});
		return serving;
	}

	/**
	 * Returns the instances that this daemon asks itself.
	 * @return their ids
	 */
	public Set<String> probedInstanceIds() {
		return Set.copyOf(this.probedAtNanos.keySet());
	}

	/**
	 * Returns what this daemon learnt by its own probes.
	 * @return the answers of members
	 */
	public PresenceTable probeResults() {
		return this.probeResults;
	}

	private GroupProof currentProof(GroupRole role, long nowNanos) {
		return ownProof(role, nowNanos).merge(this.peerProofs.getOrDefault(role.group().epoch(), GroupProof.NONE));
	}

	// A round without an answer is news too: else all servers would probe a dark domain.
	private GroupProof ownProof(GroupRole role, long nowNanos) {
		final GroupProof proof = this.probeResults.groupProof(role.group(), nowNanos);
		final Long probed = this.probedAtNanos.get(role.group().members().get(0).instanceId());
		return (probed != null) ? proof.withRound(probed) : proof;
	}

	private record SentRequest(long correlationId, long sentAtNanos) {
	}

}
