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
final class ListingWorld {

	static final long MILLI = 1_000_000L;

	static final long MOST_AGE_NANOS = 1_000 * MILLI;

	private static final long TICK_MILLIS = 50;

	/** How long it takes until all daemons have noticed that one is dead. */
	private static final long GOSSIP_MILLIS = 5_000;

	/** How long after the store's return entries may be missing. */
	private static final long GRACE_MILLIS = 2_300;

	/** For how long a daemon reads nothing from a store that came back from a copy. */
	static final long COPIED_MILLIS = 3_800;

	/** By then all daemons have had an answer of the new era. */
	private static final int MOST_NOTICED_MILLIS = 1_600;

	private final Random random;

	private final PriorityQueue<WorldEvent> events = new PriorityQueue<>();

	private final List<ListingDaemon> daemons = new ArrayList<>();

	private final ListingStore store;

	/**
	 * Instances that a daemon showed older than it had shown them, or after they went.
	 */
	final List<String> stepsBack = new ArrayList<>();

	private final Set<Integer> refused = new HashSet<>();

	private long nowMillis;

	private long eventNumber;

	private int calls;

	private boolean storeDown;

	private double answersLost;

	private double framesLost;

	private long frameDelayMillis = 2;

	ListingWorld(int daemonCount, int instances, long seed) {
		this.random = new Random(seed);
		this.store = new ListingStore(this.random, () -> this.nowMillis, this::at);
		for (int i = 0; i < instances; i++) {
			this.store.write(i, 0);
		}
		for (int i = 0; i < daemonCount; i++) {
			this.daemons.add(new ListingDaemon(i, new ListingNode("daemon-" + i, MOST_AGE_NANOS, 0, seed + i)));
			final int index = i;
			at(this.random.nextInt((int) TICK_MILLIS), () -> tick(index));
		}
	}

	private void at(long afterMillis, Runnable what) {
		this.events.add(new WorldEvent(this.nowMillis + afterMillis, this.eventNumber++, what));
	}

	/**
	 * Lets time pass.
	 * @param millis how long
	 */
	void run(long millis) {
		final long until = this.nowMillis + millis;
		while (!this.events.isEmpty() && this.events.peek().atMillis() <= until) {
			final WorldEvent event = this.events.poll();
			this.nowMillis = event.atMillis();
			event.what().run();
		}
		this.nowMillis = until;
	}

	/**
	 * Has instances change from now on.
	 * @param perSecond how many each second
	 * @param instances among how many
	 */
	void changeInstances(int perSecond, int instances) {
		at(this.random.nextInt(2_000 / perSecond + 1), () -> {
			final int number = this.random.nextInt(instances);
			if (this.random.nextInt(5) == 0) {
				this.store.drop(number);
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
		this.store.restore(ageMillis, () -> this.daemons
			.forEach((daemon) -> daemon.noticedAtMillis = this.nowMillis + this.random.nextInt(MOST_NOTICED_MILLIS)));
	}

	private boolean unsettled() {
		return this.storeDown || this.nowMillis - this.store.restoredAtMillis() < GRACE_MILLIS;
	}

	void forgetHistory() {
		this.store.forgetHistory();
	}

	void storeDown(boolean down) {
		this.storeDown = down;
	}

	void answersLost(double ratio) {
		this.answersLost = ratio;
	}

	void framesLost(double ratio) {
		this.framesLost = ratio;
	}

	void frameDelayMillis(long millis) {
		this.frameDelayMillis = millis;
	}

	/**
	 * Has the store turn daemons away.
	 * @param ratio how many of all
	 */
	void refuse(double ratio) {
		this.refused.clear();
		for (int i = 0; i < this.daemons.size(); i++) {
			if (this.random.nextDouble() < ratio) {
				this.refused.add(i);
			}
		}
	}

	/**
	 * Has the store turn away those daemons that read for others.
	 */
	void refuseReaders() {
		this.refused.addAll(readers());
	}

	void refuseOnly(int index) {
		this.refused.clear();
		this.refused.add(index);
	}

	List<ServingInstance> published(int index) {
		return this.daemons.get(index).published;
	}

	List<Integer> readers() {
		return this.daemons.stream()
			.filter((daemon) -> daemon.alive && daemon.node.readsForOthers())
			.map((daemon) -> daemon.index)
			.toList();
	}

	void kill(int index) {
		this.daemons.get(index).alive = false;
		this.daemons.get(index).diedAtMillis = this.nowMillis;
	}

	void restart(int index) {
		final ListingDaemon daemon = this.daemons.get(index);
		daemon.alive = true;
		daemon.life++;
		daemon.bornAtMillis = this.nowMillis;
		daemon.node = new ListingNode("daemon-" + index, MOST_AGE_NANOS, this.nowMillis * MILLI,
				this.random.nextLong());
		daemon.published = null;
		daemon.newestSeen.clear();
	}

	void pause(int index, long millis) {
		this.daemons.get(index).pausedUntilMillis = this.nowMillis + millis;
	}

	void cutPeers(int index, boolean cut) {
		this.daemons.get(index).cut = cut;
	}

	void cutAllPeers(boolean cut) {
		this.daemons.forEach((daemon) -> daemon.cut = cut);
	}

	int takeCalls() {
		final int now = this.calls;
		this.calls = 0;
		return now;
	}

	private void tick(int index) {
		final ListingDaemon daemon = this.daemons.get(index);
		at(TICK_MILLIS, () -> tick(index));
		deliver(index, () -> daemon.node.onTick(this.nowMillis * MILLI, () -> liveIds(index), false, unsettled()));
	}

	private Set<String> liveIds(int self) {
		final Set<String> ids = new TreeSet<>();
		for (final ListingDaemon other : this.daemons) {
			final boolean known = other.alive ? this.nowMillis - other.bornAtMillis > 300
					: this.nowMillis - other.diedAtMillis < GOSSIP_MILLIS;
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
			final int life = daemon.life;
			at(daemon.pausedUntilMillis - this.nowMillis, () -> {
				if (daemon.life == life) {
					deliver(index, step);
				}
			});
			return;
		}
		step.get().forEach((action) -> carryOut(index, action));
	}

	private void carryOut(int index, ListingAction action) {
		final ListingDaemon daemon = this.daemons.get(index);
		if (action instanceof ListingAction.Ask ask) {
			final int other = Integer.parseInt(ask.daemonId().substring("daemon-".length()));
			frame(index, other, () -> this.daemons.get(other).node.onQuestion(this.nowMillis * MILLI, ask.question()));
		}
		else if (action instanceof ListingAction.Answer answer) {
			final int other = Integer.parseInt(answer.daemonId().substring("daemon-".length()));
			frame(index, other, () -> this.daemons.get(other).node.onAnswer(this.nowMillis * MILLI, answer.answer()));
		}
		else if (action instanceof ListingAction.Publish publish) {
			noteStepsBack(daemon, publish.instances());
			daemon.published = publish.instances();
		}
		else {
			call(index, action);
		}
	}

	// The domain of an instance tells when it was written.
	private void noteStepsBack(ListingDaemon daemon, List<ServingInstance> next) {
		for (final ServingInstance instance : next) {
			final Long before = daemon.newestSeen.get(instance.id());
			final long epoch = Long.parseLong(instance.fabricDomain().substring("domain-".length()));
			if (before != null && epoch < before) {
				this.stepsBack.add("daemon " + daemon.index + " at " + this.nowMillis + " ms: " + instance.id()
						+ " as of " + epoch + " after " + before);
			}
			daemon.newestSeen.merge(instance.id(), epoch, Math::max);
		}
		if (daemon.published != null) {
			final Set<String> listed = next.stream().map(ServingInstance::id).collect(Collectors.toSet());
			daemon.published.stream()
				.filter((instance) -> !listed.contains(instance.id()))
				.forEach((instance) -> daemon.newestSeen.merge(instance.id(), 1 + daemon.newestSeen.get(instance.id()),
						Math::max));
		}
	}

	private void frame(int from, int to, Supplier<List<ListingAction>> step) {
		if (this.daemons.get(from).cut || this.daemons.get(to).cut || this.random.nextDouble() < this.framesLost) {
			return;
		}
		final int life = this.daemons.get(to).life;
		at(1 + this.random.nextInt((int) this.frameDelayMillis), () -> {
			if (this.daemons.get(to).life == life) {
				deliver(to, step);
			}
		});
	}

	private void call(int index, ListingAction action) {
		this.calls++;
		final int life = this.daemons.get(index).life;
		final boolean lost = this.storeDown || this.refused.contains(index) || isHeldBack(index)
				|| this.random.nextDouble() < this.answersLost;
		final ListingRead read = lost ? ListingRead.FAILED : this.store.answer(action);
		at(lost ? 20 + this.random.nextInt(780) : 4, () -> {
			if (this.daemons.get(index).life == life) {
				deliver(index, () -> this.daemons.get(index).node.onRead(this.nowMillis * MILLI, read, unsettled()));
			}
		});
	}

	// A daemon that has started since has nothing to compare the era with.
	private boolean isHeldBack(int index) {
		final ListingDaemon daemon = this.daemons.get(index);
		return daemon.bornAtMillis < daemon.noticedAtMillis && this.nowMillis - daemon.noticedAtMillis < COPIED_MILLIS;
	}

	/**
	 * Returns how late the latest of all daemons is that live and are not cut off.
	 * @return the age of the oldest record that one of them does not know
	 */
	long mostLateMillis() {
		long most = 0;
		for (final ListingDaemon daemon : this.daemons) {
			if (daemon.alive && daemon.pausedUntilMillis <= this.nowMillis) {
				most = Math.max(most, this.store.lateMillis(daemon.node.nextOffset()));
			}
		}
		return most;
	}

	/**
	 * Returns the daemons whose list is not what the store's was at the offset that they
	 * say they know.
	 * @return their numbers
	 */
	List<Integer> wrong() {
		final List<Integer> wrong = new ArrayList<>();
		for (final ListingDaemon daemon : this.daemons) {
			if (daemon.alive && daemon.published != null && this.store.isOfThisEra(daemon.node.nextOffset())
					&& !new HashSet<>(daemon.published).equals(this.store.listAt(daemon.node.nextOffset()))) {
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
	String difference(int index) {
		final ListingDaemon daemon = this.daemons.get(index);
		final Set<ServingInstance> right = this.store.listAt(daemon.node.nextOffset());
		final Set<ServingInstance> more = new HashSet<>(daemon.published);
		more.removeAll(right);
		right.removeAll(new HashSet<>(daemon.published));
		return "daemon " + index + " next " + daemon.node.nextOffset() + " life " + daemon.life + " of "
				+ this.store.size() + " at " + this.nowMillis + " ms has " + more + " and lacks " + right;
	}

}
