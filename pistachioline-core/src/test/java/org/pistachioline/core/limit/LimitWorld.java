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
final class LimitWorld {

	static final long SECOND_NANOS = VirtualTime.SECOND_NANOS;

	static final long MILLI_NANOS = 1_000_000L;

	/** Until then daemons may not have heard of a limit. */
	private static final long SPREAD_NANOS = 3 * SECOND_NANOS;

	private static final long WINDOW_NANOS = 4 * SECOND_NANOS;

	private static final long TOLD_NANOS = SECOND_NANOS / 2;

	private static final double ALLOWED_RATIO = 1.5;

	private static final int ALLOWED_BURST = 5;

	private static final int ALLOWED_IN_REST = 2;

	/** What was on its way when a target said that it leaves has arrived by then. */
	private static final long LEAVING_NANOS = SECOND_NANOS / 10;

	private static final int SLOTS = 12;

	private static final long TICK_NANOS = 50 * MILLI_NANOS;

	private static final long HEARTBEAT_NANOS = 300 * MILLI_NANOS;

	private static final int FAN_OUT = 2;

	private static final int MOST_FRAME_MILLIS = 20;

	private static final long LIVE_NANOS = 250 * MILLI_NANOS;

	/** How long a dead daemon counts as live. */
	private static final long LOST_NANOS = 2_400 * MILLI_NANOS;

	final List<String> violations = new ArrayList<>();

	/** Whether daemons tell each other of limits. */
	boolean peersTell = true;

	final Random random;

	private final TargetKind kind;

	private final List<LimitedEngine> engines = new ArrayList<>();

	private final List<LimitWorldDaemon> daemons = new ArrayList<>();

	private final VirtualTime time = new VirtualTime();

	LimitWorld(long seed, int daemonCount, int targetCount, TargetKind kind) {
		this.random = new Random(seed);
		this.kind = kind;
		for (int i = 0; i < targetCount; i++) {
			this.engines.add(new LimitedEngine("i-" + i));
		}
		for (int i = 0; i < daemonCount; i++) {
			this.daemons.add(new LimitWorldDaemon(this, "daemon-" + i));
		}
		this.time.every(TICK_NANOS, () -> this.daemons.forEach(LimitWorldDaemon::tick));
		this.time.every(HEARTBEAT_NANOS, this::tell);
		this.time.every(LIVE_NANOS, () -> this.daemons.forEach((daemon) -> daemon.live(liveIds())));
	}

	private void tell() {
		for (final LimitWorldDaemon daemon : this.daemons) {
			final List<StatedLimit> stated = (daemon.running() && this.peersTell) ? daemon.stated() : List.of();
			for (int i = 0; i < FAN_OUT && !stated.isEmpty(); i++) {
				final LimitWorldDaemon peer = this.daemons.get(this.random.nextInt(this.daemons.size()));
				final long delayNanos = MILLI_NANOS + this.random.nextInt(MOST_FRAME_MILLIS) * MILLI_NANOS;
				after(delayNanos, () -> peer.hear(stated, delayNanos));
			}
		}
	}

	TargetKind kind() {
		return this.kind;
	}

	List<TargetView> views() {
		return this.engines.stream()
			.filter((engine) -> engine.epoch > 0)
			.map((engine) -> new TargetView(engine.id + '@' + engine.epoch, this.kind, "pool/m", engine.id,
					engine.epoch, "zone", true, SLOTS, 0, 0, 0))
			.toList();
	}

	LimitedEngine engine(int index) {
		return this.engines.get(index);
	}

	LimitedEngine engine(String instanceId) {
		return this.engines.stream().filter((engine) -> engine.id.equals(instanceId)).findFirst().orElseThrow();
	}

	LimitWorldDaemon daemon(int index) {
		return this.daemons.get(index);
	}

	List<LimitWorldDaemon> daemons() {
		return this.daemons;
	}

	private Set<String> liveIds() {
		final Set<String> ids = new TreeSet<>();
		this.daemons.stream()
			.filter((daemon) -> daemon.running() || this.time.nowNanos() - daemon.stoppedAtNanos() < LOST_NANOS)
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
	void traffic(double perSecond) {
		final double gapSeconds = -Math.log(1 - this.random.nextDouble()) / perSecond;
		after((long) (gapSeconds * SECOND_NANOS), () -> {
			final LimitWorldDaemon daemon = this.daemons.get(this.random.nextInt(this.daemons.size()));
			if (daemon.running()) {
				daemon.arrive();
			}
			traffic(perSecond);
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
	void limit(int index, OptionalDouble requestsPerSecond) {
		final LimitedEngine engine = engine(index);
		engine.limit = requestsPerSecond;
		engine.namedAtNanos = this.time.nowNanos();
		engine.arrivals.clear();
		engine.got = 0;
		this.daemons.forEach((daemon) -> daemon.toldAtNanos.remove(engine.id));
	}

	/**
	 * Dissolves a target's group and makes the instance the head of another a second
	 * later.
	 * @param index the target
	 */
	void formAnew(int index) {
		final long next = engine(index).epoch + 1;
		engine(index).epoch = 0;
		this.daemons.forEach(LimitWorldDaemon::list);
		after(SECOND_NANOS, () -> {
			engine(index).epoch = next;
			this.daemons.forEach(LimitWorldDaemon::list);
		});
	}

	/**
	 * Makes a target turn requests away.
	 * @param index the target
	 * @param restSeconds for how long it asks daemons for rest; 0 to serve again
	 */
	void turnAway(int index, double restSeconds) {
		engine(index).restNanos = (long) (restSeconds * SECOND_NANOS);
	}

	/**
	 * Turns a request away and asks its daemon for rest.
	 * @param from the daemon
	 * @param engine the target
	 */
	void askForRest(LimitWorldDaemon from, LimitedEngine engine) {
		engine.rests.computeIfAbsent(from.id(), (id) -> new ArrayList<>())
			.add(new LimitedEngine.AskedRest(this.time.nowNanos() + TOLD_NANOS,
					this.time.nowNanos() + engine.restNanos));
	}

	private void noteInRest(LimitWorldDaemon from, LimitedEngine engine) {
		for (final LimitedEngine.AskedRest rest : engine.rests.getOrDefault(from.id(), List.of())) {
			final boolean within = this.time.nowNanos() >= rest.fromNanos && this.time.nowNanos() < rest.untilNanos;
			rest.got += within ? 1 : 0;
			if (within && rest.got > ALLOWED_IN_REST) {
				this.violations.add(this.time.nowNanos() / MILLI_NANOS + " ms: " + engine.id + " asked " + from.id()
						+ " for rest and got " + rest.got);
			}
		}
	}

	private void noteLeft(LimitWorldDaemon from, LimitedEngine engine) {
		final Long toldAtNanos = engine.leavingToldNanos.get(from.id());
		if (toldAtNanos != null && this.time.nowNanos() - toldAtNanos > LEAVING_NANOS) {
			this.violations
				.add(this.time.nowNanos() / MILLI_NANOS + " ms: " + engine.id + " has left for " + from.id());
		}
	}

	void onArrival(LimitWorldDaemon from, LimitedEngine engine) {
		engine.got++;
		noteInRest(from, engine);
		noteLeft(from, engine);
		final Long toldAtNanos = from.toldAtNanos.get(engine.id);
		if (engine.limit.isEmpty() || toldAtNanos == null || this.time.nowNanos() - toldAtNanos < TOLD_NANOS) {
			return;
		}
		engine.arrivals.addLast(this.time.nowNanos());
		while (this.time.nowNanos() - engine.arrivals.peekFirst() > WINDOW_NANOS) {
			engine.arrivals.removeFirst();
		}
		final double perWindow = engine.limit.getAsDouble() * WINDOW_NANOS / SECOND_NANOS;
		final double allowed = ALLOWED_RATIO * perWindow + ALLOWED_BURST;
		if (this.time.nowNanos() - engine.namedAtNanos >= SPREAD_NANOS && engine.arrivals.size() > allowed) {
			this.violations
				.add(this.time.nowNanos() / MILLI_NANOS + " ms: " + engine.id + " named " + engine.limit.getAsDouble()
						+ " a second and got " + engine.arrivals.size() + ", allowed " + allowed);
		}
	}

}
