package org.pistachioline.core.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;
import java.util.stream.Stream;

import org.pistachioline.core.traffic.TargetView;
import org.pistachioline.core.world.VirtualTime;

/**
 * Simulates daemons in front of shared targets, in virtual time, with requests that crash
 * every target that runs them.
 * <p>
 * Counts per such request the targets that crashed, and the late arrivals: those at a
 * target more than three seconds after the third crash, from daemons that have been up
 * for as long. Collects the other requests that were quarantined.
 */
final class CrashSimulation {

	static final long SECOND_NANOS = VirtualTime.SECOND_NANOS;

	static final long MILLI_NANOS = 1_000_000L;

	/** Prefix of the fingerprints of requests that crash targets, and of such parts. */
	static final String CRASHING_PREFIX = "killer";

	/** Marks the names of parts. */
	static final String PART_MARK = "-part-";

	/** Time after which all daemons are expected to know of the third crash. */
	private static final long PROPAGATION_NANOS = 3 * SECOND_NANOS;

	private static final int DETECTION_CRASHES = 3;

	/** Requests that only share a part are recognized later than copies of one. */
	private static final int PART_DETECTION_CRASHES = 5;

	private static final int WORKSPACES = 10;

	private static final int SUBJECTS = 300;

	private static final int PART_POSITIONS = 3;

	/** Time for which a crashed target remains in the target list. */
	private static final long DELISTING_DELAY_NANOS = 3_600 * MILLI_NANOS;

	private static final long TICK_INTERVAL_NANOS = 50 * MILLI_NANOS;

	private static final long HEARTBEAT_INTERVAL_NANOS = 300 * MILLI_NANOS;

	private static final int FAN_OUT = 2;

	private static final int MAX_FRAME_DELAY_MILLIS = 20;

	final Random random;

	final Set<String> quarantinedBystanders = new TreeSet<>();

	int bystanders;

	int bystandersServed;

	/** Ratio of the frames between daemons that are lost. */
	double frameLossRatio;

	/** Ratio of the attempts whose connection is reset by a target that keeps running. */
	double resetRatio;

	/** Ids of daemons that are partitioned from all others. */
	final Set<String> partitionedIds = new HashSet<>();

	private final Supplier<QuarantinePolicy> policy;

	private final List<CrashSimulationTarget> targets = new ArrayList<>();

	private final List<CrashSimulationDaemon> daemons = new ArrayList<>();

	private final Map<String, Integer> crashCount = new HashMap<>();

	private final Map<String, Long> detectableSinceNanos = new HashMap<>();

	private final Map<String, Integer> lateArrivals = new HashMap<>();

	private final VirtualTime time = new VirtualTime();

	private int requestsWithCrashingPart;

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

	private void heartbeat(CrashSimulationDaemon sender) {
		if (sender.running()) {
			final List<SuspectedRequest> suspects = sender.gossipSample();
			for (int i = 0; i < FAN_OUT; i++) {
				final CrashSimulationDaemon receiver = this.daemons.get(this.random.nextInt(this.daemons.size()));
				sendFrame(sender, receiver, suspects);
				if (receiver.running() && receiver.isNewIncarnation(sender)) {
					sendFrame(receiver, sender, receiver.core().targetCrashes().knownSuspects());
				}
			}
		}
	}

	void broadcast(CrashSimulationDaemon sender, List<SuspectedRequest> suspects) {
		this.daemons.stream()
			.filter((receiver) -> receiver != sender)
			.forEach((receiver) -> sendFrame(sender, receiver, suspects));
	}

	private void sendFrame(CrashSimulationDaemon sender, CrashSimulationDaemon receiver,
			List<SuspectedRequest> suspects) {
		final boolean lost = this.random.nextDouble() < this.frameLossRatio || this.partitionedIds.contains(sender.id())
				|| this.partitionedIds.contains(receiver.id());
		if (!lost) {
			final long delayNanos = MILLI_NANOS + this.random.nextInt(MAX_FRAME_DELAY_MILLIS) * MILLI_NANOS;
			after(delayNanos, () -> receiver.receive(suspects, delayNanos));
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
	 * Sends harmless requests with distinct fingerprints at random intervals, each
	 * resubmitted once after a failure.
	 * @param perSecond the mean rate in requests per second
	 */
	void sendUniqueRequests(double perSecond) {
		after(nextGapNanos(perSecond), () -> {
			arrive("innocent-" + this.bystanders++, 1);
			sendUniqueRequests(perSecond);
		});
	}

	/**
	 * Sends a harmless request repeatedly at random intervals, as from many callers.
	 * @param fingerprint the request's fingerprint
	 * @param perSecond the mean rate in requests per second
	 */
	void sendPopularRequest(String fingerprint, double perSecond) {
		after(nextGapNanos(perSecond), () -> {
			this.bystanders++;
			arrive(fingerprint, 0);
			sendPopularRequest(fingerprint, perSecond);
		});
	}

	/**
	 * Sends a request that crashes targets repeatedly, to random daemons.
	 * @param name the name of the request
	 * @param perSecond the mean rate in submissions per second
	 * @param copies how many copies are sent at the same moment
	 * @param seconds for how long it is sent
	 */
	void sendCrashingRequest(String name, double perSecond, int copies, double seconds) {
		sendCrashingRequestUntil(CRASHING_PREFIX + name, List.of(), perSecond, copies,
				this.time.nowNanos() + (long) (seconds * SECOND_NANOS));
	}

	/**
	 * Sends a request that crashes targets repeatedly, to random daemons. All parts of
	 * its prompt are shared with harmless requests.
	 * @param name the name of the request
	 * @param perSecond the mean rate in submissions per second
	 * @param seconds for how long it is sent
	 */
	void sendCrashingRequestWithSharedParts(String name, double perSecond, double seconds) {
		sendCrashingRequestUntil(CRASHING_PREFIX + name, randomParts(), perSecond, 1,
				this.time.nowNanos() + (long) (seconds * SECOND_NANOS));
	}

	private void sendCrashingRequestUntil(String fingerprint, List<String> promptParts, double perSecond, int copies,
			long untilNanos) {
		after(nextGapNanos(perSecond), () -> {
			if (this.time.nowNanos() < untilNanos) {
				for (int i = 0; i < copies; i++) {
					arrive(fingerprint, promptParts, 0);
				}
				sendCrashingRequestUntil(fingerprint, promptParts, perSecond, copies, untilNanos);
			}
		});
	}

	/**
	 * Crashes random targets, independently of requests.
	 * @param perSecond the mean rate in crashes per second
	 */
	void crashRandomTargets(double perSecond) {
		after(nextGapNanos(perSecond), () -> {
			this.targets.get(this.random.nextInt(this.targets.size())).crash();
			crashRandomTargets(perSecond);
		});
	}

	/**
	 * Crashes several targets at the same moment.
	 * @param first the index of the first target
	 * @param count the number of targets
	 */
	void crashRack(int first, int count) {
		this.targets.subList(first, first + count).forEach(CrashSimulationTarget::crash);
	}

	/**
	 * Sends harmless requests whose prompts share a part with all others, one with those
	 * of their workspace and one with those about the same subject.
	 * @param perSecond the mean rate in requests per second
	 */
	void sendRequestsWithParts(double perSecond) {
		after(nextGapNanos(perSecond), () -> {
			arrive("innocent-" + this.bystanders++, randomParts(), 1);
			sendRequestsWithParts(perSecond);
		});
	}

	private List<String> randomParts() {
		return List.of("a0", "b" + this.random.nextInt(WORKSPACES), "c" + this.random.nextInt(SUBJECTS));
	}

	/**
	 * Sends requests that differ but have a part in common that crashes targets.
	 * @param name the name of the part
	 * @param position which part of the prompt it is; the others are shared with harmless
	 * requests
	 * @param perSecond the mean rate in requests per second
	 * @param seconds for how long they are sent
	 */
	void sendCrashingPart(String name, int position, double perSecond, double seconds) {
		sendCrashingPartUntil(CRASHING_PREFIX + name, position, perSecond,
				this.time.nowNanos() + (long) (seconds * SECOND_NANOS));
	}

	private void sendCrashingPartUntil(String part, int position, double perSecond, long untilNanos) {
		after(nextGapNanos(perSecond), () -> {
			if (this.time.nowNanos() < untilNanos) {
				final List<String> parts = new ArrayList<>(randomParts());
				parts.set(position % PART_POSITIONS, part);
				arrive("with-" + part + "-" + this.requestsWithCrashingPart++, parts, 1);
				sendCrashingPartUntil(part, position, perSecond, untilNanos);
			}
		});
	}

	/**
	 * Returns what makes a request crash its targets.
	 * @param fingerprint the request's fingerprint
	 * @param promptParts the parts of its prompt
	 * @return the request itself or one of its parts; empty if it is harmless
	 */
	static Optional<String> culprit(String fingerprint, List<String> promptParts) {
		return Stream.concat(Stream.of(fingerprint), promptParts.stream())
			.filter((subject) -> subject.startsWith(CRASHING_PREFIX))
			.findFirst();
	}

	private long nextGapNanos(double perSecond) {
		return (long) (-Math.log(1 - this.random.nextDouble()) / perSecond * SECOND_NANOS);
	}

	/**
	 * Sends a request to a random running daemon.
	 * @param fingerprint the request's fingerprint
	 * @param resubmissions how often its caller resubmits it after a failure
	 */
	void arrive(String fingerprint, int resubmissions) {
		arrive(fingerprint, List.of(), resubmissions);
	}

	/**
	 * Sends a request to a random running daemon.
	 * @param fingerprint the request's fingerprint
	 * @param promptParts the parts of its prompt that it shares with others
	 * @param resubmissions how often its caller resubmits it after a failure
	 */
	void arrive(String fingerprint, List<String> promptParts, int resubmissions) {
		final List<CrashSimulationDaemon> running = this.daemons.stream()
			.filter(CrashSimulationDaemon::running)
			.toList();
		if (!running.isEmpty()) {
			running.get(this.random.nextInt(running.size())).arrive(fingerprint, promptParts, resubmissions);
		}
	}

	void onServed() {
		this.bystandersServed++;
	}

	void onCrash(String culprit) {
		final int count = this.crashCount.merge(culprit, 1, Integer::sum);
		if (count == (culprit.contains(PART_MARK) ? PART_DETECTION_CRASHES : DETECTION_CRASHES)) {
			this.detectableSinceNanos.put(culprit, this.time.nowNanos());
		}
	}

	void onArrival(CrashSimulationDaemon sender, String fingerprint) {
		final Long crashedAtNanos = this.detectableSinceNanos.get(fingerprint);
		if (crashedAtNanos != null && this.time.nowNanos() - crashedAtNanos > PROPAGATION_NANOS
				&& sender.uptimeNanos() > PROPAGATION_NANOS) {
			this.lateArrivals.merge(fingerprint, 1, Integer::sum);
		}
	}

	/**
	 * Returns how many targets crashed while running a request.
	 * @param name the name of the request
	 * @return the number of crashes
	 */
	int crashCount(String name) {
		return this.crashCount.getOrDefault(CRASHING_PREFIX + name, 0);
	}

	/**
	 * Returns how often a request reached a target more than three seconds after the
	 * third crash, or the fifth one under requests with the same part.
	 * @param name the name of the request
	 * @return the number of arrivals
	 */
	int lateArrivals(String name) {
		return this.lateArrivals.getOrDefault(CRASHING_PREFIX + name, 0);
	}

	void after(long nanos, Runnable action) {
		this.time.after(nanos, action);
	}

	void afterDelisting(Runnable action) {
		after(DELISTING_DELAY_NANOS, action);
	}

	void run(double seconds) {
		this.time.run(seconds);
	}

}
