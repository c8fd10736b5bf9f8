package org.pistachioline.core.planner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.fleet.EngineCommand;
import org.pistachioline.core.fleet.EngineOrder;
import org.pistachioline.core.fleet.EnginePhase;
import org.pistachioline.core.fleet.EngineState;
import org.pistachioline.core.fleet.Instance;
import org.pistachioline.core.manifest.DeadlineSpec;
import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.manifest.PoolKind;
import org.pistachioline.core.manifest.PoolSpec;
import org.pistachioline.core.manifest.WeightSpec;
import org.pistachioline.core.presence.PresenceProof;
import org.pistachioline.core.presence.PresenceTable;
import org.pistachioline.core.record.GroupDissolution;
import org.pistachioline.core.record.GroupFormation;
import org.pistachioline.core.record.LogRecord;
import org.pistachioline.core.record.Member;
import org.pistachioline.core.record.PlannerClaim;
import org.pistachioline.core.record.RecordBody;
import org.pistachioline.core.state.ApplyResult;
import org.pistachioline.core.state.FleetReducer;
import org.pistachioline.core.state.FleetState;

import static org.assertj.core.api.Assertions.assertThat;

class OrderDeciderTests {

	private static final long SECOND_NANOS = 1_000_000_000L;

	private static final OrderLimits LIMITS = OrderLimits.DEFAULT;

	private final FleetReducer reducer = new FleetReducer();

	private final List<Instance> instances = List.of(instance("i0"), instance("i1"));

	private final Map<String, FakeEngine> engines = new HashMap<>();

	private final OrderDecider previous = new OrderDecider("old#1", LIMITS);

	private final OrderDecider successor = new OrderDecider("new#1", LIMITS);

	private FleetState state = FleetState.EMPTY;

	private long offset;

	private boolean checksFencing;

	private static Instance instance(String id) {
		return new Instance(id, "engines", id + ":1", "rack", "zone", 1, false);
	}

	private void append(String writer, RecordBody body) {
		final ApplyResult<FleetState> applied = this.reducer.apply(this.state, this.offset,
				new LogRecord(writer, this.offset + 1, 1, body));
		assertThat(applied.isAccepted()).isTrue();
		this.state = applied.state();
		this.offset++;
	}

	private GroupFormation formation(String id, long plannerEpoch) {
		final List<Member> members = this.instances.stream()
			.map((instance) -> new Member(instance.id(), "rack", instance.address(), "zone", 1))
			.toList();
		return new GroupFormation(id, "model", plannerEpoch, members, 1);
	}

	private List<EngineCommand> decide(OrderDecider decider, FleetState view, long readAt, long now) {
		final Map<String, PresenceProof> proofs = new HashMap<>();
		this.engines.forEach((id, engine) -> proofs.put(id, new PresenceProof(engine.state, now)));
		final Manifest manifest = new Manifest(
				List.of(new PoolSpec("engines", PoolKind.ENGINE, this.checksFencing, 100)), List.of(), List.of(),
				List.of(), WeightSpec.DEFAULT, DeadlineSpec.DEFAULT);
		return decider.decide(new OrderInput(now, readAt, manifest, view, this.instances, Set.of(), proofs));
	}

	private void deliver(List<EngineCommand> commands) {
		commands.forEach((command) -> this.engines.get(command.instanceId()).execute(command.order()));
	}

	private List<Integer> missingRanks(String groupId, long now) {
		final PresenceTable presence = new PresenceTable(5 * SECOND_NANOS);
		this.engines.forEach((id, engine) -> presence.onProbeResponse(id, engine.state, now));
		return presence.missingRanks(this.state.groups().get(groupId), now);
	}

	// The old planner forms a group and decides on its orders, then stands still. Another
	// takes over, dissolves the group and forms one anew from the same instances.
	private List<EngineCommand> delayedOrdersOfReplacedPlanner() {
		this.instances
			.forEach((instance) -> this.engines.put(instance.id(), new FakeEngine(instance.id(), this.checksFencing)));
		append("old#1", new PlannerClaim("rack", PlannerClaim.NO_EPOCH));
		append("old#1", formation("first", 0));
		decide(this.previous, this.state, 0, 0);
		final List<EngineCommand> late = decide(this.previous, this.state, 10 * SECOND_NANOS, 10 * SECOND_NANOS);
		assertThat(late).hasSize(2);
		append("new#1", new PlannerClaim("rack", 0));
		append("new#1", new GroupDissolution("first", 1, 2, "test"));
		append("new#1", formation("second", 2));
		deliver(decide(this.successor, this.state, 20 * SECOND_NANOS, 20 * SECOND_NANOS));
		final long afterWait = 20 * SECOND_NANOS + LIMITS.handOverNanos();
		deliver(decide(this.successor, this.state, afterWait, afterWait));
		assertThat(missingRanks("second", afterWait)).isEmpty();
		return late;
	}

	// A planner stands still for a minute between deciding on an order and sending it,
	// long
	// enough to be replaced. Engines that check fencing numbers refuse what it sends on
	// waking; nobody notices anything.
	@Test
	void anEngineThatChecksFencingTokensRefusesDelayedOrdersOfAReplacedPlanner() {
		this.checksFencing = true;
		deliver(delayedOrdersOfReplacedPlanner());
		assertThat(missingRanks("second", 60 * SECOND_NANOS)).isEmpty();
	}

	// Engines that ignore fencing numbers obey it: this window remains. The read-back
	// shows
	// the old epoch, so that the group serves nowhere, and the order is given again.
	@Test
	void anEngineThatIgnoresFencingTokensExecutesDelayedOrdersAndIsCorrectedAfterReadBack() {
		this.checksFencing = false;
		deliver(delayedOrdersOfReplacedPlanner());
		assertThat(missingRanks("second", 60 * SECOND_NANOS)).containsExactly(0, 1);
		deliver(decide(this.successor, this.state, 60 * SECOND_NANOS, 60 * SECOND_NANOS));
		assertThat(missingRanks("second", 60 * SECOND_NANOS)).isEmpty();
	}

	// The woken planner has not read the log since it paused. It must not decide again on
	// what it knew, however sure it is of being the planner.
	@Test
	void aResumedPlannerWithAStaleViewSendsNoOrders() {
		append("old#1", new PlannerClaim("rack", PlannerClaim.NO_EPOCH));
		append("old#1", formation("first", 0));
		final FleetState before = this.state;
		decide(this.previous, before, 0, 0);
		assertThat(decide(this.previous, before, 10 * SECOND_NANOS, 10 * SECOND_NANOS)).isNotEmpty();
		final long justFresh = 20 * SECOND_NANOS + LIMITS.maxViewAgeNanos();
		assertThat(decide(this.previous, before, 20 * SECOND_NANOS, justFresh + 1)).isEmpty();
		assertThat(decide(this.previous, before, 20 * SECOND_NANOS, justFresh)).isNotEmpty();
	}

	// A planner is replaced while its last order to an ignoring engine is still on the
	// way.
	// Were the successor's first order sent at once, the old one could come after it.
	@Test
	void aNewPlannerWaitsForEarlierOrdersOnlyToEnginesThatIgnoreFencingTokens() {
		append("new#1", new PlannerClaim("rack", PlannerClaim.NO_EPOCH));
		append("new#1", formation("first", 0));
		assertThat(decide(this.successor, this.state, 0, 0)).isEmpty();
		assertThat(this.successor.domainsInHandOver(SECOND_NANOS)).containsExactly("rack");
		final long last = LIMITS.handOverNanos() - 1;
		assertThat(decide(this.successor, this.state, last, last)).isEmpty();
		assertThat(decide(this.successor, this.state, last + 1, last + 1)).hasSize(2);
		this.checksFencing = true;
		final OrderDecider quick = new OrderDecider("new#1", LIMITS);
		assertThat(decide(quick, this.state, 0, 0)).hasSize(2);
	}

	@Test
	void anInstanceOfADissolvedGroupIsOrderedToUnload() {
		this.checksFencing = true;
		this.engines.put("i0", new FakeEngine("i0", true));
		append("old#1", new PlannerClaim("rack", PlannerClaim.NO_EPOCH));
		append("old#1", formation("first", 0));
		deliver(decide(this.previous, this.state, 0, 0).subList(0, 1));
		append("old#1", new GroupDissolution("first", 1, 0, "test"));
		deliver(decide(this.previous, this.state, 2 * SECOND_NANOS, 2 * SECOND_NANOS));
		assertThat(this.engines.get("i0").state.phase()).isEqualTo(EnginePhase.FREE);
	}

	@Test
	void anOrderIsNotResentWithinTheResendInterval() {
		this.checksFencing = true;
		append("old#1", new PlannerClaim("rack", PlannerClaim.NO_EPOCH));
		append("old#1", formation("first", 0));
		final List<Integer> sent = new ArrayList<>();
		for (int tick = 0; tick < 8; tick++) {
			sent.add(decide(this.previous, this.state, tick * SECOND_NANOS / 4, tick * SECOND_NANOS / 4).size());
		}
		assertThat(sent).containsExactly(2, 0, 0, 0, 2, 0, 0, 0);
	}

	private static final class FakeEngine {

		private final String id;

		private final boolean checksFencing;

		private EngineState state;

		private long highestToken = -1;

		FakeEngine(String id, boolean checks) {
			this.id = id;
			this.checksFencing = checks;
			this.state = free();
		}

		void execute(EngineOrder order) {
			if (this.checksFencing && order.fencingToken() < this.highestToken) {
				return;
			}
			this.highestToken = Math.max(this.highestToken, order.fencingToken());
			this.state = order.load() ? new EngineState(this.id, order.groupId(), order.fencingToken(), order.rank(),
					order.model(), EnginePhase.READY, 0, 0) : free();
		}

		private EngineState free() {
			return new EngineState(this.id, "", this.highestToken, 0, "", EnginePhase.FREE, 0, 0);
		}

	}

}
