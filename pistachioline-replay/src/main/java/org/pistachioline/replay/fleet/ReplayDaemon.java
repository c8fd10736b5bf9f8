package org.pistachioline.replay.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.pistachioline.core.fleet.EngineCommand;
import org.pistachioline.core.fleet.Instance;
import org.pistachioline.core.planner.GroupLoad;
import org.pistachioline.core.planner.GroupPlanner;
import org.pistachioline.core.planner.MemberLossPolicy;
import org.pistachioline.core.planner.OrderDecider;
import org.pistachioline.core.planner.OrderInput;
import org.pistachioline.core.planner.OrderLimits;
import org.pistachioline.core.planner.Plan;
import org.pistachioline.core.planner.PlannerElection;
import org.pistachioline.core.planner.PlannerInput;
import org.pistachioline.core.planner.PlannerMemory;
import org.pistachioline.core.presence.PresenceProof;
import org.pistachioline.core.presence.PresenceTable;
import org.pistachioline.core.record.LogRecord;
import org.pistachioline.core.record.Member;
import org.pistachioline.core.record.PlannerClaim;
import org.pistachioline.core.record.RecordBody;
import org.pistachioline.core.state.FleetReducer;
import org.pistachioline.core.state.FleetState;
import org.pistachioline.core.state.GroupState;
import org.pistachioline.core.state.PlannerEpoch;

/**
 * One daemon with its own view of the log, its own probes and its own plans.
 */
final class ReplayDaemon {

	private static final long MILLI = 1_000_000;

	private static final long BOUND_NANOS = 2_500 * MILLI;

	private static final long PROBE_NANOS = 500 * MILLI;

	private static final long ANSWER_LOST_NANOS = 5_000 * MILLI;

	private final String id;

	private final String writer;

	private final FleetReplay world;

	private final FleetReducer reducer = new FleetReducer();

	private final PresenceTable presence = new PresenceTable(BOUND_NANOS);

	private final PlannerMemory memory = new PlannerMemory();

	private final PlannerElection election;

	private final OrderDecider orders;

	private final GroupPlanner planner;

	private final Map<String, Long> probedAtNanos = new HashMap<>();

	private FleetState state = FleetState.EMPTY;

	private int nextOffset;

	private long readAtNanos;

	private long sequence;

	private long pendingSequence;

	private long pendingSinceNanos;

	private boolean paused;

	private boolean cutOff;

	private List<EngineCommand> unsent = List.of();

	private Plan plan = Plan.EMPTY;

	ReplayDaemon(String id, FleetReplay world, MemberLossPolicy policy) {
		this.id = id;
		this.writer = id + "#1";
		this.world = world;
		this.election = new PlannerElection(id, this.writer);
		this.orders = new OrderDecider(this.writer, OrderLimits.DEFAULT);
		this.planner = new GroupPlanner(policy);
	}

	String id() {
		return this.id;
	}

	FleetState state() {
		return this.state;
	}

	Plan plan() {
		return this.plan;
	}

	boolean isPaused() {
		return this.paused;
	}

	boolean isCutOff() {
		return this.cutOff;
	}

	/**
	 * Stands still; the orders that were decided last have not left yet.
	 */
	void pause() {
		this.paused = true;
		this.unsent = this.orders.decide(orderInput());
	}

	void wake() {
		this.paused = false;
		this.unsent.forEach(this.world::deliver);
		this.unsent = List.of();
	}

	void cutOff(boolean cut) {
		this.cutOff = cut;
	}

	void tick() {
		if (this.paused) {
			return;
		}
		if (!this.cutOff) {
			read();
			probe();
		}
		if (this.readAtNanos == 0 || !this.orders.isViewFresh(this.readAtNanos, this.world.nowNanos())) {
			return;
		}
		final boolean answered = this.pendingSequence == 0
				|| this.world.nowNanos() - this.pendingSinceNanos > ANSWER_LOST_NANOS;
		if (answered) {
			propose();
		}
		this.orders.decide(orderInput()).forEach(this.world::deliver);
	}

	private void read() {
		this.readAtNanos = this.world.nowNanos();
		final List<LogRecord> log = this.world.log();
		while (this.nextOffset < log.size()) {
			final LogRecord next = log.get(this.nextOffset);
			this.state = this.reducer.apply(this.state, this.nextOffset, next).state();
			if (next.writer().equals(this.writer) && next.sequence() >= this.pendingSequence) {
				this.pendingSequence = 0;
			}
			this.nextOffset++;
		}
	}

	private void probe() {
		final long nowNanos = this.world.nowNanos();
		for (final String instanceId : known()) {
			final Long last = this.probedAtNanos.get(instanceId);
			if (last != null && nowNanos - last < PROBE_NANOS) {
				continue;
			}
			this.probedAtNanos.put(instanceId, nowNanos);
			this.world.ask(instanceId).ifPresent((held) -> this.presence.onProbeResponse(instanceId, held, nowNanos));
		}
	}

	private Set<String> known() {
		final Set<String> known = new TreeSet<>(this.state.groupIdsByInstance().keySet());
		this.world.listed().forEach((instance) -> known.add(instance.id()));
		return known;
	}

	private void propose() {
		final long nowNanos = this.world.nowNanos();
		final Set<String> domains = new TreeSet<>();
		this.world.listed().forEach((instance) -> domains.add(instance.fabricDomain()));
		final List<RecordBody> records = new ArrayList<>();
		for (final String domain : domains) {
			final PlannerEpoch current = this.state.planners().get(domain);
			if (this.election.shouldClaim(domain, current, this.world.liveDaemons(), nowNanos)) {
				records.add(new PlannerClaim(domain, (current != null) ? current.epoch() : PlannerClaim.NO_EPOCH));
			}
		}
		if (records.isEmpty()) {
			this.plan = this.planner.plan(plannerInput(nowNanos), this.memory);
			records.addAll(this.plan.records());
		}
		for (final RecordBody body : records) {
			this.sequence++;
			this.pendingSequence = this.sequence;
			this.pendingSinceNanos = nowNanos;
			this.world.append(new LogRecord(this.writer, this.sequence, LogRecord.CURRENT_SCHEMA, body));
		}
	}

	private PlannerInput plannerInput(long nowNanos) {
		final Map<String, List<Integer>> missing = new HashMap<>();
		final Map<String, GroupLoad> loads = new HashMap<>();
		for (final GroupState group : this.state.groups().values()) {
			final List<Integer> ranks = this.presence.missingRanks(group, nowNanos);
			if (!ranks.isEmpty()) {
				missing.put(group.groupId(), ranks);
			}
			loads.put(group.groupId(), new GroupLoad(this.world.runningIn(group), 0, nowNanos));
		}
		final Set<String> silent = new HashSet<>();
		for (final String instanceId : known()) {
			final PresenceProof proof = this.presence.proof(instanceId);
			if (isMine(instanceId) && (proof == null || nowNanos - proof.probedAtNanos() > BOUND_NANOS)) {
				silent.add(instanceId);
			}
		}
		return new PlannerInput(nowNanos, this.writer, this.world.manifest(), 1, this.state, this.world.listed(),
				missing, loads, silent);
	}

	private boolean isMine(String instanceId) {
		final PlannerEpoch planner = this.state.planners().get(this.world.domainOf(instanceId));
		return planner != null && planner.writer().equals(this.writer);
	}

	private OrderInput orderInput() {
		final Map<String, PresenceProof> proofs = new HashMap<>();
		for (final String instanceId : known()) {
			final PresenceProof proof = this.presence.proof(instanceId);
			if (proof != null) {
				proofs.put(instanceId, proof);
			}
		}
		return new OrderInput(this.world.nowNanos(), this.readAtNanos, this.world.manifest(), this.state,
				this.world.listed(), Set.of(), proofs);
	}

	/**
	 * Returns whether this daemon would send work to a group.
	 * @param group the group
	 * @return whether it would
	 */
	boolean serves(GroupState group) {
		final Set<String> leaving = new HashSet<>();
		for (final Instance instance : this.world.listed()) {
			if (instance.leaving()) {
				leaving.add(instance.id());
			}
		}
		return !this.paused && !group.draining()
				&& group.members().stream().map(Member::instanceId).noneMatch(leaving::contains)
				&& this.presence.missingRanks(group, this.world.nowNanos()).isEmpty();
	}

}
