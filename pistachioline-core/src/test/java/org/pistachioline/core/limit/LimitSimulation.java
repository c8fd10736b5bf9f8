package org.pistachioline.core.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;

import org.pistachioline.core.cold.ColdTarget;
import org.pistachioline.core.traffic.TargetKind;
import org.pistachioline.core.traffic.TargetView;
import org.pistachioline.core.world.VirtualTime;

/**
 * Simulates daemons in front of shared targets that advertise limits, decline requests or
 * leave, in virtual time.
 * <p>
 * Records as violations: each arrival at which a limited target has received more than
 * 1.5 times its limit, plus a burst, from daemons that had received the limit; each
 * arrival after the second from a daemon during a backoff that the target requested of
 * it; and each arrival from a daemon that was informed that the target is leaving.
 */
final class LimitSimulation {

	static final long SECOND_NANOS = VirtualTime.SECOND_NANOS;

	static final long MILLI_NANOS = 1_000_000L;

	/** Time after which all daemons are expected to know of a limit. */
	private static final long PROPAGATION_NANOS = 3 * SECOND_NANOS;

	private static final long WINDOW_NANOS = 4 * SECOND_NANOS;

	private static final long REACTION_NANOS = SECOND_NANOS / 2;

	private static final double ALLOWED_RATIO = 1.5;

	private static final int ALLOWED_BURST = 5;

	private static final int ALLOWED_DURING_BACKOFF = 2;

	/**
	 * Time after which requests sent before a target announced that it is leaving have
	 * arrived.
	 */
	private static final long LEAVING_GRACE_NANOS = SECOND_NANOS / 10;

	private static final int SLOTS = 12;

	private static final long TICK_INTERVAL_NANOS = 50 * MILLI_NANOS;

	private static final long HEARTBEAT_INTERVAL_NANOS = 300 * MILLI_NANOS;

	private static final int FAN_OUT = 2;

	private static final int MAX_FRAME_DELAY_MILLIS = 20;

	private static final long LIVENESS_INTERVAL_NANOS = 250 * MILLI_NANOS;

	/** Time for which a stopped daemon still counts as live. */
	private static final long FAILURE_DETECTION_NANOS = 2_400 * MILLI_NANOS;

	final List<String> violations = new ArrayList<>();

	/** Rate of cold targets; 0 if the service declares none. */
	double coldPerSecond;

	/** Whether daemons exchange limits. */
	boolean gossipEnabled = true;

	private Set<String> evacuatedZones = Set.of();

	/** The longest time by which a daemon learns of another one. */
	long maxDiscoveryNanos;

	final Random random;

	private final TargetKind kind;

	private final List<LimitSimulationInstance> instances = new ArrayList<>();

	private final List<LimitSimulationInstance> replacedInstances = new ArrayList<>();

	private final List<LimitSimulationDaemon> daemons = new ArrayList<>();

	private final VirtualTime time = new VirtualTime();

	private long cutAtNanos = -FAILURE_DETECTION_NANOS;

	LimitSimulation(long seed, int daemonCount, int targetCount, TargetKind kind) {
		this.random = new Random(seed);
		this.kind = kind;
		for (int i = 0; i < targetCount; i++) {
			this.instances.add(new LimitSimulationInstance("i-" + i));
		}
		for (int i = 0; i < daemonCount; i++) {
			this.daemons.add(new LimitSimulationDaemon(this, "daemon-" + i));
		}
		this.time.every(TICK_INTERVAL_NANOS, () -> this.daemons.forEach(LimitSimulationDaemon::tick));
		this.time.every(HEARTBEAT_INTERVAL_NANOS, this::gossip);
		this.time.every(LIVENESS_INTERVAL_NANOS,
				() -> this.daemons.forEach((daemon) -> daemon.updateLiveDaemons(liveIdsSeenBy(daemon))));
	}

	private void gossip() {
		for (final LimitSimulationDaemon daemon : this.daemons) {
			final List<AdvertisedLimit> limits = (daemon.running() && this.gossipEnabled) ? daemon.latestLimits()
					: List.of();
			final List<ColdTarget> cold = daemon.running() ? daemon.coldTargets() : List.of();
			for (int i = 0; i < FAN_OUT && !(limits.isEmpty() && cold.isEmpty()); i++) {
				final LimitSimulationDaemon receiver = this.daemons.get(this.random.nextInt(this.daemons.size()));
				final long delayNanos = frameDelayNanos();
				if (daemon.side == receiver.side) {
					after(delayNanos, () -> receiver.receive(limits, delayNanos));
					tellCold(receiver, cold, delayNanos);
				}
			}
		}
	}

	private long frameDelayNanos() {
		return MILLI_NANOS + this.random.nextInt(MAX_FRAME_DELAY_MILLIS) * MILLI_NANOS;
	}

	private void tellCold(LimitSimulationDaemon receiver, List<ColdTarget> cold, long delayNanos) {
		if (!cold.isEmpty()) {
			after(delayNanos,
					() -> receiver.receiveCold(cold.stream()
						.map((target) -> new ColdTarget(target.instanceId(), target.coldUntilNanos() + delayNanos))
						.toList()));
		}
	}

	/**
	 * Sends what one daemon learned to all others that it reaches.
	 * @param sender the daemon
	 * @param cold the targets that it found to be cold
	 */
	void broadcastCold(LimitSimulationDaemon sender, List<ColdTarget> cold) {
		if (!cold.isEmpty()) {
			this.daemons.stream()
				.filter((daemon) -> daemon != sender && daemon.side == sender.side)
				.forEach((daemon) -> tellCold(daemon, cold, frameDelayNanos()));
		}
	}

	TargetKind kind() {
		return this.kind;
	}

	List<TargetView> views() {
		return this.instances.stream()
			.filter((instance) -> instance.groupEpoch > 0)
			.map((instance) -> new TargetView(instance.id + '@' + instance.groupEpoch, this.kind, "pool/m", instance.id,
					instance.groupEpoch, instance.availabilityZone,
					!this.evacuatedZones.contains(instance.availabilityZone), SLOTS, 0, 0, 0))
			.toList();
	}

	LimitSimulationInstance instance(int index) {
		return this.instances.get(index);
	}

	LimitSimulationInstance instance(String instanceId) {
		return Stream.concat(this.instances.stream(), this.replacedInstances.stream())
			.filter((instance) -> instance.id.equals(instanceId))
			.findFirst()
			.orElseThrow();
	}

	LimitSimulationDaemon daemon(int index) {
		return this.daemons.get(index);
	}

	List<LimitSimulationDaemon> daemons() {
		return this.daemons;
	}

	// Word of a daemon spreads for a time that differs between any two daemons.
	private Set<String> liveIdsSeenBy(LimitSimulationDaemon observer) {
		final Set<String> ids = new TreeSet<>();
		for (final LimitSimulationDaemon daemon : this.daemons) {
			final boolean live = daemon.running()
					|| this.time.nowNanos() - daemon.stoppedAtNanos() < FAILURE_DETECTION_NANOS;
			final boolean reachable = daemon.side == observer.side
					|| this.time.nowNanos() - this.cutAtNanos < FAILURE_DETECTION_NANOS;
			final long heardForNanos = this.time.nowNanos() - Math.max(daemon.joinedAtNanos, observer.startedAtNanos());
			if (live && reachable && heardForNanos >= discoveryNanos(observer, daemon)) {
				ids.add(daemon.id());
			}
		}
		return ids;
	}

	private long discoveryNanos(LimitSimulationDaemon observer, LimitSimulationDaemon daemon) {
		return (this.maxDiscoveryNanos == 0) ? 0
				: Math.floorMod((observer.id() + daemon.id()).hashCode() * 31L, this.maxDiscoveryNanos);
	}

	/**
	 * Cuts the fleet into two parts that do not hear of each other, or joins them again.
	 * @param firstPartSize the number of daemons in the first part; 0 to join the parts
	 */
	void cut(int firstPartSize) {
		this.cutAtNanos = this.time.nowNanos();
		for (int i = 0; i < this.daemons.size(); i++) {
			this.daemons.get(i).side = (i < firstPartSize) ? 1 : 0;
		}
	}

	/**
	 * Adds a daemon with a new id.
	 */
	void join() {
		final LimitSimulationDaemon daemon = new LimitSimulationDaemon(this, "daemon-" + this.daemons.size());
		daemon.joinedAtNanos = this.time.nowNanos();
		this.daemons.add(daemon);
	}

	/**
	 * Makes a target cold.
	 * @param index the index of the target
	 * @param seconds how long it stays cold
	 */
	void setCold(int index, double seconds) {
		final LimitSimulationInstance instance = instance(index);
		instance.coldUntilNanos = this.time.nowNanos() + (long) (seconds * SECOND_NANOS);
		instance.coldKnownAtNanos = this.time.nowNanos() + MAX_FRAME_DELAY_MILLIS * MILLI_NANOS + MILLI_NANOS;
		instance.coldSentNanos.clear();
		instance.maxColdPerSecond = 0;
	}

	/**
	 * Replaces all targets by new ones, which are cold before any daemon sends them a
	 * request.
	 * @param seconds how long they stay cold
	 */
	void startAllCold(double seconds) {
		for (int i = 0; i < this.instances.size(); i++) {
			final LimitSimulationInstance replaced = instance(i);
			replaced.groupEpoch = 0;
			this.instances.set(i, new LimitSimulationInstance(replaced.id + "~"));
			this.replacedInstances.add(replaced);
			setCold(i, seconds);
			instance(i).coldKnownAtNanos = this.time.nowNanos();
		}
		for (final LimitSimulationDaemon daemon : this.daemons) {
			for (int i = 0; i < this.instances.size(); i++) {
				daemon.learnCold(i, false);
			}
			daemon.updateTargets();
		}
	}

	long nowNanos() {
		return this.time.nowNanos();
	}

	/**
	 * Sends requests to random daemons at random intervals, as from independent callers.
	 * @param perSecond the mean rate in requests per second
	 */
	void sendRequests(double perSecond) {
		final double gapSeconds = -Math.log(1 - this.random.nextDouble()) / perSecond;
		after((long) (gapSeconds * SECOND_NANOS), () -> {
			final LimitSimulationDaemon daemon = this.daemons.get(this.random.nextInt(this.daemons.size()));
			if (daemon.running()) {
				daemon.arrive();
			}
			sendRequests(perSecond);
		});
	}

	void after(long nanos, Runnable action) {
		this.time.after(nanos, action);
	}

	void run(double seconds) {
		this.time.run(seconds);
	}

	/**
	 * Sets or ends the limit that a target advertises.
	 * @param index the index of the target
	 * @param requestsPerSecond the limit; empty to end it
	 */
	void setLimit(int index, OptionalDouble requestsPerSecond) {
		final LimitSimulationInstance instance = instance(index);
		instance.limit = requestsPerSecond;
		instance.limitSetAtNanos = this.time.nowNanos();
		instance.countedArrivalsNanos.clear();
		instance.receivedRequests = 0;
		this.daemons.forEach((daemon) -> daemon.limitReceivedAtNanos.remove(instance.id));
	}

	/**
	 * Dissolves a target's group and forms another with the same head one second later.
	 * @param index the index of the target
	 */
	void reformGroup(int index) {
		final long nextEpoch = instance(index).groupEpoch + 1;
		instance(index).groupEpoch = 0;
		this.daemons.forEach(LimitSimulationDaemon::updateTargets);
		after(SECOND_NANOS, () -> {
			instance(index).groupEpoch = nextEpoch;
			this.daemons.forEach(LimitSimulationDaemon::updateTargets);
		});
	}

	/**
	 * Makes a target decline all requests and request a backoff, or serve again.
	 * @param index the index of the target
	 * @param backoffSeconds the backoff to request; 0 to serve again
	 */
	void setBackoff(int index, double backoffSeconds) {
		instance(index).backoffNanos = (long) (backoffSeconds * SECOND_NANOS);
	}

	/**
	 * Records that a target declined a request and asked its daemon to back off.
	 * @param sender the daemon
	 * @param instance the target
	 */
	void recordBackoff(LimitSimulationDaemon sender, LimitSimulationInstance instance) {
		instance.backoffs.computeIfAbsent(sender.id(), (id) -> new ArrayList<>())
			.add(new LimitSimulationInstance.RequestedBackoff(this.time.nowNanos() + REACTION_NANOS,
					this.time.nowNanos() + instance.backoffNanos));
	}

	/**
	 * Evacuates availability zones, of which each daemon learns within a second.
	 * @param availabilityZones the zones; none to take all back
	 */
	void evacuate(Set<String> availabilityZones) {
		this.evacuatedZones = availabilityZones;
		this.daemons.forEach((daemon) -> after(this.random.nextInt(1_000) * MILLI_NANOS, daemon::updateTargets));
	}

	Set<String> evacuatedZones() {
		return this.evacuatedZones;
	}

	private void countCold(LimitSimulationInstance instance, long sentAtNanos) {
		if (this.time.nowNanos() >= instance.coldUntilNanos || sentAtNanos < instance.coldKnownAtNanos) {
			return;
		}
		instance.coldSentNanos.add(sentAtNanos);
		final long withinSecond = instance.coldSentNanos.stream()
			.filter((each) -> each >= this.time.nowNanos() - SECOND_NANOS)
			.count();
		instance.maxColdPerSecond = Math.max(instance.maxColdPerSecond, (int) withinSecond);
	}

	private void checkBackoff(LimitSimulationDaemon sender, LimitSimulationInstance instance) {
		for (final LimitSimulationInstance.RequestedBackoff backoff : instance.backoffs.getOrDefault(sender.id(),
				List.of())) {
			final boolean within = this.time.nowNanos() >= backoff.fromNanos
					&& this.time.nowNanos() < backoff.untilNanos;
			backoff.receivedRequests += within ? 1 : 0;
			if (within && backoff.receivedRequests > ALLOWED_DURING_BACKOFF) {
				this.violations.add(this.time.nowNanos() / MILLI_NANOS + " ms: " + instance.id + " asked " + sender.id()
						+ " to back off and received " + backoff.receivedRequests);
			}
		}
	}

	private void checkLeaving(LimitSimulationDaemon sender, LimitSimulationInstance instance) {
		final Long receivedAtNanos = instance.leavingReceivedNanos.get(sender.id());
		if (receivedAtNanos != null && this.time.nowNanos() - receivedAtNanos > LEAVING_GRACE_NANOS) {
			this.violations.add(this.time.nowNanos() / MILLI_NANOS + " ms: " + instance.id
					+ " is leaving, which it announced to " + sender.id());
		}
	}

	void onArrival(LimitSimulationDaemon sender, LimitSimulationInstance instance, long sentAtNanos) {
		instance.receivedRequests++;
		countCold(instance, sentAtNanos);
		checkBackoff(sender, instance);
		checkLeaving(sender, instance);
		final Long receivedAtNanos = sender.limitReceivedAtNanos.get(instance.id);
		if (instance.limit.isEmpty() || receivedAtNanos == null
				|| this.time.nowNanos() - receivedAtNanos < REACTION_NANOS) {
			return;
		}
		instance.countedArrivalsNanos.addLast(this.time.nowNanos());
		while (this.time.nowNanos() - instance.countedArrivalsNanos.peekFirst() > WINDOW_NANOS) {
			instance.countedArrivalsNanos.removeFirst();
		}
		final double perWindow = instance.limit.getAsDouble() * WINDOW_NANOS / SECOND_NANOS;
		final double allowed = ALLOWED_RATIO * perWindow + ALLOWED_BURST;
		if (this.time.nowNanos() - instance.limitSetAtNanos >= PROPAGATION_NANOS
				&& instance.countedArrivalsNanos.size() > allowed) {
			this.violations.add(this.time.nowNanos() / MILLI_NANOS + " ms: " + instance.id + " advertised "
					+ instance.limit.getAsDouble() + " requests per second and received "
					+ instance.countedArrivalsNanos.size() + ", allowed " + allowed);
		}
	}

}
