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
 * Daemons before the same targets, some of which name a limit or turn requests away, in
 * virtual time. It notes every moment at which a target that names a limit has got more
 * than half as much again as it takes, from the daemons that it had told, and every
 * request but two that reach a target from a daemon that it had asked for rest, or that
 * reaches one from a daemon that it had told of its leaving.
 */
final class LimitSimulation {

	static final long SECOND_NANOS = VirtualTime.SECOND_NANOS;

	static final long MILLI_NANOS = 1_000_000L;

	/** Until then daemons may not have heard of a limit. */
	private static final long PROPAGATION_NANOS = 3 * SECOND_NANOS;

	private static final long WINDOW_NANOS = 4 * SECOND_NANOS;

	private static final long REACTION_NANOS = SECOND_NANOS / 2;

	private static final double ALLOWED_RATIO = 1.5;

	private static final int ALLOWED_BURST = 5;

	private static final int ALLOWED_DURING_BACKOFF = 2;

	/** What was on its way when a target said that it leaves has arrived by then. */
	private static final long LEAVING_GRACE_NANOS = SECOND_NANOS / 10;

	private static final int SLOTS = 12;

	private static final long TICK_INTERVAL_NANOS = 50 * MILLI_NANOS;

	private static final long HEARTBEAT_INTERVAL_NANOS = 300 * MILLI_NANOS;

	private static final int FAN_OUT = 2;

	private static final int MAX_FRAME_DELAY_MILLIS = 20;

	private static final long LIVENESS_INTERVAL_NANOS = 250 * MILLI_NANOS;

	/** How long a dead daemon counts as live. */
	private static final long FAILURE_DETECTION_NANOS = 2_400 * MILLI_NANOS;

	final List<String> violations = new ArrayList<>();

	/** Whether daemons tell each other of limits. */
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
			final List<AdvertisedLimit> stated = (daemon.running() && this.gossipEnabled) ? daemon.latestLimits()
					: List.of();
			for (int i = 0; i < FAN_OUT && !stated.isEmpty(); i++) {
				final LimitSimulationDaemon peer = this.daemons.get(this.random.nextInt(this.daemons.size()));
				final long delayNanos = MILLI_NANOS + this.random.nextInt(MAX_FRAME_DELAY_MILLIS) * MILLI_NANOS;
				after(delayNanos, () -> peer.receive(stated, delayNanos));
			}
		}
	}

	TargetKind kind() {
		return this.kind;
	}

	List<TargetView> views() {
		return this.instances.stream()
			.filter((engine) -> engine.groupEpoch > 0)
			.map((engine) -> new TargetView(engine.id + '@' + engine.groupEpoch, this.kind, "pool/m", engine.id,
					engine.groupEpoch, "zone", true, SLOTS, 0, 0, 0))
			.toList();
	}

	LimitSimulationInstance instance(int index) {
		return this.instances.get(index);
	}

	LimitSimulationInstance instance(String instanceId) {
		return this.instances.stream().filter((engine) -> engine.id.equals(instanceId)).findFirst().orElseThrow();
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
	 * Lets requests come, evenly over the daemons, as independent callers send them.
	 * @param perSecond how many a second
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

	void after(long nanos, Runnable what) {
		this.time.after(nanos, what);
	}

	void run(double seconds) {
		this.time.run(seconds);
	}

	/**
	 * Makes a target name a limit.
	 * @param index the target
	 * @param requestsPerSecond the limit; empty to end it
	 */
	void setLimit(int index, OptionalDouble requestsPerSecond) {
		final LimitSimulationInstance engine = instance(index);
		engine.limit = requestsPerSecond;
		engine.limitSetAtNanos = this.time.nowNanos();
		engine.countedArrivalsNanos.clear();
		engine.receivedRequests = 0;
		this.daemons.forEach((daemon) -> daemon.limitReceivedAtNanos.remove(engine.id));
	}

	/**
	 * Dissolves a target's group and makes the instance the head of another a second
	 * later.
	 * @param index the target
	 */
	void reformGroup(int index) {
		final long next = instance(index).groupEpoch + 1;
		instance(index).groupEpoch = 0;
		this.daemons.forEach(LimitSimulationDaemon::updateTargets);
		after(SECOND_NANOS, () -> {
			instance(index).groupEpoch = next;
			this.daemons.forEach(LimitSimulationDaemon::updateTargets);
		});
	}

	/**
	 * Makes a target turn requests away.
	 * @param index the target
	 * @param restSeconds for how long it asks daemons for rest; 0 to serve again
	 */
	void setBackoff(int index, double restSeconds) {
		instance(index).backoffNanos = (long) (restSeconds * SECOND_NANOS);
	}

	/**
	 * Turns a request away and asks its daemon for rest.
	 * @param from the daemon
	 * @param engine the target
	 */
	void recordBackoff(LimitSimulationDaemon from, LimitSimulationInstance engine) {
		engine.backoffs.computeIfAbsent(from.id(), (id) -> new ArrayList<>())
			.add(new LimitSimulationInstance.RequestedBackoff(this.time.nowNanos() + REACTION_NANOS,
					this.time.nowNanos() + engine.backoffNanos));
	}

	private void checkBackoff(LimitSimulationDaemon from, LimitSimulationInstance engine) {
		for (final LimitSimulationInstance.RequestedBackoff rest : engine.backoffs.getOrDefault(from.id(), List.of())) {
			final boolean within = this.time.nowNanos() >= rest.fromNanos && this.time.nowNanos() < rest.untilNanos;
			rest.receivedRequests += within ? 1 : 0;
			if (within && rest.receivedRequests > ALLOWED_DURING_BACKOFF) {
				this.violations.add(this.time.nowNanos() / MILLI_NANOS + " ms: " + engine.id + " asked " + from.id()
						+ " for rest and got " + rest.receivedRequests);
			}
		}
	}

	private void checkLeaving(LimitSimulationDaemon from, LimitSimulationInstance engine) {
		final Long toldAtNanos = engine.leavingReceivedNanos.get(from.id());
		if (toldAtNanos != null && this.time.nowNanos() - toldAtNanos > LEAVING_GRACE_NANOS) {
			this.violations
				.add(this.time.nowNanos() / MILLI_NANOS + " ms: " + engine.id + " has left for " + from.id());
		}
	}

	void onArrival(LimitSimulationDaemon from, LimitSimulationInstance engine) {
		engine.receivedRequests++;
		checkBackoff(from, engine);
		checkLeaving(from, engine);
		final Long toldAtNanos = from.limitReceivedAtNanos.get(engine.id);
		if (engine.limit.isEmpty() || toldAtNanos == null || this.time.nowNanos() - toldAtNanos < REACTION_NANOS) {
			return;
		}
		engine.countedArrivalsNanos.addLast(this.time.nowNanos());
		while (this.time.nowNanos() - engine.countedArrivalsNanos.peekFirst() > WINDOW_NANOS) {
			engine.countedArrivalsNanos.removeFirst();
		}
		final double perWindow = engine.limit.getAsDouble() * WINDOW_NANOS / SECOND_NANOS;
		final double allowed = ALLOWED_RATIO * perWindow + ALLOWED_BURST;
		if (this.time.nowNanos() - engine.limitSetAtNanos >= PROPAGATION_NANOS
				&& engine.countedArrivalsNanos.size() > allowed) {
			this.violations
				.add(this.time.nowNanos() / MILLI_NANOS + " ms: " + engine.id + " named " + engine.limit.getAsDouble()
						+ " a second and got " + engine.countedArrivalsNanos.size() + ", allowed " + allowed);
		}
	}

}
