package org.pistachioline.daemon.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

import org.apache.pekko.actor.typed.ActorSystem;

import org.pistachioline.adapters.platform.InstanceList;
import org.pistachioline.adapters.target.EngineControl;
import org.pistachioline.core.event.EventId;
import org.pistachioline.core.fleet.EngineState;
import org.pistachioline.core.fleet.Instance;
import org.pistachioline.core.manifest.PoolKind;
import org.pistachioline.core.manifest.PoolSpec;
import org.pistachioline.core.presence.GroupProof;
import org.pistachioline.core.presence.PresenceLimits;
import org.pistachioline.core.presence.PresenceNode;
import org.pistachioline.core.presence.PresenceProof;
import org.pistachioline.core.presence.PresenceStep;
import org.pistachioline.core.record.Member;
import org.pistachioline.core.state.ConfigState;
import org.pistachioline.core.state.FleetState;
import org.pistachioline.core.state.GroupState;
import org.pistachioline.core.state.PlannerEpoch;
import org.pistachioline.core.traffic.TargetView;
import org.pistachioline.daemon.Lifecycle;
import org.pistachioline.daemon.agreed.StreamDuty;
import org.pistachioline.daemon.duty.Duty;
import org.pistachioline.daemon.duty.DutyHandler;
import org.pistachioline.daemon.duty.Ring;
import org.pistachioline.daemon.event.Events;
import org.pistachioline.protocol.peer.PeerFrame;

/**
 * Reads the instance list, probes engines for what they hold and publishes which targets
 * can serve.
 */
public final class FleetDuty implements Lifecycle, DutyHandler<FleetDuty.Message> {

	private static final int RING_CAPACITY = 8192;

	private static final Duration TICK_INTERVAL = Duration.ofMillis(100);

	private static final long LIST_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private final StreamDuty<ConfigState> config;

	private final StreamDuty<FleetState> fleet;

	private final InstanceList instanceList;

	private final EngineControl engines;

	private final PresenceTransport transport;

	private final String writer;

	private final long presenceBoundNanos;

	private final PresenceNode presence;

	private final Duty<Message> duty;

	private final AtomicReference<FleetView> view = new AtomicReference<>(FleetView.EMPTY);

	private final List<Consumer<FleetView>> listeners = new CopyOnWriteArrayList<>();

	private final Map<String, PresenceProof> heldByInstance = new ConcurrentHashMap<>();

	private final Map<String, Long> probedSinceNanos = new ConcurrentHashMap<>();

	private final Set<String> servingGroupIds = new HashSet<>();

	private List<Instance> instances = List.of();

	private boolean listed;

	private boolean listInProgress;

	private long listedAtNanos;

	/**
	 * Creates a duty that reads and probes once it is started.
	 * @param system the process's actor system
	 * @param config the configuration stream
	 * @param fleet the fleet stream
	 * @param instanceList the platform's instance list
	 * @param engines the client that probes engines
	 * @param transport the transport that exchanges presence with other daemons
	 * @param writer the writer id of this process on the log
	 * @param limits the intervals and bounds of probing
	 */
	public FleetDuty(ActorSystem<?> system, StreamDuty<ConfigState> config, StreamDuty<FleetState> fleet,
			InstanceList instanceList, EngineControl engines, PresenceTransport transport, String writer,
			PresenceLimits limits) {
		this.config = config;
		this.fleet = fleet;
		this.instanceList = instanceList;
		this.engines = engines;
		this.transport = transport;
		this.writer = writer;
		this.presenceBoundNanos = limits.maxProofAgeNanos();
		this.presence = new PresenceNode(transport.selfId(), limits);
		this.duty = new Duty<>(system, "fleet", RING_CAPACITY, TICK_INTERVAL, this);
	}

	/**
	 * Adds a listener that receives each new view.
	 * @param listener the listener; it runs on the duty's thread
	 */
	public void onChange(Consumer<FleetView> listener) {
		this.listeners.add(listener);
	}

	/**
	 * Returns what is currentView of instances and targets; callable on any thread.
	 * @return the newest view
	 */
	public FleetView view() {
		return this.view.get();
	}

	@Override
	public void start() {
		this.duty.start();
		// A change on the log takes effect at once, as a dissolved group must get no more
		// requests.
		this.fleet.onChange(() -> this.duty.offer(new Message.StateChanged()));
		this.config.onChange(() -> this.duty.offer(new Message.StateChanged()));
		// A frame is dropped if the ring is full; the request is sent again.
		this.transport.onFrame((frame) -> this.duty.offer(new Message.PeerFrameReceived(frame)));
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
		final long nowNanos = System.nanoTime();
		if (!this.listInProgress && (!this.listed || nowNanos - this.listedAtNanos >= LIST_INTERVAL_NANOS)) {
			this.listInProgress = true;
			this.instanceList.read()
				.whenComplete((read, failure) -> this.duty.put(new Message.ListCompleted(read, failure)));
		}
		probe(nowNanos);
		publish(nowNanos);
	}

	private void probe(long nowNanos) {
		this.presence.update(this.fleet.view().state().groups(), this.transport.zonesByDaemon(), nowNanos);
		final PresenceStep step = this.presence.step(membersToProbe(nowNanos), nowNanos);
		this.heldByInstance.keySet().retainAll(this.presence.probeResults().instanceIds());
		this.probedSinceNanos.keySet().retainAll(this.presence.probedInstanceIds());
		for (final Member member : step.probes()) {
			this.probedSinceNanos.putIfAbsent(member.instanceId(), nowNanos);
			this.engines.held(member.address()).whenComplete((held, failure) -> {
				if (failure == null) {
					this.duty.offer(new Message.HeldStateReceived(member.instanceId(), held, nowNanos));
				}
			});
		}
		step.requests().forEach(this.transport::send);
	}

	// A planner itself probes the instances that no other daemon proves present: the free
	// ones and the members of groups that are loading or lack a member.
	private List<Member> membersToProbe(long nowNanos) {
		final FleetState state = this.fleet.view().state();
		final Set<Long> provenByPresence = this.presence.servingEpochs(nowNanos);
		final List<Member> members = new ArrayList<>();
		for (final GroupState group : state.groups().values()) {
			if (isPlannedHere(state, group.fabricDomain()) && !provenByPresence.contains(group.epoch())) {
				members.addAll(group.members());
			}
		}
		for (final Instance instance : this.instances) {
			if (isPlannedHere(state, instance.fabricDomain()) && isEngine(instance)
					&& !state.groupIdsByInstance().containsKey(instance.id())) {
				members.add(new Member(instance.id(), instance.fabricDomain(), instance.address(),
						instance.availabilityZone(), instance.accelerators()));
			}
		}
		return members;
	}

	private boolean isEngine(Instance instance) {
		return this.config.view()
			.state()
			.manifest()
			.pool(instance.pool())
			.map(PoolSpec::kind)
			.filter((kind) -> kind == PoolKind.ENGINE)
			.isPresent();
	}

	@Override
	public void onMessage(Message message) {
		if (message instanceof Message.ListCompleted completed) {
			this.listInProgress = false;
			this.listedAtNanos = System.nanoTime();
			if (completed.failure() == null) {
				this.instances = List.copyOf(completed.instances());
				this.listed = true;
			}
		}
		else if (message instanceof Message.HeldStateReceived heldState) {
			this.heldByInstance.put(heldState.instanceId(),
					new PresenceProof(heldState.held(), heldState.probedAtNanos()));
			this.presence.onProbeResponse(heldState.instanceId(), heldState.held(), heldState.probedAtNanos());
		}
		else if (message instanceof Message.PeerFrameReceived received) {
			this.transport.handle(received.frame(), this.presence, System.nanoTime());
		}
		else if (message instanceof Message.StateChanged) {
			publish(System.nanoTime());
		}
	}

	private void publish(long nowNanos) {
		if (!this.listed) {
			return;
		}
		final FleetState state = this.fleet.view().state();
		this.presence.update(state.groups(), this.transport.zonesByDaemon(), nowNanos);
		final Map<Long, GroupProof> proofs = this.presence.proofs(nowNanos);
		final List<TargetView> targets = TargetViews.derive(this.instances, this.config.view().state().manifest(),
				state, proofs, this.presenceBoundNanos, nowNanos);
		final FleetView next = new FleetView(this.instances, missingRanks(state, proofs, nowNanos), targets, proofs,
				true);
		this.view.set(next);
		logServingChanges(state, next);
		this.listeners.forEach((listener) -> listener.accept(next));
	}

	private Map<String, List<Integer>> missingRanks(FleetState state, Map<Long, GroupProof> proofs, long nowNanos) {
		final Map<String, List<Integer>> missing = new HashMap<>();
		for (final GroupState group : state.groups().values()) {
			final GroupProof proof = proofs.get(group.epoch());
			if (proof != null && proof.mayServe(this.presenceBoundNanos, nowNanos)) {
				continue;
			}
			if (isPlannedHere(state, group.fabricDomain())) {
				missing.put(group.groupId(), this.presence.probeResults().missingRanks(group, nowNanos));
			}
			else if (proof != null) {
				missing.put(group.groupId(), proof.missingRanks());
			}
		}
		return missing;
	}

	private void logServingChanges(FleetState state, FleetView next) {
		for (final GroupState group : state.groups().values()) {
			if (!next.proofs().containsKey(group.epoch())) {
				this.servingGroupIds.remove(group.groupId());
				continue;
			}
			final boolean serves = !next.missingRanks().containsKey(group.groupId());
			if (serves && this.servingGroupIds.add(group.groupId())) {
				Events.log(EventId.GROUP_SERVING, "group", group.groupId(), "epoch", group.epoch());
			}
			else if (!serves && this.servingGroupIds.remove(group.groupId())) {
				Events.log(EventId.GROUP_NOT_SERVING, "group", group.groupId(), "epoch", group.epoch(), "missing_ranks",
						next.missingRanks().get(group.groupId()));
			}
		}
		this.servingGroupIds.retainAll(state.groups().keySet());
	}

	/**
	 * Returns the last answer of each probed instance about what it holds.
	 * @return the answers by the instance's id
	 */
	Map<String, PresenceProof> held() {
		return Map.copyOf(this.heldByInstance);
	}

	/**
	 * Returns the groups of which all members are proven present.
	 * @param nowNanos the monotonic time
	 * @return their epochs
	 */
	Set<Long> provenEpochs(long nowNanos) {
		final Set<Long> proven = new HashSet<>();
		this.view.get().proofs().forEach((epoch, proof) -> {
			if (proof.mayServe(this.presenceBoundNanos, nowNanos)) {
				proven.add(epoch);
			}
		});
		return proven;
	}

	/**
	 * Returns the unresponsive instances of the fabric domains that this daemon plans.
	 * Members of a group that another daemon has proven present are left out, since then
	 * this daemon is cut off and not the member.
	 * @param nowNanos the monotonic time
	 * @return the instances' ids
	 */
	Set<String> unresponsiveInstances(long nowNanos) {
		final FleetView currentView = this.view.get();
		final FleetState state = this.fleet.view().state();
		final Set<String> candidates = new HashSet<>();
		for (final GroupState group : state.groups().values()) {
			final GroupProof proof = currentView.proofs().get(group.epoch());
			final boolean proven = proof != null && proof.mayServe(this.presenceBoundNanos, nowNanos);
			if (isPlannedHere(state, group.fabricDomain()) && !proven) {
				group.members().forEach((member) -> candidates.add(member.instanceId()));
			}
		}
		for (final Instance instance : currentView.instances()) {
			if (isPlannedHere(state, instance.fabricDomain()) && isEngine(instance)
					&& !state.groupIdsByInstance().containsKey(instance.id())) {
				candidates.add(instance.id());
			}
		}
		candidates.removeIf((id) -> {
			final PresenceProof proof = this.heldByInstance.get(id);
			final long probedNanos = nowNanos - this.probedSinceNanos.getOrDefault(id, nowNanos);
			// An instance that has been probed for less than the bound has had no chance
			// to heldState.
			return probedNanos <= this.presenceBoundNanos
					|| (proof != null && nowNanos - proof.probedAtNanos() <= this.presenceBoundNanos);
		});
		return candidates;
	}

	private boolean isPlannedHere(FleetState state, String domain) {
		final PlannerEpoch planner = state.planners().get(domain);
		return planner != null && planner.writer().equals(this.writer);
	}

	/**
	 * A message on the ring of the duty.
	 */
	sealed interface Message {

		/**
		 * A read of the instance list succeeded or failed.
		 *
		 * @param instances the instances
		 * @param failure the cause of the failure; null if the read succeeded
		 */
		record ListCompleted(List<Instance> instances, Throwable failure) implements Message {
		}

		/**
		 * An engine answered a probe.
		 *
		 * @param instanceId the probed instance
		 * @param held what the instance holds
		 * @param probedAtNanos the monotonic time when the probe was sent
		 */
		record HeldStateReceived(String instanceId, EngineState held, long probedAtNanos) implements Message {
		}

		/**
		 * A presence frame arrived from another daemon.
		 *
		 * @param frame the frame
		 */
		record PeerFrameReceived(PeerFrame frame) implements Message {
		}

		/**
		 * The replicated configuration or fleet state changed.
		 */
		record StateChanged() implements Message {
		}

	}

}
