package org.pistachioline.core.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;

import org.pistachioline.core.traffic.TargetView;
import org.pistachioline.core.world.VirtualTime;

/**
 * Daemons before the same targets in virtual time, and requests that crash each target
 * that runs them. It notes how many targets end under each, how many times it reaches one
 * later than three seconds after the third has ended, from daemons that have run for as
 * long, and which others are barred.
 */
final class CrashSimulation {

	static final long SECOND_NANOS = VirtualTime.SECOND_NANOS;

	static final long MILLI_NANOS = 1_000_000L;

	/** Callers begin the fingerprint of what crashes targets so. */
	static final String CRASHING_PREFIX = "killer";

	/** Until then daemons may not have heard of the third death. */
	private static final long PROPAGATION_NANOS = 3 * SECOND_NANOS;

	private static final int DETECTION_CRASHES = 3;

	/** For how long a dead target is still listed. */
	private static final long DELISTING_DELAY_NANOS = 3_600 * MILLI_NANOS;

	private static final long TICK_INTERVAL_NANOS = 50 * MILLI_NANOS;

	private static final long HEARTBEAT_INTERVAL_NANOS = 300 * MILLI_NANOS;

	private static final int FAN_OUT = 2;

	private static final int MAX_FRAME_DELAY_MILLIS = 20;

	final Random random;

	final Set<String> quarantinedBystanders = new TreeSet<>();

	int bystanders;

	int bystandersServed;

	/** The share of frames between daemons that is lost. */
	double frameLossRatio;

	/** The share of attempts that are reset by a target that lives on. */
	double resetRatio;

	/** Daemons that neither hear the others nor are heard. */
	final Set<String> partitionedIds = new HashSet<>();

	private final Supplier<QuarantinePolicy> policy;

	private final List<CrashSimulationTarget> targets = new ArrayList<>();

	private final List<CrashSimulationDaemon> daemons = new ArrayList<>();

	private final Map<String, Integer> crashCount = new HashMap<>();

	private final Map<String, Long> thirdCrashNanos = new HashMap<>();

	private final Map<String, Integer> lateArrivals = new HashMap<>();

	private final VirtualTime time = new VirtualTime();

	CrashSimulation(long seed, int daemonCount, int targetCount, Supplier<QuarantinePolicy> policy) {
		this.random = new Random(seed);
		this.policy = policy;
		for (int i = 0; i < targetCount; i++) {
			this.targets.add(new CrashSimulationTarget(this, "i-" + i));
		}
		for (int i = 0; i < daemonCount; i++) {
			this.daemons.add(new CrashSimulationDaemon(this, "daemon-" + i));
		}
		this.time.every(TICK_INTERVAL_NANOS, () -> this.daemons.forEach(CrashSimulationDaemon::tick));
		this.time.every(HEARTBEAT_INTERVAL_NANOS, () -> this.daemons.forEach(this::heartbeat));
	}

	QuarantinePolicy policy() {
		return this.policy.get();
	}

	private void heartbeat(CrashSimulationDaemon from) {
		if (from.running()) {
			final List<SuspectedRequest> told = from.gossipSample();
			for (int i = 0; i < FAN_OUT; i++) {
				final CrashSimulationDaemon to = this.daemons.get(this.random.nextInt(this.daemons.size()));
				sendFrame(from, to, told);
				if (to.running() && to.isNewIncarnation(from)) {
					sendFrame(to, from, to.core().targetCrashes().knownSuspects());
				}
			}
		}
	}

	void broadcast(CrashSimulationDaemon from, List<SuspectedRequest> told) {
		this.daemons.stream().filter((to) -> to != from).forEach((to) -> sendFrame(from, to, told));
	}

	private void sendFrame(CrashSimulationDaemon from, CrashSimulationDaemon to, List<SuspectedRequest> told) {
		final boolean lost = this.random.nextDouble() < this.frameLossRatio || this.partitionedIds.contains(from.id())
				|| this.partitionedIds.contains(to.id());
		if (!lost) {
			final long delayNanos = MILLI_NANOS + this.random.nextInt(MAX_FRAME_DELAY_MILLIS) * MILLI_NANOS;
			after(delayNanos, () -> to.receive(told, delayNanos));
		}
	}

	List<TargetView> views() {
		return this.targets.stream().flatMap((target) -> target.views().stream()).toList();
	}

	void updateTargets() {
		this.daemons.forEach(CrashSimulationDaemon::updateTargets);
	}

	CrashSimulationTarget target(String targetId) {
		return this.targets.stream().filter((target) -> target.hasId(targetId)).findFirst().orElse(null);
	}

	CrashSimulationDaemon daemon(int index) {
		return this.daemons.get(index);
	}

	List<CrashSimulationDaemon> daemons() {
		return this.daemons;
	}

	long nowNanos() {
		return this.time.nowNanos();
	}

	/**
	 * Lets innocent requests come, each of its own, as independent callers send them.
	 * @param perSecond how many a second
	 */
	void sendUniqueRequests(double perSecond) {
		after(nextGapNanos(perSecond), () -> {
			arrive("innocent-" + this.bystanders++, 1);
			sendUniqueRequests(perSecond);
		});
	}

	/**
	 * Lets one innocent request come again and again, from many callers.
	 * @param fingerprint its fingerprint
	 * @param perSecond how many times a second
	 */
	void sendPopularRequest(String fingerprint, double perSecond) {
		after(nextGapNanos(perSecond), () -> {
			this.bystanders++;
			arrive(fingerprint, 0);
			sendPopularRequest(fingerprint, perSecond);
		});
	}

	/**
	 * Lets a request that crashes targets come again and again, to any daemon.
	 * @param name its name
	 * @param perSecond how many times a second
	 * @param copies how many daemons it comes to at the same moment
	 * @param seconds for how long
	 */
	void sendCrashingRequest(String name, double perSecond, int copies, double seconds) {
		sendCrashingRequestUntil(CRASHING_PREFIX + name, perSecond, copies,
				this.time.nowNanos() + (long) (seconds * SECOND_NANOS));
	}

	private void sendCrashingRequestUntil(String fingerprint, double perSecond, int copies, long untilNanos) {
		after(nextGapNanos(perSecond), () -> {
			if (this.time.nowNanos() < untilNanos) {
				for (int i = 0; i < copies; i++) {
					arrive(fingerprint, 0);
				}
				sendCrashingRequestUntil(fingerprint, perSecond, copies, untilNanos);
			}
		});
	}

	/**
	 * Lets targets die for reasons of their own.
	 * @param perSecond how many a second
	 */
	void crashRandomTargets(double perSecond) {
		after(nextGapNanos(perSecond), () -> {
			this.targets.get(this.random.nextInt(this.targets.size())).crash();
			crashRandomTargets(perSecond);
		});
	}

	/**
	 * Lets several targets die in the same moment.
	 * @param first the first of them
	 * @param count how many
	 */
	void crashRack(int first, int count) {
		this.targets.subList(first, first + count).forEach(CrashSimulationTarget::crash);
	}

	private long nextGapNanos(double perSecond) {
		return (long) (-Math.log(1 - this.random.nextDouble()) / perSecond * SECOND_NANOS);
	}

	/**
	 * Sends a request to a daemon that runs.
	 * @param fingerprint the request's fingerprint
	 * @param repeats how often its caller sends it again after a failure
	 */
	void arrive(String fingerprint, int repeats) {
		final List<CrashSimulationDaemon> running = this.daemons.stream()
			.filter(CrashSimulationDaemon::running)
			.toList();
		if (!running.isEmpty()) {
			running.get(this.random.nextInt(running.size())).arrive(fingerprint, repeats);
		}
	}

	void onCrash(String fingerprint) {
		final int known = this.crashCount.merge(fingerprint, 1, Integer::sum);
		if (known == DETECTION_CRASHES) {
			this.thirdCrashNanos.put(fingerprint, this.time.nowNanos());
		}
	}

	void onArrival(CrashSimulationDaemon from, String fingerprint) {
		final Long thirdNanos = this.thirdCrashNanos.get(fingerprint);
		if (thirdNanos != null && this.time.nowNanos() - thirdNanos > PROPAGATION_NANOS
				&& from.uptimeNanos() > PROPAGATION_NANOS) {
			this.lateArrivals.merge(fingerprint, 1, Integer::sum);
		}
	}

	/**
	 * Returns how many targets ended under a request that crashes them.
	 * @param name its name
	 * @return the number of targets
	 */
	int crashCount(String name) {
		return this.crashCount.getOrDefault(CRASHING_PREFIX + name, 0);
	}

	/**
	 * Returns how many times a request reached targets later than three seconds after the
	 * third had ended under it.
	 * @param name its name
	 * @return the number of arrivals
	 */
	int lateArrivals(String name) {
		return this.lateArrivals.getOrDefault(CRASHING_PREFIX + name, 0);
	}

	void after(long nanos, Runnable what) {
		this.time.after(nanos, what);
	}

	void afterDelisting(Runnable what) {
		after(DELISTING_DELAY_NANOS, what);
	}

	void run(double seconds) {
		this.time.run(seconds);
	}

}
