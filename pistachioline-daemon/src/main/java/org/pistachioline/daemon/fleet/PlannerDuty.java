package org.pistachioline.daemon.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

import org.apache.pekko.actor.typed.ActorSystem;

import org.pistachioline.adapters.target.EngineControl;
import org.pistachioline.core.event.EventId;
import org.pistachioline.core.fleet.EngineCommand;
import org.pistachioline.core.fleet.Instance;
import org.pistachioline.core.manifest.PoolKind;
import org.pistachioline.core.manifest.PoolSpec;
import org.pistachioline.core.planner.GroupLoad;
import org.pistachioline.core.planner.OrderDecider;
import org.pistachioline.core.planner.OrderInput;
import org.pistachioline.core.planner.OrderLimits;
import org.pistachioline.core.planner.Plan;
import org.pistachioline.core.planner.Planner;
import org.pistachioline.core.planner.PlannerElection;
import org.pistachioline.core.planner.PlannerInput;
import org.pistachioline.core.planner.PlannerMemory;
import org.pistachioline.core.presence.GroupProof;
import org.pistachioline.core.record.GroupDissolution;
import org.pistachioline.core.record.GroupDrain;
import org.pistachioline.core.record.GroupFormation;
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
import org.pistachioline.daemon.duty.Ring;
import org.pistachioline.daemon.event.Events;

/**
 * Plans the fabric domains that this daemon is the elected planner of, and sends orders
 * to their engines.
 */
public final class PlannerDuty implements Lifecycle, DutyHandler<PlannerDuty.Message> {

	private static final int RING_CAPACITY = 1024;

	private static final Duration TICK_INTERVAL = Duration.ofMillis(250);

	private final StreamDuty<ConfigState> config;

	private final StreamDuty<FleetState> fleet;

	private final FleetDuty fleetDuty;

	private final EngineControl engines;

	private final AppendDuty appender;

	private final Planner planner;

	private final PlannerElection election;

	private final OrderDecider orders;

	private final PlannerMemory memory = new PlannerMemory();

	private final AtomicReference<Plan> plan = new AtomicReference<>(Plan.EMPTY);

	private final Supplier<Set<String>> liveDaemons;

	private final Duty<Message> duty;

	private final Set<String> pendingOrders = new HashSet<>();

	private int pendingProposals;

	/**
	 * Creates a duty that plans once it is started.
	 * @param system the process's actor system
	 * @param config the configuration stream
	 * @param fleet the fleet stream
	 * @param fleetDuty provides the instance list and the presence of groups
	 * @param engines the client that sends orders to engines
	 * @param appender appends proposals to the fleet stream
	 * @param planner decides which groups to form, drain and dissolve
	 * @param selfId the id of this daemon
	 * @param liveDaemons supplies the ids of the live daemons, including this one
	 */
	public PlannerDuty(ActorSystem<?> system, StreamDuty<ConfigState> config, StreamDuty<FleetState> fleet,
			FleetDuty fleetDuty, EngineControl engines, AppendDuty appender, Planner planner, String selfId,
			Supplier<Set<String>> liveDaemons) {
		this.config = config;
		this.fleet = fleet;
		this.fleetDuty = fleetDuty;
		this.engines = engines;
		this.appender = appender;
		this.planner = planner;
		this.election = new PlannerElection(selfId, appender.writer());
		this.orders = new OrderDecider(appender.writer(), OrderLimits.DEFAULT);
		this.liveDaemons = liveDaemons;
		this.duty = new Duty<>(system, "planner", RING_CAPACITY, TICK_INTERVAL, this);
	}

	/**
	 * Returns the last plan and its reasons, for the dump.
	 * @return the plan; empty if this daemon plans no domain
	 */
	public Plan plan() {
		return this.plan.get();
	}

	@Override
	public void start() {
		this.duty.start();
		this.fleet.onChange(() -> this.duty.offer(new Message.StateChanged()));
	}

	@Override
	public List<Ring<?>> rings() {
		return List.of(this.duty.ring());
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
		if (message instanceof Message.ProposalCompleted) {
			this.pendingProposals--;
		}
		else if (message instanceof Message.OrderCompleted completed) {
			this.pendingOrders.remove(completed.instanceId());
		}
		else {
			step();
		}
	}

	private void step() {
		final StreamView<FleetState> fleetView = this.fleet.view();
		final FleetView instanceView = this.fleetDuty.view();
		final long nowNanos = System.nanoTime();
		// A planner with a stale view may have been replaced without knowing it.
		final boolean fresh = fleetView.caughtUp() && this.config.view().caughtUp() && instanceView.listed()
				&& this.orders.isViewFresh(fleetView.readAtNanos(), nowNanos);
		if (!fresh) {
			return;
		}
		if (this.pendingProposals == 0) {
			propose(nowNanos, fleetView.state(), instanceView);
		}
		sendOrders(nowNanos, fleetView, instanceView);
	}

	private void propose(long nowNanos, FleetState state, FleetView instanceView) {
		final Set<String> live = this.liveDaemons.get();
		for (final String domain : engineDomains(instanceView)) {
			final PlannerEpoch current = state.planners().get(domain);
			if (this.election.shouldClaim(domain, current, live, nowNanos)) {
				append(new PlannerClaim(domain, (current != null) ? current.epoch() : PlannerClaim.NO_EPOCH));
			}
		}
		if (this.pendingProposals > 0) {
			return;
		}
		final Plan next = this.planner
			.plan(new PlannerInput(nowNanos, this.appender.writer(), this.config.view().state().manifest(),
					this.config.view().state().version(), state, instanceView.instances(), instanceView.missingRanks(),
					loads(state, instanceView), this.fleetDuty.unresponsiveInstances(nowNanos)), this.memory);
		logDarkDomains(next.unreachableDomains());
		this.plan.set(next);
		next.records().forEach(this::append);
	}

	private void logDarkDomains(Set<String> darkDomains) {
		for (final String domain : darkDomains) {
			if (!this.plan.get().unreachableDomains().contains(domain)) {
				Events.log(EventId.DOMAIN_UNRESPONSIVE, "fabric_domain", domain);
			}
		}
	}

	private static Map<String, GroupLoad> loads(FleetState state, FleetView instanceView) {
		final Map<String, GroupLoad> loads = new HashMap<>();
		for (final GroupState group : state.groups().values()) {
			final GroupProof proof = instanceView.proofs().get(group.epoch());
			if (proof != null && proof.loadAtNanos() != GroupProof.NEVER) {
				loads.put(group.groupId(), new GroupLoad(proof.running(), proof.waiting(), proof.loadAtNanos()));
			}
		}
		return loads;
	}

	private Set<String> engineDomains(FleetView instanceView) {
		final Set<String> domains = new TreeSet<>();
		for (final Instance instance : instanceView.instances()) {
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
		this.pendingProposals++;
		this.appender.append(this.fleet.stream(), body).whenComplete((verdict, failure) -> {
			if (failure == null && verdict.isAccepted()) {
				logAccepted(body);
			}
			this.duty.put(new Message.ProposalCompleted(verdict));
		});
	}

	private static void logAccepted(RecordBody body) {
		if (body instanceof PlannerClaim claim) {
			Events.log(EventId.PLANNER_CLAIMED, "fabric_domain", claim.fabricDomain());
		}
		else if (body instanceof GroupFormation formation) {
			Events.log(EventId.GROUP_FORMED, "group", formation.groupId(), "model", formation.model());
		}
		else if (body instanceof GroupDissolution dissolution) {
			Events.log(EventId.GROUP_DISSOLVED, "group", dissolution.groupId(), "reason", dissolution.reason());
		}
		else if (body instanceof GroupDrain drain) {
			Events.log(EventId.GROUP_DRAINING, "group", drain.groupId(), "reason", drain.reason());
		}
	}

	private void sendOrders(long nowNanos, StreamView<FleetState> view, FleetView instanceView) {
		final OrderInput input = new OrderInput(nowNanos, view.readAtNanos(), this.config.view().state().manifest(),
				view.state(), instanceView.instances(), this.fleetDuty.provenEpochs(nowNanos), this.fleetDuty.held());
		for (final EngineCommand command : this.orders.decide(input)) {
			// Checked again, since this thread may have been paused after the decision.
			if (this.orders.isViewFresh(view.readAtNanos(), System.nanoTime())) {
				send(command);
			}
		}
	}

	private void send(EngineCommand command) {
		if (!this.pendingOrders.add(command.instanceId())) {
			return;
		}
		this.engines.order(command.address(), command.order()).whenComplete((accepted, failure) -> {
			if (failure != null || !accepted) {
				Events.log(EventId.ORDER_FAILED, "instance", command.instanceId(), "group", command.order().groupId(),
						"fencing_number", command.order().fencingToken());
			}
			this.duty.put(new Message.OrderCompleted(command.instanceId()));
		});
	}

	/**
	 * A message on the ring of the duty.
	 */
	sealed interface Message {

		/**
		 * The replicated fleet state changed.
		 */
		record StateChanged() implements Message {
		}

		/**
		 * A proposal of this daemon was folded, or its append failed.
		 *
		 * @param verdict the verdict; null if it is unknown or nothing was appended
		 */
		record ProposalCompleted(RecordVerdict verdict) implements Message {
		}

		/**
		 * An order was answered or failed.
		 *
		 * @param instanceId the instance that the order was sent to
		 */
		record OrderCompleted(String instanceId) implements Message {
		}

	}

}
