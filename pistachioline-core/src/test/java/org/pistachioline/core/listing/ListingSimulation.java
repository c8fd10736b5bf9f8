package org.pistachioline.core.listing;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import org.pistachioline.core.replica.ServingInstance;

/**
 * Simulates a fleet of daemons with one store in virtual time. The daemons read the list
 * and poll each other while daemons fail, pause or are partitioned, frames are lost, and
 * the store fails, truncates its history or is restored from a backup.
 */
final class ListingSimulation {

	static final long MILLI = 1_000_000L;

	static final long MAX_AGE_NANOS = 1_000 * MILLI;

	private static final long TICK_MILLIS = 50;

	/** The time until all daemons have detected that one failed. */
	private static final long FAILURE_DETECTION_MILLIS = 5_000;

	/**
	 * For this long after the store's return, entries may be missing although their
	 * instances are alive.
	 */
	private static final long EXPIRY_GRACE_MILLIS = 2_300;

	/** For this long after noticing a restore, a daemon reads nothing from the store. */
	static final long RESTORE_HOLD_MILLIS = 3_800;

	/** The time within which every daemon has had an answer from the restored store. */
	private static final int MAX_RESTORE_NOTICE_MILLIS = 1_600;

	private final ListReadPolicy policy;

	private final Random random;

	private final PriorityQueue<SimulationEvent> events = new PriorityQueue<>();

	private final List<ListingDaemon> daemons = new ArrayList<>();

	private final ListingStore store;

	/**
	 * Instances that a daemon published in an older version than before, or again after
	 * their removal.
	 */
	final List<String> regressions = new ArrayList<>();

	private final Set<Integer> refusedDaemons = new HashSet<>();

	private long nowMillis;

	private long eventSequence;

	private int storeCalls;

	private boolean storeUnavailable;

	private double storeFailureRatio;

	private double frameLossRatio;

	private long frameDelayMillis = 2;

	/** The index of the daemon that plans; -1 if none does. */
	int planner = -1;

	ListingSimulation(int daemonCount, int instanceCount, long seed) {
		this(daemonCount, instanceCount, seed, ListReadPolicy.REDUNDANT);
	}

	ListingSimulation(int daemonCount, int instanceCount, long seed, ListReadPolicy policy) {
		this.policy = policy;
		this.random = new Random(seed);
		this.store = new ListingStore(this.random, () -> this.nowMillis, this::schedule);
		for (int i = 0; i < instanceCount; i++) {
			this.store.write(i, 0);
		}
		for (int i = 0; i < daemonCount; i++) {
			this.daemons
				.add(new ListingDaemon(i, new ListingSynchronizer("daemon-" + i, MAX_AGE_NANOS, 0, seed + i, policy)));
			final int index = i;
			schedule(this.random.nextInt((int) TICK_MILLIS), () -> tick(index));
		}
	}

	private void schedule(long afterMillis, Runnable action) {
		this.events.add(new SimulationEvent(this.nowMillis + afterMillis, this.eventSequence++, action));
	}

	/**
	 * Advances the virtual time and runs the events that are due.
	 * @param millis by how much
	 */
	void run(long millis) {
		final long untilMillis = this.nowMillis + millis;
		while (!this.events.isEmpty() && this.events.peek().atMillis() <= untilMillis) {
			final SimulationEvent event = this.events.poll();
			this.nowMillis = event.atMillis();
			event.action().run();
		}
		this.nowMillis = untilMillis;
	}

	/**
	 * Makes instances change from now on.
	 * @param changesPerSecond the average number of changes per second
	 * @param instanceCount the number of instances that may change
	 */
	void changeInstances(int changesPerSecond, int instanceCount) {
		schedule(this.random.nextInt(2_000 / changesPerSecond + 1), () -> {
			final int instanceNumber = this.random.nextInt(instanceCount);
			if (this.random.nextInt(5) == 0) {
				this.store.remove(instanceNumber);
			}
			else {
				this.store.write(instanceNumber, this.nowMillis);
			}
			changeInstances(changesPerSecond, instanceCount);
		});
	}

	/**
	 * Restores the store from a backup. Live instances renew their entries with their
	 * next heartbeat; the entries of those that are gone expire once more.
	 * @param ageMillis the age of the backup
	 */
	void restore(long ageMillis) {
		this.store.restore(ageMillis,
				() -> this.daemons.forEach((daemon) -> daemon.restoreNoticedAtMillis = this.nowMillis
						+ this.random.nextInt(MAX_RESTORE_NOTICE_MILLIS)));
	}

	private boolean expiryUnreliable() {
		return this.storeUnavailable || this.nowMillis - this.store.restoredAtMillis() < EXPIRY_GRACE_MILLIS;
	}

	void truncateHistory() {
		this.store.truncateHistory();
	}

	void setStoreUnavailable(boolean unavailable) {
		this.storeUnavailable = unavailable;
	}

	void setStoreFailureRatio(double ratio) {
		this.storeFailureRatio = ratio;
	}

	void setFrameLossRatio(double ratio) {
		this.frameLossRatio = ratio;
	}

	void setFrameDelayMillis(long millis) {
		this.frameDelayMillis = millis;
	}

	/**
	 * Makes the store refuse the calls of randomly chosen daemons, and no others.
	 * @param ratio the expected share of refused daemons
	 */
	void refuse(double ratio) {
		this.refusedDaemons.clear();
		for (int i = 0; i < this.daemons.size(); i++) {
			if (this.random.nextDouble() < ratio) {
				this.refusedDaemons.add(i);
			}
		}
	}

	/**
	 * Makes the store refuse the calls of the readers, too.
	 */
	void refuseReaders() {
		this.refusedDaemons.addAll(readers());
	}

	void refuseOnly(int index) {
		this.refusedDaemons.clear();
		this.refusedDaemons.add(index);
	}

	List<ServingInstance> published(int index) {
		return this.daemons.get(index).published;
	}

	List<Integer> readers() {
		return this.daemons.stream()
			.filter((daemon) -> daemon.alive && daemon.synchronizer.readsForOthers())
			.map((daemon) -> daemon.index)
			.toList();
	}

	void kill(int index) {
		this.daemons.get(index).alive = false;
		this.daemons.get(index).killedAtMillis = this.nowMillis;
	}

	void restart(int index) {
		final ListingDaemon daemon = this.daemons.get(index);
		daemon.alive = true;
		daemon.incarnation++;
		daemon.startedAtMillis = this.nowMillis;
		daemon.synchronizer = new ListingSynchronizer("daemon-" + index, MAX_AGE_NANOS, this.nowMillis * MILLI,
				this.random.nextLong(), this.policy);
		daemon.published = null;
		daemon.newestVersions.clear();
	}

	void pause(int index, long millis) {
		this.daemons.get(index).pausedUntilMillis = this.nowMillis + millis;
	}

	void setPartitioned(int index, boolean partitioned) {
		this.daemons.get(index).partitioned = partitioned;
	}

	void setAllPartitioned(boolean partitioned) {
		this.daemons.forEach((daemon) -> daemon.partitioned = partitioned);
	}

	int takeStoreCalls() {
		final int taken = this.storeCalls;
		this.storeCalls = 0;
		return taken;
	}

	private void tick(int index) {
		final ListingDaemon daemon = this.daemons.get(index);
		schedule(TICK_MILLIS, () -> tick(index));
		deliver(index, () -> daemon.synchronizer.onTick(this.nowMillis * MILLI, () -> liveIds(index),
				index == this.planner, expiryUnreliable()));
	}

	private Set<String> liveIds(int selfIndex) {
		final Set<String> ids = new TreeSet<>();
		for (final ListingDaemon peer : this.daemons) {
			final boolean knownAsLive = peer.alive ? this.nowMillis - peer.startedAtMillis > 300
					: this.nowMillis - peer.killedAtMillis < FAILURE_DETECTION_MILLIS;
			if (peer.index == selfIndex || knownAsLive) {
				ids.add("daemon-" + peer.index);
			}
		}
		return ids;
	}

	// A paused daemon handles what it has received when it resumes, unless it has been
	// restarted.
	private void deliver(int index, Supplier<List<ListingAction>> handler) {
		final ListingDaemon daemon = this.daemons.get(index);
		if (!daemon.alive) {
			return;
		}
		if (daemon.pausedUntilMillis > this.nowMillis) {
			final int incarnation = daemon.incarnation;
			schedule(daemon.pausedUntilMillis - this.nowMillis, () -> {
				if (daemon.incarnation == incarnation) {
					deliver(index, handler);
				}
			});
			return;
		}
		handler.get().forEach((action) -> execute(index, action));
	}

	private void execute(int index, ListingAction action) {
		final ListingDaemon daemon = this.daemons.get(index);
		if (action instanceof ListingAction.SendRequest sendRequest) {
			final int peer = Integer.parseInt(sendRequest.daemonId().substring("daemon-".length()));
			sendFrame(index, peer,
					() -> this.daemons.get(peer).synchronizer.onRequest(this.nowMillis * MILLI, sendRequest.request()));
		}
		else if (action instanceof ListingAction.SendResponse sendResponse) {
			final int peer = Integer.parseInt(sendResponse.daemonId().substring("daemon-".length()));
			sendFrame(index, peer, () -> this.daemons.get(peer).synchronizer.onResponse(this.nowMillis * MILLI,
					sendResponse.response()));
		}
		else if (action instanceof ListingAction.Publish publish) {
			recordRegressions(daemon, publish.instances());
			daemon.published = publish.instances();
		}
		else {
			callStore(index, action);
		}
	}

	// The fabric domain of a simulated instance holds the version of its entry.
	private void recordRegressions(ListingDaemon daemon, List<ServingInstance> instances) {
		for (final ServingInstance instance : instances) {
			final Long previousVersion = daemon.newestVersions.get(instance.id());
			final long version = Long.parseLong(instance.fabricDomain().substring("domain-".length()));
			if (previousVersion != null && version < previousVersion) {
				this.regressions.add("daemon " + daemon.index + " at " + this.nowMillis + " ms: " + instance.id()
						+ " as of " + version + " after " + previousVersion);
			}
			daemon.newestVersions.merge(instance.id(), version, Math::max);
		}
		if (daemon.published != null) {
			final Set<String> listed = instances.stream().map(ServingInstance::id).collect(Collectors.toSet());
			daemon.published.stream()
				.filter((instance) -> !listed.contains(instance.id()))
				.forEach((instance) -> daemon.newestVersions.merge(instance.id(),
						1 + daemon.newestVersions.get(instance.id()), Math::max));
		}
	}

	private void sendFrame(int fromIndex, int toIndex, Supplier<List<ListingAction>> handler) {
		if (this.daemons.get(fromIndex).partitioned || this.daemons.get(toIndex).partitioned
				|| this.random.nextDouble() < this.frameLossRatio) {
			return;
		}
		final int incarnation = this.daemons.get(toIndex).incarnation;
		schedule(1 + this.random.nextInt((int) this.frameDelayMillis), () -> {
			if (this.daemons.get(toIndex).incarnation == incarnation) {
				deliver(toIndex, handler);
			}
		});
	}

	private void callStore(int index, ListingAction action) {
		this.storeCalls++;
		final int incarnation = this.daemons.get(index).incarnation;
		final boolean failed = this.storeUnavailable || this.refusedDaemons.contains(index) || isHoldingReads(index)
				|| this.random.nextDouble() < this.storeFailureRatio;
		final ListingRead read = failed ? ListingRead.FAILED : this.store.read(action);
		schedule(failed ? 20 + this.random.nextInt(780) : 4, () -> {
			if (this.daemons.get(index).incarnation == incarnation) {
				deliver(index, () -> this.daemons.get(index).synchronizer.onRead(this.nowMillis * MILLI, read,
						expiryUnreliable()));
			}
		});
	}

	// A daemon that started after the restore knows no earlier era, so it does not notice
	// the restore.
	private boolean isHoldingReads(int index) {
		final ListingDaemon daemon = this.daemons.get(index);
		return daemon.startedAtMillis < daemon.restoreNoticedAtMillis
				&& this.nowMillis - daemon.restoreNoticedAtMillis < RESTORE_HOLD_MILLIS;
	}

	/**
	 * Returns the largest lag among the daemons that are alive and not paused.
	 * @return the age of the oldest record that one of them does not know
	 */
	long maxLagMillis() {
		long maxMillis = 0;
		for (final ListingDaemon daemon : this.daemons) {
			if (daemon.alive && daemon.pausedUntilMillis <= this.nowMillis) {
				maxMillis = Math.max(maxMillis, this.store.lagMillis(daemon.synchronizer.nextOffset()));
			}
		}
		return maxMillis;
	}

	/**
	 * Returns the daemons whose published list differs from the store's list at their
	 * offset.
	 * @return their indexes
	 */
	List<Integer> daemonsWithWrongList() {
		final List<Integer> wrongDaemons = new ArrayList<>();
		for (final ListingDaemon daemon : this.daemons) {
			if (daemon.alive && daemon.published != null && this.store.isInCurrentEra(daemon.synchronizer.nextOffset())
					&& !new HashSet<>(daemon.published).equals(this.store.listAt(daemon.synchronizer.nextOffset()))) {
				wrongDaemons.add(daemon.index);
			}
		}
		return wrongDaemons;
	}

	/**
	 * Describes how a daemon's list differs from the store's list at its offset.
	 * @param index the daemon's index
	 * @return the description, for the message of a failed check
	 */
	String describeDifference(int index) {
		final ListingDaemon daemon = this.daemons.get(index);
		final Set<ServingInstance> expected = this.store.listAt(daemon.synchronizer.nextOffset());
		final Set<ServingInstance> unexpected = new HashSet<>(daemon.published);
		unexpected.removeAll(expected);
		expected.removeAll(new HashSet<>(daemon.published));
		return "daemon " + index + " at offset " + daemon.synchronizer.nextOffset() + " incarnation "
				+ daemon.incarnation + " of " + this.store.size() + " at " + this.nowMillis + " ms has " + unexpected
				+ " and lacks " + expected;
	}

}
