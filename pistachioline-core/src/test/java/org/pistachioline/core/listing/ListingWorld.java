package org.pistachioline.core.listing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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

	/** The store's era stands before a record's index in the log. */
	private static final int ERA_BITS = 40;

	private static final long INDEX_MASK = (1L << ERA_BITS) - 1;

	/** By then a live instance has written again. */
	private static final int HEARTBEAT_MILLIS = 1_200;

	/** By then the store drops an instance that has not. */
	private static final long SILENCE_MILLIS = 3 * HEARTBEAT_MILLIS;

	/** How long after the store's return entries may be missing. */
	private static final long GRACE_MILLIS = 2_300;

	/** For how long a daemon reads nothing from a store that came back from a copy. */
	private static final long COPIED_MILLIS = 3_800;

	/** By then all daemons have had an answer of the new era. */
	private static final int MOST_NOTICED_MILLIS = 1_600;

	private final Random random;

	private final PriorityQueue<WorldEvent> events = new PriorityQueue<>();

	private final List<Daemon> daemons = new ArrayList<>();

	private final List<InstanceRecord> log = new ArrayList<>();

	private final List<Long> writtenAtMillis = new ArrayList<>();

	private final Map<String, InstanceRecord.Listed> newest = new HashMap<>();

	/** What live instances wrote last, whatever the store has kept of it. */
	private final Map<String, InstanceRecord.Listed> live = new HashMap<>();

	/**
	 * Instances that a daemon showed older than it had shown them, or after they went.
	 */
	final List<String> stepsBack = new ArrayList<>();

	private final Set<Integer> refused = new HashSet<>();

	private long nowMillis;

	private long eventNumber;

	private int calls;

	private long firstKept;

	private boolean storeDown;

	private long era;

	/** The position of the first record that was written in this era. */
	private long firstWritten;

	private long restoredAtMillis = -SILENCE_MILLIS;

	private double answersLost;

	private double framesLost;

	private long frameDelayMillis = 2;

	ListingWorld(int daemonCount, int instances, long seed) {
		this.random = new Random(seed);
		for (int i = 0; i < instances; i++) {
			write(i, 0);
		}
		for (int i = 0; i < daemonCount; i++) {
			this.daemons.add(new Daemon(i, new ListingNode("daemon-" + i, MOST_AGE_NANOS, 0, seed + i)));
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
				drop(number);
			}
			else {
				write(number, this.nowMillis);
			}
			changeInstances(perSecond, instances);
		});
	}

	private void write(int number, long epoch) {
		final String key = "i-" + number;
		final ServingInstance instance = new ServingInstance(key, "pool", "10.0.0.1:" + (1 + number), "zone-a",
				"domain-" + epoch, false, 4, Set.of(), Optional.empty());
		final InstanceRecord.Listed entry = new InstanceRecord.Listed(key, nextPosition(), 0, instance);
		append(entry);
		this.newest.put(key, entry);
		this.live.put(key, entry);
		// Heartbeats are left out but where they matter.
		if (this.nowMillis - this.restoredAtMillis < SILENCE_MILLIS) {
			at(HEARTBEAT_MILLIS, () -> writeAgain(entry, 3));
		}
	}

	private long nextPosition() {
		return position(this.log.size());
	}

	private long position(long index) {
		return (this.era << ERA_BITS) | index;
	}

	private static long index(long position) {
		return position & INDEX_MASK;
	}

	private boolean isOfThisEra(long position) {
		return position >>> ERA_BITS == this.era;
	}

	/**
	 * Brings the store back from a copy. Live instances write again with their next
	 * heartbeat; those that have gone are dropped once more when they stay silent.
	 * @param ageMillis how old the copy is
	 */
	void restore(long ageMillis) {
		int kept = 0;
		while (kept < this.log.size() && this.writtenAtMillis.get(kept) <= this.nowMillis - ageMillis) {
			kept++;
		}
		this.log.subList(kept, this.log.size()).clear();
		this.writtenAtMillis.subList(kept, this.writtenAtMillis.size()).clear();
		this.era++;
		this.daemons
			.forEach((daemon) -> daemon.noticedAtMillis = this.nowMillis + this.random.nextInt(MOST_NOTICED_MILLIS));
		this.restoredAtMillis = this.nowMillis;
		this.firstWritten = position(kept);
		this.newest.clear();
		for (int i = 0; i < kept; i++) {
			this.log.set(i, copied(this.log.get(i), position(i)));
		}
		this.live.values().forEach((entry) -> at(this.random.nextInt(HEARTBEAT_MILLIS), () -> writeAgain(entry, 3)));
		this.newest.keySet()
			.stream()
			.filter((key) -> !this.live.containsKey(key))
			.forEach((key) -> at(SILENCE_MILLIS, () -> dropSilent(key)));
	}

	private InstanceRecord copied(InstanceRecord origin, long position) {
		if (origin instanceof InstanceRecord.Listed entry) {
			final InstanceRecord.Listed copy = new InstanceRecord.Listed(entry.key(), position, entry.bornMillis(),
					entry.instance());
			this.newest.put(copy.key(), copy);
			return copy;
		}
		this.newest.remove(origin.key());
		return new InstanceRecord.Dropped(origin.key(), position);
	}

	// As a heartbeat does, which comes again and again while its instance lives
	// unchanged.
	private void writeAgain(InstanceRecord.Listed entry, int times) {
		if (this.live.get(entry.key()) != entry) {
			return;
		}
		final InstanceRecord.Listed again = new InstanceRecord.Listed(entry.key(), nextPosition(), entry.bornMillis(),
				entry.instance());
		append(again);
		this.newest.put(again.key(), again);
		if (times > 1) {
			at(HEARTBEAT_MILLIS, () -> writeAgain(entry, times - 1));
		}
	}

	private void dropSilent(String key) {
		final InstanceRecord.Listed now = this.newest.get(key);
		if (now != null && now.offset() < this.firstWritten) {
			this.newest.remove(key);
			append(new InstanceRecord.Dropped(key, nextPosition()));
		}
	}

	private boolean unsettled() {
		return this.storeDown || this.nowMillis - this.restoredAtMillis < GRACE_MILLIS;
	}

	private void drop(int number) {
		final String key = "i-" + number;
		if (this.live.remove(key) != null) {
			this.newest.remove(key);
			append(new InstanceRecord.Dropped(key, nextPosition()));
		}
	}

	private void append(InstanceRecord found) {
		this.log.add(found);
		this.writtenAtMillis.add(this.nowMillis);
	}

	void forgetHistory() {
		this.firstKept = this.log.size();
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
		final Daemon daemon = this.daemons.get(index);
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
		final Daemon daemon = this.daemons.get(index);
		at(TICK_MILLIS, () -> tick(index));
		deliver(index, () -> daemon.node.onTick(this.nowMillis * MILLI, () -> liveIds(index), false, unsettled()));
	}

	private Set<String> liveIds(int self) {
		final Set<String> ids = new TreeSet<>();
		for (final Daemon other : this.daemons) {
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
		final Daemon daemon = this.daemons.get(index);
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
		final Daemon daemon = this.daemons.get(index);
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
	private void noteStepsBack(Daemon daemon, List<ServingInstance> next) {
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
		final ListingRead read = lost ? ListingRead.FAILED : answer(action);
		at(lost ? 20 + this.random.nextInt(780) : 4, () -> {
			if (this.daemons.get(index).life == life) {
				deliver(index, () -> this.daemons.get(index).node.onRead(this.nowMillis * MILLI, read, unsettled()));
			}
		});
	}

	// A daemon that has started since has nothing to compare the era with.
	private boolean isHeldBack(int index) {
		final Daemon daemon = this.daemons.get(index);
		return daemon.bornAtMillis < daemon.noticedAtMillis && this.nowMillis - daemon.noticedAtMillis < COPIED_MILLIS;
	}

	private ListingRead answer(ListingAction action) {
		final long end = nextPosition();
		if (action instanceof ListingAction.ReadChanges changes) {
			final boolean gone = !isOfThisEra(changes.fromOffset()) || index(changes.fromOffset()) < this.firstKept;
			return gone ? ListingRead.HISTORY_GONE : ListingRead.changes(new ListingChange(changes.fromOffset(), end,
					this.log.subList((int) index(changes.fromOffset()), this.log.size())));
		}
		final ListingChange whole = new ListingChange(end, end, List.copyOf(this.newest.values()));
		return ListingRead.whole(whole);
	}

	/**
	 * Returns how late the latest of all daemons is that live and are not cut off.
	 * @return the age of the oldest record that one of them does not know
	 */
	long mostLateMillis() {
		long most = 0;
		for (final Daemon daemon : this.daemons) {
			if (daemon.alive && daemon.pausedUntilMillis <= this.nowMillis) {
				final long nextOffset = daemon.node.nextOffset();
				final int next = (int) index(nextOffset);
				if (!isOfThisEra(nextOffset)) {
					most = Math.max(most, this.nowMillis - this.restoredAtMillis);
				}
				else if (next < this.log.size()) {
					most = Math.max(most, this.nowMillis - this.writtenAtMillis.get(next));
				}
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
		for (final Daemon daemon : this.daemons) {
			if (daemon.alive && daemon.published != null && isOfThisEra(daemon.node.nextOffset())
					&& !new HashSet<>(daemon.published).equals(listAt(daemon.node.nextOffset()))) {
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
		final Daemon daemon = this.daemons.get(index);
		final Set<ServingInstance> right = listAt(daemon.node.nextOffset());
		final Set<ServingInstance> more = new HashSet<>(daemon.published);
		more.removeAll(right);
		right.removeAll(new HashSet<>(daemon.published));
		return "daemon " + index + " next " + daemon.node.nextOffset() + " life " + daemon.life + " of "
				+ this.log.size() + " at " + this.nowMillis + " ms has " + more + " and lacks " + right;
	}

	private Set<ServingInstance> listAt(long offset) {
		final Map<String, ServingInstance> list = new HashMap<>();
		for (final InstanceRecord each : this.log.subList(0, (int) index(offset))) {
			if (each instanceof InstanceRecord.Listed entry) {
				list.put(each.key(), entry.instance());
			}
			else {
				list.remove(each.key());
			}
		}
		return new HashSet<>(list.values());
	}

	private static final class Daemon {

		private final int index;

		private ListingNode node;

		private boolean alive = true;

		private boolean cut;

		private int life;

		private long bornAtMillis = -10_000;

		private long diedAtMillis;

		private long noticedAtMillis = -COPIED_MILLIS;

		private long pausedUntilMillis;

		private List<ServingInstance> published;

		private final Map<String, Long> newestSeen = new HashMap<>();

		Daemon(int index, ListingNode node) {
			this.index = index;
			this.node = node;
		}

	}

}
