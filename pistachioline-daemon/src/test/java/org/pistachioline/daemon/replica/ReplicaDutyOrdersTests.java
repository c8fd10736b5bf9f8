package org.pistachioline.daemon.replica;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.pistachioline.core.replica.FencingTokens;
import org.pistachioline.core.replica.GroupId;
import org.pistachioline.core.replica.MemberState;
import org.pistachioline.core.replica.Membership;
import org.pistachioline.core.replica.OrderFencing;
import org.pistachioline.core.replica.OrderOutcome;
import org.pistachioline.core.replica.PlannerTimes;
import org.pistachioline.core.replica.ReplicaOrder;
import org.pistachioline.core.replica.ServingInstance;
import org.pistachioline.core.route.CallerBounds;
import org.pistachioline.core.route.EngineModel;
import org.pistachioline.core.route.EngineSpec;
import org.pistachioline.core.route.RouteTable;
import org.pistachioline.core.route.ServiceSpec;
import org.pistachioline.daemon.port.InstanceListener;
import org.pistachioline.daemon.port.OrderSender;
import org.pistachioline.daemon.port.PlannerLease;
import org.pistachioline.daemon.port.ProbeResult;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Drives the duty by hand, so that each pass and each answer comes when a test wants it.
 */
class ReplicaDutyOrdersTests {

	private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();

	private static final int EPOCH_COUNTER_BITS = 20;

	private static final String MODEL = "m";

	private final SettableLease lease = new SettableLease();

	private final RecordingSender sender = new RecordingSender();

	private ReplicaDuty duty;

	@BeforeEach
	void configure() {
		startDuty(OrderFencing.ENFORCED);
	}

	private void startDuty(OrderFencing fencing) {
		this.duty = new ReplicaDuty(null, this.lease, this.sender, new PlannerTimes(SECOND_NANOS, SECOND_NANOS),
				(targets) -> {
					// Targets are not part of these tests.
				}, () -> false, false, fencing);
		configure("chat");
		this.duty.setListAsOfSource(() -> OptionalLong.of(System.nanoTime()));
	}

	// Guards against a late join that brings an instance back into a group it has left.
	@Test
	void eachOrderToAnInstanceCarriesAHigherTokenThanTheOneBefore() {
		list(free("chat", "a"), free("chat", "b"));
		beginTerm(1);
		this.sender.newest("a").answer().complete(OrderOutcome.FENCED);
		handleAnswers();
		tick();
		final GroupId group = joinedBy("a");
		listGroup(group, MemberState.READY);
		tick();
		this.lease.term = Optional.empty();
		tick();
		beginTerm(1);
		list(draining(member("a", group, 0, MemberState.OPEN)), member("b", group, 1, MemberState.READY));
		tick();
		assertThat(this.sender.to("a").map((sent) -> sent.order().verb())).containsExactly("join", "join", "open",
				"close");
		assertThat(this.sender.to("a").map(Sent::token).toList()).isSorted().doesNotHaveDuplicates();
		assertThat(this.sender.to("b").map(Sent::token).toList()).hasSize(2).isSorted().doesNotHaveDuplicates();
		assertThat(this.sender.sent).allSatisfy((sent) -> assertThat(FencingTokens.termOf(sent.token())).isEqualTo(1));
	}

	// Guards against a planner that takes its own newer order for one of a successor.
	@Test
	void anOlderOrderThatIsRefusedAfterANewerOneDoesNotStopThePlanner() {
		final Sent open = openGroup();
		final GroupId first = joinedBy("a");
		list(member("a", first, 0, MemberState.BROKEN), member("b", first, 1, MemberState.READY));
		tick();
		final GroupId second = joinedBy("a");
		assertThat(second.epoch()).isGreaterThan(first.epoch());
		open.answer().complete(OrderOutcome.FENCED);
		handleAnswers();
		listGroup(second, MemberState.READY);
		tick();
		assertThat(this.sender.newest("a").order()).isInstanceOfSatisfying(ReplicaOrder.Open.class,
				(order) -> assertThat(order.group()).isEqualTo(second));
	}

	// Guards against a daemon that goes on ordering after another has become the planner.
	@Test
	void theNewestOrderThatIsRefusedStopsItsTermAndAHigherOneOrdersAgain() {
		final Sent open = openGroup();
		final int sentBefore = this.sender.sent.size();
		open.answer().complete(OrderOutcome.FENCED);
		handleAnswers();
		listOpenGroupAndTwoFree();
		tick();
		tick();
		assertThat(this.sender.sent).hasSize(sentBefore);
		beginTerm(2);
		assertThat(joinedBy("c").epoch() >> EPOCH_COUNTER_BITS).isEqualTo(2);
		assertThat(FencingTokens.termOf(this.sender.newest("c").token())).isEqualTo(2);
	}

	// Guards against a new term that the late refusal of an earlier one's order stops.
	@Test
	void aRefusedOrderOfAnEarlierTermDoesNotStopThePresentOne() {
		final Sent open = openGroup();
		beginTerm(2);
		open.answer().complete(OrderOutcome.FENCED);
		handleAnswers();
		listOpenGroupAndTwoFree();
		tick();
		assertThat(joinedBy("c").epoch() >> EPOCH_COUNTER_BITS).isEqualTo(2);
	}

	// Guards against orders from a list that may be arbitrarily old.
	@Test
	void nothingIsOrderedBeforeTheTimeOfTheListIsKnown() {
		this.duty.setListAsOfSource(OptionalLong::empty);
		list(free("chat", "a"), free("chat", "b"));
		beginTerm(1);
		assertThat(this.sender.sent).isEmpty();
		this.duty.setListAsOfSource(() -> OptionalLong.of(System.nanoTime()));
		tick();
		assertThat(this.sender.sent).isEmpty();
		beginTerm(1);
		assertThat(this.sender.sent).hasSize(2);
	}

	// Guards against instances that a previous planner has assigned since the list.
	@Test
	void nothingIsOrderedFromAListThatIsOlderThanTheTerm() {
		final long beforeTerm = System.nanoTime() - SECOND_NANOS;
		this.duty.setListAsOfSource(() -> OptionalLong.of(beforeTerm));
		list(free("chat", "a"), free("chat", "b"));
		beginTerm(1);
		assertThat(this.sender.sent).isEmpty();
		this.duty.setListAsOfSource(() -> OptionalLong.of(System.nanoTime()));
		tick();
		// A list of the time that was read in this tick may still wait in the ring.
		assertThat(this.sender.sent).isEmpty();
		tick();
		assertThat(this.sender.sent).hasSize(2);
	}

	// Guards against instances that late orders of a previous planner take.
	@Test
	void nothingIsAssignedAfterATakeOverWhereInstancesIgnoreFencingTokens() {
		startDuty(OrderFencing.IGNORED);
		list(free("chat", "a"), free("chat", "b"));
		beginTerm(1);
		tick();
		assertThat(this.sender.sent).isEmpty();
	}

	// Guards against epochs of a later service that are below those of earlier planners.
	@Test
	void aServiceThatIsConfiguredWithinATermGetsGroupsOfThatTerm() {
		list(free("chat", "a"), free("chat", "b"), free("code", "c"), free("code", "d"));
		beginTerm(7);
		assertThat(joinedBy("a").epoch() >> EPOCH_COUNTER_BITS).isEqualTo(7);
		assertThat(this.sender.to("c")).isEmpty();
		configure("chat", "code");
		beginTerm(7);
		assertThat(joinedBy("c").epoch() >> EPOCH_COUNTER_BITS).isEqualTo(7);
	}

	// Forms a group of a and b in term 1, and returns the order to open it.
	private Sent openGroup() {
		list(free("chat", "a"), free("chat", "b"));
		beginTerm(1);
		listGroup(joinedBy("a"), MemberState.READY);
		tick();
		final Sent open = this.sender.newest("a");
		assertThat(open.order()).isInstanceOf(ReplicaOrder.Open.class);
		return open;
	}

	private void listOpenGroupAndTwoFree() {
		final GroupId group = joinedBy("a");
		list(member("a", group, 0, MemberState.OPEN), member("b", group, 1, MemberState.READY), free("chat", "c"),
				free("chat", "d"));
	}

	private GroupId joinedBy(String instanceId) {
		final List<GroupId> groups = this.sender.to(instanceId)
			.map(Sent::order)
			.filter(ReplicaOrder.Join.class::isInstance)
			.map((order) -> ((ReplicaOrder.Join) order).group())
			.toList();
		assertThat(groups).as("groups that %s was ordered to join", instanceId).isNotEmpty();
		return groups.get(groups.size() - 1);
	}

	private void configure(String... services) {
		final EngineSpec engine = new EngineSpec(4, List.of(new EngineModel(MODEL, 2, 1, 1, 12_000, 1_100)), 5, 4, 300);
		this.duty.onMessage(new ReplicaMessage.ConfigurationUpdated(new RouteTable(1, List.of(),
				Stream.of(services).map((name) -> new ServiceSpec(name, 4, Optional.of(engine))).toList(), List.of(),
				CallerBounds.DEFAULT)));
	}

	private void list(ServingInstance... instances) {
		this.duty.onMessage(new ReplicaMessage.InstancesUpdated(List.of(instances)));
	}

	private void listGroup(GroupId group, MemberState state) {
		list(member("a", group, 0, state), member("b", group, 1, state));
	}

	// Ticks until a planner that begins in the second tick has a list from after it.
	private void beginTerm(long term) {
		this.lease.term = Optional.of(term);
		tick();
		tick();
		tick();
	}

	private void tick() {
		this.duty.onTick();
	}

	private void handleAnswers() {
		final int answers = this.duty.rings().get(0).size();
		assertThat(answers).isPositive();
		for (int i = 0; i < answers; i++) {
			this.duty.onMessage((ReplicaMessage) this.duty.rings().get(0).poll());
		}
	}

	private static ServingInstance free(String service, String id) {
		return instance(service, id, false, Optional.empty());
	}

	private static ServingInstance member(String id, GroupId group, int rank, MemberState state) {
		return instance("chat", id, false, Optional.of(new Membership(group, rank, state)));
	}

	private static ServingInstance draining(ServingInstance instance) {
		return instance(instance.service(), instance.id(), true, instance.membership());
	}

	// Holds the weights already, so that no limit on loads delays its group.
	private static ServingInstance instance(String service, String id, boolean draining,
			Optional<Membership> membership) {
		return new ServingInstance(id, service, id + ":80", "zone", "domain", draining, 4, Set.of(MODEL), membership);
	}

	private record Sent(ReplicaOrder order, long token, CompletableFuture<OrderOutcome> answer) {

	}

	private static final class SettableLease implements PlannerLease {

		private Optional<Long> term = Optional.empty();

		@Override
		public void start() {
			// Set by the tests.
		}

		@Override
		public void stop() {
			// Set by the tests.
		}

		@Override
		public Optional<Long> term(long nowNanos) {
			return this.term;
		}

		@Override
		public void setCandidacy(BooleanSupplier isCandidate) {
			// Set by the tests.
		}

		@Override
		public void release() {
			// Set by the tests.
		}

	}

	private static final class RecordingSender implements OrderSender {

		private final List<Sent> sent = new ArrayList<>();

		@Override
		public CompletableFuture<OrderOutcome> send(ReplicaOrder order, long fencingToken) {
			final Sent added = new Sent(order, fencingToken, new CompletableFuture<>());
			this.sent.add(added);
			return added.answer();
		}

		private Stream<Sent> to(String instanceId) {
			return this.sent.stream().filter((order) -> order.order().instance().id().equals(instanceId));
		}

		private Sent newest(String instanceId) {
			return to(instanceId).reduce((earlier, later) -> later).orElseThrow();
		}

		@Override
		public void setInstanceListener(InstanceListener listener) {
			// Backoffs are not part of these tests.
		}

		@Override
		public CompletableFuture<ProbeResult> probe(ServingInstance instance) {
			return CompletableFuture.completedFuture(ProbeResult.ANSWERED);
		}

	}

}
