package org.pistachioline.core.listing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.pistachioline.core.replica.ServingInstance;

/**
 * A few lists of instances that read one store and tell each other, a step at a time and
 * in any order, with all that the store's history ever showed.
 */
final class ListingModel {

	/** The store's era stands before a record's index in the log. */
	private static final int ERA_BITS = 40;

	/** How many records one answer holds. */
	private static final int MOST_TOLD = 1;

	/** Past every doubt. */
	private static final long LATER_NANOS = 60_000_000_000L;

	private final List<InstanceListing> daemons = new ArrayList<>();

	/** The answer that is on its way to each daemon; empty where there is none. */
	private final List<Optional<ListingAnswer>> onTheWay = new ArrayList<>();

	private final List<ListingPortions> portions = new ArrayList<>();

	private final List<Integer> lives = new ArrayList<>();

	/** The log of each era, with what a copy left out of it. */
	private final List<List<InstanceRecord>> logs = new ArrayList<>();

	/** The first position of each era that anybody can stand at. */
	private final List<Long> firstPositions = new ArrayList<>();

	private long firstKept;

	private int contents;

	private boolean unsettled;

	ListingModel(int daemonCount) {
		for (int i = 0; i < daemonCount; i++) {
			this.daemons.add(new InstanceListing());
			this.onTheWay.add(Optional.empty());
			this.portions.add(new ListingPortions());
			this.lives.add(0);
		}
		this.logs.add(new ArrayList<>());
		// What stands at the first offset could not be told from knowing nothing.
		write("first");
		this.firstPositions.add(end());
	}

	private List<InstanceRecord> log() {
		return this.logs.get(this.logs.size() - 1);
	}

	private long end() {
		return position(this.logs.size() - 1, log().size());
	}

	private static long position(long era, long index) {
		return (era << ERA_BITS) | index;
	}

	private static int era(long position) {
		return (int) (position >>> ERA_BITS);
	}

	private static int index(long position) {
		return (int) (position & ((1L << ERA_BITS) - 1));
	}

	/**
	 * Has an instance write what it did not say before.
	 * @param key the instance
	 */
	void write(String key) {
		append(key, this.contents++, 0);
	}

	/**
	 * Has a former life of an instance write once more, as it stops or as its clock has
	 * been set.
	 * @param key the instance
	 */
	void writeOfFormerLife(String key) {
		append(key, this.contents++, -1);
	}

	/**
	 * Has an instance write again what it said last, if it is listed.
	 * @param key the instance
	 */
	void writeAgain(String key) {
		log().stream()
			.filter((each) -> each.key().equals(key))
			.reduce((earlier, later) -> later)
			.filter((last) -> last instanceof InstanceRecord.Listed)
			.ifPresent((last) -> log().add(copied(last, end())));
	}

	private void append(String key, int content, long bornMillis) {
		log().add(new InstanceRecord.Listed(key, end(), bornMillis, new ServingInstance(key, "pool", "10.0.0.1:80",
				"zone-a", "domain-" + content, false, 4, Set.of(), Optional.empty())));
	}

	void drop(String key) {
		if (listAt(end()).containsKey(key)) {
			log().add(new InstanceRecord.Dropped(key, end()));
		}
	}

	void forgetHistory() {
		this.firstKept = end();
	}

	/**
	 * Brings the store back from a copy.
	 * @param lost how many of the newest records the copy lacks
	 */
	void restore(int lost) {
		final List<InstanceRecord> copy = new ArrayList<>();
		for (final InstanceRecord each : log().subList(0, Math.max(1, log().size() - lost))) {
			copy.add(copied(each, position(this.logs.size(), copy.size())));
		}
		this.logs.add(copy);
		this.firstPositions.add(end());
		this.firstKept = position(this.logs.size() - 1, 0);
	}

	private static InstanceRecord copied(InstanceRecord origin, long position) {
		return (origin instanceof InstanceRecord.Listed entry)
				? new InstanceRecord.Listed(entry.key(), position, entry.bornMillis(), entry.instance())
				: new InstanceRecord.Dropped(origin.key(), position);
	}

	/**
	 * Has the store go away and come back, or settle again.
	 */
	void changeSettled() {
		this.unsettled = !this.unsettled;
		this.daemons.forEach((daemon) -> daemon.settle(0, this.unsettled));
	}

	void restart(int daemon) {
		this.daemons.set(daemon, new InstanceListing());
		this.lives.set(daemon, this.lives.get(daemon) + 1);
		this.onTheWay.set(daemon, Optional.empty());
		this.portions.get(daemon).clear();
	}

	/**
	 * Has a daemon read what it lacks, or all where that is not kept any more.
	 * @param daemon the daemon
	 */
	void read(int daemon) {
		final InstanceListing listing = this.daemons.get(daemon);
		final long from = listing.nextOffset();
		if (!listing.known() || from < this.firstKept) {
			look(daemon);
			return;
		}
		listing.takeRead(0, 0, new ListingChange(from, end(), log().subList(index(from), log().size())),
				this.unsettled);
	}

	/**
	 * Has each daemon read what it lacks.
	 */
	void readAll() {
		for (int i = 0; i < this.daemons.size(); i++) {
			read(i);
		}
	}

	/**
	 * Has a daemon look at the whole list.
	 * @param daemon the daemon
	 */
	void look(int daemon) {
		final Map<String, InstanceRecord> newest = new HashMap<>();
		log().forEach((each) -> newest.put(each.key(), each));
		newest.values().removeIf((each) -> each instanceof InstanceRecord.Dropped);
		this.daemons.get(daemon)
			.takeWhole(0, 0, new ListingChange(end(), end(), List.copyOf(newest.values())), this.unsettled);
	}

	/**
	 * Has a daemon ask another one, whose answer is on its way then. One that was told in
	 * part asks the same one for the rest.
	 * @param asker the daemon that asks
	 * @param teller the daemon that answers
	 */
	void ask(int asker, int teller) {
		final InstanceListing listing = this.daemons.get(asker);
		final ListingPortions told = this.portions.get(asker);
		final int asked = told.tellerId().map(Integer::parseInt).orElse(teller);
		final ListingQuestion question = new ListingQuestion(Integer.toString(asker), 0,
				told.fromOffset(listing.known() ? listing.nextOffset() : 0), told.restOffset());
		final Optional<ListingPortion> portion = this.daemons.get(asked)
			.since(question.fromOffset())
			.map((change) -> ListingPortion.of(change, question, MOST_TOLD));
		this.onTheWay.set(asker, portion.map((each) -> new ListingAnswer(Integer.toString(asked), 0, 0, 0,
				Optional.of(each.change()), each.restOffset(), this.lives.get(asked))));
	}

	/**
	 * Has the answer to a daemon's question arrive.
	 * @param asker the daemon that asked
	 */
	void hear(int asker) {
		this.onTheWay.get(asker)
			.flatMap((answer) -> this.portions.get(asker).join(answer, answer.change().orElseThrow()))
			.ifPresent((change) -> this.daemons.get(asker).takeTold(0, 0, change));
		this.onTheWay.set(asker, Optional.empty());
	}

	/**
	 * Has a daemon give up what it was told in part.
	 * @param asker the daemon
	 */
	void giveUp(int asker) {
		this.onTheWay.set(asker, Optional.empty());
		this.portions.get(asker).clear();
	}

	private void askForAll(int asker, int teller) {
		giveUp(asker);
		do {
			ask(asker, teller);
			hear(asker);
		}
		while (this.portions.get(asker).restOffset() > 0);
	}

	/**
	 * Lets all doubts end and all daemons hear of everything.
	 */
	void calm() {
		this.unsettled = false;
		for (int i = 0; i < this.daemons.size(); i++) {
			read(i);
			for (int other = 0; other < this.daemons.size(); other++) {
				askForAll(i, other);
			}
		}
		this.daemons.forEach((daemon) -> daemon.settle(LATER_NANOS, false));
		for (int i = 0; i < this.daemons.size(); i++) {
			askForAll(i, 0);
		}
	}

	/**
	 * Returns the daemons that use another list than the store's at the offset that they
	 * say they know.
	 * @return their numbers, and what they use
	 */
	List<String> wrong() {
		final List<String> wrong = new ArrayList<>();
		for (int i = 0; i < this.daemons.size(); i++) {
			final InstanceListing daemon = this.daemons.get(i);
			if (daemon.known()
					&& !new HashSet<>(daemon.instances()).equals(new HashSet<>(listAt(daemon.nextOffset()).values()))) {
				wrong.add("daemon " + i + " at " + shown(daemon.nextOffset()) + " uses " + daemon.instances());
			}
		}
		return wrong;
	}

	/**
	 * Returns what daemons hold or would tell that is not the store's.
	 * @return a line for each breach
	 */
	List<String> breaches() {
		final List<String> breaches = new ArrayList<>();
		for (int i = 0; i < this.daemons.size(); i++) {
			final InstanceListing daemon = this.daemons.get(i);
			if (daemon.known()) {
				addBreaches(i, daemon, breaches);
			}
		}
		return breaches;
	}

	private void addBreaches(int number, InstanceListing daemon, List<String> breaches) {
		final ListingChange whole = daemon.since(0).orElseThrow();
		final String name = "daemon " + number + " at " + shown(daemon.nextOffset());
		if (whole.nextOffset() != daemon.nextOffset()
				|| !applied(new HashMap<>(), whole).equals(listAt(daemon.nextOffset()))) {
			breaches.add(name + " holds " + whole);
		}
		for (int era = 0; era < this.logs.size(); era++) {
			for (long from = this.firstPositions.get(era); from <= position(era, this.logs.get(era).size()); from++) {
				final ListingChange told = daemon.since(from).orElseThrow();
				if (from <= daemon.nextOffset() && !applied(listAt(from), told).equals(listAt(told.nextOffset()))) {
					breaches.add(name + " tells from " + shown(from) + " " + told);
				}
			}
		}
	}

	private static Map<String, ServingInstance> applied(Map<String, ServingInstance> list, ListingChange change) {
		final Map<String, ServingInstance> next = new HashMap<>((change.fromOffset() == 0) ? Map.of() : list);
		for (final InstanceRecord each : change.records()) {
			if (each instanceof InstanceRecord.Listed entry) {
				next.put(entry.key(), entry.instance());
			}
			else {
				next.remove(each.key());
			}
		}
		return next;
	}

	private Map<String, ServingInstance> listAt(long position) {
		final Map<String, ServingInstance> list = new HashMap<>();
		for (final InstanceRecord each : this.logs.get(era(position)).subList(0, index(position))) {
			if (each instanceof InstanceRecord.Listed entry) {
				list.put(each.key(), entry.instance());
			}
			else {
				list.remove(each.key());
			}
		}
		return list;
	}

	private static String shown(long position) {
		return era(position) + ":" + index(position);
	}

}
