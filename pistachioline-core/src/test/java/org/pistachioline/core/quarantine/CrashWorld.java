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
final class CrashWorld {

	static final long SECOND_NANOS = VirtualTime.SECOND_NANOS;

	static final long MILLI_NANOS = 1_000_000L;

	/** Callers begin the fingerprint of what crashes targets so. */
	static final String KILLER = "killer";

	/** Until then daemons may not have heard of the third death. */
	private static final long SPREAD_NANOS = 3 * SECOND_NANOS;

	private static final int KNOWN_DEATHS = 3;

	/** For how long a dead target is still listed. */
	private static final long LISTED_NANOS = 3_600 * MILLI_NANOS;

	private static final long TICK_NANOS = 50 * MILLI_NANOS;

	private static final long HEARTBEAT_NANOS = 300 * MILLI_NANOS;

	private static final int FAN_OUT = 2;

	private static final int MOST_FRAME_MILLIS = 20;

	final Random random;

	final Set<String> barredInnocents = new TreeSet<>();

	int innocents;

	int innocentsServed;

	/** The share of frames between daemons that is lost. */
	double lostFrames;

	/** The share of attempts that are reset by a target that lives on. */
	double resets;

	/** Daemons that neither hear the others nor are heard. */
	final Set<String> cutOff = new HashSet<>();

	private final Supplier<KillerPolicy> policy;

	private final List<CrashWorldTarget> targets = new ArrayList<>();

	private final List<CrashWorldDaemon> daemons = new ArrayList<>();

	private final Map<String, Integer> deaths = new HashMap<>();

	private final Map<String, Long> thirdDeathNanos = new HashMap<>();

	private final Map<String, Integer> lateArrivals = new HashMap<>();

	private final VirtualTime time = new VirtualTime();

	CrashWorld(long seed, int daemonCount, int targetCount, Supplier<KillerPolicy> policy) {
		this.random = new Random(seed);
		this.policy = policy;
		for (int i = 0; i < targetCount; i++) {
			this.targets.add(new CrashWorldTarget(this, "i-" + i));
		}
		for (int i = 0; i < daemonCount; i++) {
			this.daemons.add(new CrashWorldDaemon(this, "daemon-" + i));
		}
		this.time.every(TICK_NANOS, () -> this.daemons.forEach(CrashWorldDaemon::tick));
		this.time.every(HEARTBEAT_NANOS, () -> this.daemons.forEach(this::heartbeat));
	}

	KillerPolicy policy() {
		return this.policy.get();
	}

	private void heartbeat(CrashWorldDaemon from) {
		if (from.running()) {
			final List<SuspectedRequest> told = from.sample();
			for (int i = 0; i < FAN_OUT; i++) {
				final CrashWorldDaemon to = this.daemons.get(this.random.nextInt(this.daemons.size()));
				frame(from, to, told);
				if (to.running() && to.isNew(from)) {
					frame(to, from, to.core().targetCrashes().knownSuspects());
				}
			}
		}
	}

	void tellAll(CrashWorldDaemon from, List<SuspectedRequest> told) {
		this.daemons.stream().filter((to) -> to != from).forEach((to) -> frame(from, to, told));
	}

	private void frame(CrashWorldDaemon from, CrashWorldDaemon to, List<SuspectedRequest> told) {
		final boolean lost = this.random.nextDouble() < this.lostFrames || this.cutOff.contains(from.id())
				|| this.cutOff.contains(to.id());
		if (!lost) {
			final long delayNanos = MILLI_NANOS + this.random.nextInt(MOST_FRAME_MILLIS) * MILLI_NANOS;
			after(delayNanos, () -> to.hear(told, delayNanos));
		}
	}

	List<TargetView> views() {
		return this.targets.stream().flatMap((target) -> target.views().stream()).toList();
	}

	void list() {
		this.daemons.forEach(CrashWorldDaemon::list);
	}

	CrashWorldTarget target(String targetId) {
		return this.targets.stream().filter((target) -> target.is(targetId)).findFirst().orElse(null);
	}

	CrashWorldDaemon daemon(int index) {
		return this.daemons.get(index);
	}

	List<CrashWorldDaemon> daemons() {
		return this.daemons;
	}

	long nowNanos() {
		return this.time.nowNanos();
	}

	/**
	 * Lets innocent requests come, each of its own, as independent callers send them.
	 * @param perSecond how many a second
	 */
	void traffic(double perSecond) {
		after(gapNanos(perSecond), () -> {
			arrive("innocent-" + this.innocents++, 1);
			traffic(perSecond);
		});
	}

	/**
	 * Lets one innocent request come again and again, from many callers.
	 * @param fingerprint its fingerprint
	 * @param perSecond how many times a second
	 */
	void popular(String fingerprint, double perSecond) {
		after(gapNanos(perSecond), () -> {
			this.innocents++;
			arrive(fingerprint, 0);
			popular(fingerprint, perSecond);
		});
	}

	/**
	 * Lets a request that crashes targets come again and again, to any daemon.
	 * @param name its name
	 * @param perSecond how many times a second
	 * @param copies how many daemons it comes to at the same moment
	 * @param seconds for how long
	 */
	void killer(String name, double perSecond, int copies, double seconds) {
		killerUntil(KILLER + name, perSecond, copies, this.time.nowNanos() + (long) (seconds * SECOND_NANOS));
	}

	private void killerUntil(String fingerprint, double perSecond, int copies, long untilNanos) {
		after(gapNanos(perSecond), () -> {
			if (this.time.nowNanos() < untilNanos) {
				for (int i = 0; i < copies; i++) {
					arrive(fingerprint, 0);
				}
				killerUntil(fingerprint, perSecond, copies, untilNanos);
			}
		});
	}

	/**
	 * Lets targets die for reasons of their own.
	 * @param perSecond how many a second
	 */
	void plainCrashes(double perSecond) {
		after(gapNanos(perSecond), () -> {
			this.targets.get(this.random.nextInt(this.targets.size())).crash();
			plainCrashes(perSecond);
		});
	}

	/**
	 * Lets several targets die in the same moment.
	 * @param first the first of them
	 * @param count how many
	 */
	void rackGoes(int first, int count) {
		this.targets.subList(first, first + count).forEach(CrashWorldTarget::crash);
	}

	private long gapNanos(double perSecond) {
		return (long) (-Math.log(1 - this.random.nextDouble()) / perSecond * SECOND_NANOS);
	}

	/**
	 * Sends a request to a daemon that runs.
	 * @param fingerprint the request's fingerprint
	 * @param repeats how often its caller sends it again after a failure
	 */
	void arrive(String fingerprint, int repeats) {
		final List<CrashWorldDaemon> running = this.daemons.stream().filter(CrashWorldDaemon::running).toList();
		if (!running.isEmpty()) {
			running.get(this.random.nextInt(running.size())).arrive(fingerprint, repeats);
		}
	}

	void onDeath(String fingerprint) {
		final int known = this.deaths.merge(fingerprint, 1, Integer::sum);
		if (known == KNOWN_DEATHS) {
			this.thirdDeathNanos.put(fingerprint, this.time.nowNanos());
		}
	}

	void onArrival(CrashWorldDaemon from, String fingerprint) {
		final Long thirdNanos = this.thirdDeathNanos.get(fingerprint);
		if (thirdNanos != null && this.time.nowNanos() - thirdNanos > SPREAD_NANOS
				&& from.uptimeNanos() > SPREAD_NANOS) {
			this.lateArrivals.merge(fingerprint, 1, Integer::sum);
		}
	}

	/**
	 * Returns how many targets ended under a request that crashes them.
	 * @param name its name
	 * @return the number of targets
	 */
	int deaths(String name) {
		return this.deaths.getOrDefault(KILLER + name, 0);
	}

	/**
	 * Returns how many times a request reached targets later than three seconds after the
	 * third had ended under it.
	 * @param name its name
	 * @return the number of arrivals
	 */
	int lateArrivals(String name) {
		return this.lateArrivals.getOrDefault(KILLER + name, 0);
	}

	void after(long nanos, Runnable what) {
		this.time.after(nanos, what);
	}

	void unlist(Runnable what) {
		after(LISTED_NANOS, what);
	}

	void run(double seconds) {
		this.time.run(seconds);
	}

}
