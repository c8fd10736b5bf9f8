package org.pistachioline.core.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

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

	/** Whether daemons exchange limits. */
	boolean gossipEnabled = true;

	final Random random;

	private final TargetKind kind;

	private final List<LimitSimulationInstance> instances = new ArrayList<>();

	private final List<LimitSimulationDaemon> daemons = new ArrayList<>();

	private final VirtualTime time = new VirtualTime();

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
				() -> this.daemons.forEach((daemon) -> daemon.updateLiveDaemons(liveIds())));
	}

	private void gossip() {
		for (final LimitSimulationDaemon daemon : this.daemons) {
			final List<AdvertisedLimit> limits = (daemon.running() && this.gossipEnabled) ? daemon.latestLimits()
					: List.of();
			for (int i = 0; i < FAN_OUT && !limits.isEmpty(); i++) {
				final LimitSimulationDaemon receiver = this.daemons.get(this.random.nextInt(this.daemons.size()));
				final long delayNanos = MILLI_NANOS + this.random.nextInt(MAX_FRAME_DELAY_MILLIS) * MILLI_NANOS;
				after(delayNanos, () -> receiver.receive(limits, delayNanos));
			}
		}
	}

	TargetKind kind() {
		return this.kind;
	}

	List<TargetView> views() {
		return this.instances.stream()
			.filter((instance) -> instance.groupEpoch > 0)
			.map((instance) -> new TargetView(instance.id + '@' + instance.groupEpoch, this.kind, "pool/m", instance.id,
					instance.groupEpoch, "zone", true, SLOTS, 0, 0, 0))
			.toList();
	}

	LimitSimulationInstance instance(int index) {
		return this.instances.get(index);
	}

	LimitSimulationInstance instance(String instanceId) {
		return this.instances.stream().filter((instance) -> instance.id.equals(instanceId)).findFirst().orElseThrow();
	}

	LimitSimulationDaemon daemon(int index) {
		return this.daemons.get(index);
	}

	List<LimitSimulationDaemon> daemons() {
		return this.daemons;
	}

	private Set<String> liveIds() {
		final Set<String> ids = new TreeSet<>();
		this.daemons.stream()
			.filter((daemon) -> daemon.running()
					|| this.time.nowNanos() - daemon.stoppedAtNanos() < FAILURE_DETECTION_NANOS)
			.forEach((daemon) -> ids.add(daemon.id()));
		return ids;
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

	void onArrival(LimitSimulationDaemon sender, LimitSimulationInstance instance) {
		instance.receivedRequests++;
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
