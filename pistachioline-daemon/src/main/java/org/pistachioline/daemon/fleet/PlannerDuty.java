package org.pistachioline.daemon.fleet;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.apache.pekko.actor.typed.ActorSystem;

import org.pistachioline.adapters.target.EngineControl;
import org.pistachioline.core.event.EventId;
import org.pistachioline.core.fleet.EngineOrder;
import org.pistachioline.core.fleet.HeldPhase;
import org.pistachioline.core.fleet.HeldState;
import org.pistachioline.core.fleet.Instance;
import org.pistachioline.core.manifest.PoolKind;
import org.pistachioline.core.manifest.PoolSpec;
import org.pistachioline.core.planner.Planner;
import org.pistachioline.core.planner.PlannerInput;
import org.pistachioline.core.planner.Rendezvous;
import org.pistachioline.core.presence.PresenceProof;
import org.pistachioline.core.record.Member;
import org.pistachioline.core.record.PlannerClaim;
import org.pistachioline.core.record.RecordBody;
import org.pistachioline.core.state.ConfigState;
import org.pistachioline.core.state.FleetState;
import org.pistachioline.core.state.GroupState;
import org.pistachioline.core.state.PlannerEpoch;
import org.pistachioline.daemon.Lifecycle;
import org.pistachioline.daemon.agreed.AppendDuty;
import org.pistachioline.daemon.agreed.RecordVerdict;
import org.pistachioline.daemon.agreed.StreamDuty;
import org.pistachioline.daemon.agreed.StreamView;
import org.pistachioline.daemon.duty.Duty;
import org.pistachioline.daemon.duty.DutyHandler;
import org.pistachioline.daemon.event.Events;

/**
 * Plans the fabric domains that fall to this daemon and gives their engines orders.
 */
public final class PlannerDuty implements Lifecycle, DutyHandler<PlannerDuty.Message> {

	private static final int RING_CAPACITY = 1024;

	private static final Duration TICK = Duration.ofMillis(250);

	private static final long ORDER_LIFETIME_MILLIS = 2_000;

	private static final long FRESH_VIEW_NANOS = TimeUnit.SECONDS.toNanos(5);

	private final StreamDuty<ConfigState> config;

	private final StreamDuty<FleetState> fleet;

	private final FleetDuty instances;

	private final EngineControl engines;

	private final AppendDuty appender;

	private final Planner planner;

	private final String selfId;

	private final Supplier<Set<String>> liveDaemons;

	private final Duty<Message> duty;

	private final Set<String> ordering = new HashSet<>();

	private boolean proposing;

	/**
	 * Creates the duty.
	 * @param system the process's actor system
	 * @param config the configuration stream
	 * @param fleet the fleet stream
	 * @param instances what is known of instances
	 * @param engines how engines are given orders
	 * @param appender appends records
	 * @param planner decides on groups
	 * @param selfId this daemon's name
	 * @param liveDaemons the names of the live daemons, this one included
	 */
	public PlannerDuty(ActorSystem<?> system, StreamDuty<ConfigState> config, StreamDuty<FleetState> fleet,
			FleetDuty instances, EngineControl engines, AppendDuty appender, Planner planner, String selfId,
			Supplier<Set<String>> liveDaemons) {
		this.config = config;
		this.fleet = fleet;
		this.instances = instances;
		this.engines = engines;
		this.appender = appender;
		this.planner = planner;
		this.selfId = selfId;
		this.liveDaemons = liveDaemons;
		this.duty = new Duty<>(system, "planner", RING_CAPACITY, TICK, this);
	}

	@Override
	public void start() {
		this.duty.start();
		this.fleet.onChange(() -> this.duty.offer(new Message.Changed()));
	}

	@Override
	public void stop() {
		this.duty.stop();
	}

	@Override
	public void onTick() {
		step();
	}

	@Override
	public void onMessage(Message message) {
		if (message instanceof Message.Proposed) {
			this.proposing = false;
		}
		else if (message instanceof Message.Ordered ordered) {
			this.ordering.remove(ordered.instanceId());
		}
		else {
			step();
		}
	}

	private void step() {
		final StreamView<FleetState> fleetView = this.fleet.view();
		final FleetView known = this.instances.view();
		final long nowNanos = System.nanoTime();
		// A planner whose view is old may have been replaced without knowing it.
		final boolean fresh = fleetView.caughtUp() && this.config.view().caughtUp() && known.listed()
				&& nowNanos - fleetView.readAtNanos() <= FRESH_VIEW_NANOS;
		if (!fresh) {
			return;
		}
		if (!this.proposing) {
			propose(nowNanos, fleetView.state(), known);
		}
		order(fleetView.state(), known);
	}

	private void propose(long nowNanos, FleetState state, FleetView known) {
		for (final String domain : engineDomains(known)) {
			final PlannerEpoch current = state.planners().get(domain);
			final boolean preferred = Rendezvous.first(domain, this.liveDaemons.get())
				.filter(this.selfId::equals)
				.isPresent();
			if (preferred && (current == null || !current.writer().equals(this.appender.writer()))) {
				append(new PlannerClaim(domain, (current != null) ? current.epoch() : PlannerClaim.NONE));
				Events.log(EventId.PLANNER_TAKEN, "fabric_domain", domain);
				return;
			}
		}
		final List<RecordBody> records = this.planner
			.plan(new PlannerInput(nowNanos, this.appender.writer(), this.config.view().state().manifest(),
					this.config.view().state().version(), state, known.instances(), known.missingRanks(), Set.of()));
		records.forEach(this::append);
	}

	private Set<String> engineDomains(FleetView known) {
		final Set<String> domains = new TreeSet<>();
		for (final Instance instance : known.instances()) {
			final boolean engine = this.config.view()
				.state()
				.manifest()
				.pool(instance.pool())
				.map(PoolSpec::kind)
				.filter((kind) -> kind == PoolKind.ENGINE)
				.isPresent();
			if (engine) {
				domains.add(instance.fabricDomain());
			}
		}
		return domains;
	}

	private void append(RecordBody body) {
		this.proposing = true;
		this.appender.append(this.fleet.stream(), body)
			.whenComplete((verdict, failure) -> this.duty.put(new Message.Proposed(verdict)));
	}

	private void order(FleetState state, FleetView known) {
		for (final GroupState group : state.groups().values()) {
			if (!isMine(state, group.fabricDomain())) {
				continue;
			}
			for (int rank = 0; rank < group.members().size(); rank++) {
				orderLoad(group, rank);
			}
		}
		for (final Instance instance : known.instances()) {
			final Long lastEpoch = state.lastEpochs().get(instance.id());
			if (lastEpoch != null && !state.owners().containsKey(instance.id())
					&& isMine(state, instance.fabricDomain())) {
				orderUnload(instance, lastEpoch);
			}
		}
	}

	private boolean isMine(FleetState state, String domain) {
		final PlannerEpoch current = state.planners().get(domain);
		return current != null && current.writer().equals(this.appender.writer());
	}

	private void orderLoad(GroupState group, int rank) {
		final Member member = group.members().get(rank);
		final HeldState held = heldOf(member.instanceId());
		final boolean asOrdered = held != null && held.groupId().equals(group.groupId())
				&& held.fencingNumber() == group.epoch() && held.rank() == rank;
		if (!asOrdered) {
			send(member.instanceId(), member.address(), new EngineOrder(true, group.groupId(), group.epoch(), rank,
					group.members().size(), group.model(), ORDER_LIFETIME_MILLIS));
		}
	}

	private void orderUnload(Instance instance, long lastEpoch) {
		final HeldState held = heldOf(instance.id());
		if (held != null && held.phase() != HeldPhase.FREE) {
			send(instance.id(), instance.address(),
					new EngineOrder(false, held.groupId(), lastEpoch, 0, 0, held.model(), ORDER_LIFETIME_MILLIS));
		}
	}

	private HeldState heldOf(String instanceId) {
		final PresenceProof proof = this.instances.held(instanceId);
		return (proof != null) ? proof.held() : null;
	}

	private void send(String instanceId, String address, EngineOrder order) {
		if (!this.ordering.add(instanceId)) {
			return;
		}
		this.engines.order(address, order).whenComplete((taken, failure) -> {
			if (failure != null || !taken) {
				Events.log(EventId.ORDER_FAILED, "instance", instanceId, "group", order.groupId(), "fencing_number",
						order.fencingNumber());
			}
			this.duty.put(new Message.Ordered(instanceId));
		});
	}

	/**
	 * A message to the duty.
	 */
	sealed interface Message {

		/**
		 * The agreed state changed.
		 */
		record Changed() implements Message {
		}

		/**
		 * A proposal of ours was folded.
		 *
		 * @param verdict the verdict; null where it was not appended
		 */
		record Proposed(RecordVerdict verdict) implements Message {
		}

		/**
		 * An order was answered, or not.
		 *
		 * @param instanceId the instance
		 */
		record Ordered(String instanceId) implements Message {
		}

	}

}
