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
 * Many daemons before one store, in virtual time: they ask each other and read the list
 * while daemons die, stand still and lose their ways and the store does what stores do.
 */
final class ListingSimulation {

	static final long MILLI = 1_000_000L;

	static final long MAX_AGE_NANOS = 1_000 * MILLI;

	private static final long TICK_MILLIS = 50;

	/** How long it takes until all daemons have noticed that one is dead. */
	private static final long FAILURE_DETECTION_MILLIS = 5_000;

	/** How long after the store's return entries may be missing. */
	private static final long EXPIRY_GRACE_MILLIS = 2_300;

	/** For how long a daemon reads nothing from a store that came back from a copy. */
	static final long RESTORE_HOLD_MILLIS = 3_800;

	/** By then all daemons have had an answer of the new era. */
	private static final int MAX_RESTORE_NOTICE_MILLIS = 1_600;

	private final Random random;

	private final PriorityQueue<SimulationEvent> events = new PriorityQueue<>();

	private final List<ListingDaemon> daemons = new ArrayList<>();

	private final ListingStore store;

	/**
	 * Instances that a daemon showed older than it had shown them, or after they went.
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

	ListingSimulation(int daemonCount, int instances, long seed) {
		this.random = new Random(seed);
		this.store = new ListingStore(this.random, () -> this.nowMillis, this::schedule);
		for (int i = 0; i < instances; i++) {
			this.store.write(i, 0);
		}
		for (int i = 0; i < daemonCount; i++) {
			this.daemons.add(new ListingDaemon(i, new ListingSynchronizer("daemon-" + i, MAX_AGE_NANOS, 0, seed + i)));
			final int index = i;
			schedule(this.random.nextInt((int) TICK_MILLIS), () -> tick(index));
		}
	}

	private void schedule(long afterMillis, Runnable what) {
		this.events.add(new SimulationEvent(this.nowMillis + afterMillis, this.eventSequence++, what));
	}

	/**
	 * Lets time pass.
	 * @param millis how long
	 */
	void run(long millis) {
		final long until = this.nowMillis + millis;
		while (!this.events.isEmpty() && this.events.peek().atMillis() <= until) {
			final SimulationEvent event = this.events.poll();
			this.nowMillis = event.atMillis();
			event.action().run();
		}
		this.nowMillis = until;
	}

	/**
	 * Has instances change from now on.
	 * @param perSecond how many each second
	 * @param instances among how many
	 */
	void changeInstances(int perSecond, int instances) {
		schedule(this.random.nextInt(2_000 / perSecond + 1), () -> {
			final int number = this.random.nextInt(instances);
			if (this.random.nextInt(5) == 0) {
				this.store.remove(number);
			}
			else {
				this.store.write(number, this.nowMillis);
			}
			changeInstances(perSecond, instances);
		});
	}

	/**
	 * Brings the store back from a copy. Live instances write again with their next
	 * heartbeat; those that have gone are dropped once more when they stay silent.
	 * @param ageMillis how old the copy is
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

	void storeUnavailable(boolean down) {
		this.storeUnavailable = down;
	}

	void storeFailureRatio(double ratio) {
		this.storeFailureRatio = ratio;
	}

	void frameLossRatio(double ratio) {
		this.frameLossRatio = ratio;
	}

	void frameDelayMillis(long millis) {
		this.frameDelayMillis = millis;
	}

	/**
	 * Has the store turn daemons away.
	 * @param ratio how many of all
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
	 * Has the store turn away those daemons that read for others.
	 */
	void refuseReaders() {
		this.refusedDaemons.addAll(readers());
	}

	void refuseOneMore(int index) {
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
				this.random.nextLong());
		daemon.published = null;
		daemon.newestVersions.clear();
	}

	void pause(int index, long millis) {
		this.daemons.get(index).pausedUntilMillis = this.nowMillis + millis;
	}

	void setPartitioned(int index, boolean cut) {
		this.daemons.get(index).partitioned = cut;
	}

	void setAllPartitioned(boolean cut) {
		this.daemons.forEach((daemon) -> daemon.partitioned = cut);
	}

	int takeStoreCalls() {
		final int now = this.storeCalls;
		this.storeCalls = 0;
		return now;
	}

	private void tick(int index) {
		final ListingDaemon daemon = this.daemons.get(index);
		schedule(TICK_MILLIS, () -> tick(index));
		deliver(index, () -> daemon.synchronizer.onTick(this.nowMillis * MILLI, () -> liveIds(index), false,
				expiryUnreliable()));
	}

	private Set<String> liveIds(int self) {
		final Set<String> ids = new TreeSet<>();
		for (final ListingDaemon other : this.daemons) {
			final boolean known = other.alive ? this.nowMillis - other.startedAtMillis > 300
					: this.nowMillis - other.killedAtMillis < FAILURE_DETECTION_MILLIS;
			if (other.index == self || known) {
				ids.add("daemon-" + other.index);
			}
		}
		return ids;
	}

	// What comes to a daemon that stands still is handled when it goes on.
	private void deliver(int index, Supplier<List<ListingAction>> step) {
		final ListingDaemon daemon = this.daemons.get(index);
		if (!daemon.alive) {
			return;
		}
		if (daemon.pausedUntilMillis > this.nowMillis) {
			final int life = daemon.incarnation;
			schedule(daemon.pausedUntilMillis - this.nowMillis, () -> {
				if (daemon.incarnation == life) {
					deliver(index, step);
				}
			});
			return;
		}
		step.get().forEach((action) -> execute(index, action));
	}

	private void execute(int index, ListingAction action) {
		final ListingDaemon daemon = this.daemons.get(index);
		if (action instanceof ListingAction.SendRequest ask) {
			final int other = Integer.parseInt(ask.daemonId().substring("daemon-".length()));
			sendFrame(index, other,
					() -> this.daemons.get(other).synchronizer.onRequest(this.nowMillis * MILLI, ask.request()));
		}
		else if (action instanceof ListingAction.SendResponse answer) {
			final int other = Integer.parseInt(answer.daemonId().substring("daemon-".length()));
			sendFrame(index, other,
					() -> this.daemons.get(other).synchronizer.onResponse(this.nowMillis * MILLI, answer.response()));
		}
		else if (action instanceof ListingAction.Publish publish) {
			recordRegressions(daemon, publish.instances());
			daemon.published = publish.instances();
		}
		else {
			callStore(index, action);
		}
	}

	// The domain of an instance tells when it was written.
	private void recordRegressions(ListingDaemon daemon, List<ServingInstance> next) {
		for (final ServingInstance instance : next) {
			final Long before = daemon.newestVersions.get(instance.id());
			final long epoch = Long.parseLong(instance.fabricDomain().substring("domain-".length()));
			if (before != null && epoch < before) {
				this.regressions.add("daemon " + daemon.index + " at " + this.nowMillis + " ms: " + instance.id()
						+ " as of " + epoch + " after " + before);
			}
			daemon.newestVersions.merge(instance.id(), epoch, Math::max);
		}
		if (daemon.published != null) {
			final Set<String> listed = next.stream().map(ServingInstance::id).collect(Collectors.toSet());
			daemon.published.stream()
				.filter((instance) -> !listed.contains(instance.id()))
				.forEach((instance) -> daemon.newestVersions.merge(instance.id(),
						1 + daemon.newestVersions.get(instance.id()), Math::max));
		}
	}

	private void sendFrame(int from, int to, Supplier<List<ListingAction>> step) {
		if (this.daemons.get(from).partitioned || this.daemons.get(to).partitioned
				|| this.random.nextDouble() < this.frameLossRatio) {
			return;
		}
		final int life = this.daemons.get(to).incarnation;
		schedule(1 + this.random.nextInt((int) this.frameDelayMillis), () -> {
			if (this.daemons.get(to).incarnation == life) {
				deliver(to, step);
			}
		});
	}

	private void callStore(int index, ListingAction action) {
		this.storeCalls++;
		final int life = this.daemons.get(index).incarnation;
		final boolean lost = this.storeUnavailable || this.refusedDaemons.contains(index) || isHoldingReads(index)
				|| this.random.nextDouble() < this.storeFailureRatio;
		final ListingRead read = lost ? ListingRead.FAILED : this.store.read(action);
		schedule(lost ? 20 + this.random.nextInt(780) : 4, () -> {
			if (this.daemons.get(index).incarnation == life) {
				deliver(index, () -> this.daemons.get(index).synchronizer.onRead(this.nowMillis * MILLI, read,
						expiryUnreliable()));
			}
		});
	}

	// A daemon that has started since has nothing to compare the era with.
	private boolean isHoldingReads(int index) {
		final ListingDaemon daemon = this.daemons.get(index);
		return daemon.startedAtMillis < daemon.restoreNoticedAtMillis
				&& this.nowMillis - daemon.restoreNoticedAtMillis < RESTORE_HOLD_MILLIS;
	}

	/**
	 * Returns how late the latest of all daemons is that live and are not cut off.
	 * @return the age of the oldest record that one of them does not know
	 */
	long maxLagMillis() {
		long most = 0;
		for (final ListingDaemon daemon : this.daemons) {
			if (daemon.alive && daemon.pausedUntilMillis <= this.nowMillis) {
				most = Math.max(most, this.store.lagMillis(daemon.synchronizer.nextOffset()));
			}
		}
		return most;
	}

	/**
	 * Returns the daemons whose list is not what the store's was at the offset that they
	 * say they know.
	 * @return their numbers
	 */
	List<Integer> daemonsWithWrongList() {
		final List<Integer> wrong = new ArrayList<>();
		for (final ListingDaemon daemon : this.daemons) {
			if (daemon.alive && daemon.published != null && this.store.isInCurrentEra(daemon.synchronizer.nextOffset())
					&& !new HashSet<>(daemon.published).equals(this.store.listAt(daemon.synchronizer.nextOffset()))) {
				wrong.add(daemon.index);
			}
		}
		return wrong;
	}

	/**
	 * Tells how a daemon's list differs from what it should be.
	 * @param index the daemon
	 * @return the difference, for a failed test
	 */
	String describeDifference(int index) {
		final ListingDaemon daemon = this.daemons.get(index);
		final Set<ServingInstance> right = this.store.listAt(daemon.synchronizer.nextOffset());
		final Set<ServingInstance> more = new HashSet<>(daemon.published);
		more.removeAll(right);
		right.removeAll(new HashSet<>(daemon.published));
		return "daemon " + index + " next " + daemon.synchronizer.nextOffset() + " life " + daemon.incarnation + " of "
				+ this.store.size() + " at " + this.nowMillis + " ms has " + more + " and lacks " + right;
	}

}
