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
	private static final int MAX_RECORDS_PER_PAGE = 1;

	/** Past every doubt. */
	private static final long PAST_CONFIRMATION_NANOS = 60_000_000_000L;

	private final List<InstanceListing> daemons = new ArrayList<>();

	/** The answer that is on its way to each daemon; empty where there is none. */
	private final List<Optional<ListingResponse>> responsesInFlight = new ArrayList<>();

	private final List<ListingPageAssembler> pages = new ArrayList<>();

	private final List<Integer> incarnations = new ArrayList<>();

	/** The log of each era, with what a copy left out of it. */
	private final List<List<InstanceRecord>> logs = new ArrayList<>();

	/** The first position of each era that anybody can stand at. */
	private final List<Long> firstPositions = new ArrayList<>();

	private long firstRetainedPosition;

	private int contentCount;

	private boolean expiryUnreliable;

	ListingModel(int daemonCount) {
		for (int i = 0; i < daemonCount; i++) {
			this.daemons.add(new InstanceListing());
			this.responsesInFlight.add(Optional.empty());
			this.pages.add(new ListingPageAssembler());
			this.incarnations.add(0);
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
		append(key, this.contentCount++, 0);
	}

	/**
	 * Has a former life of an instance write once more, as it stops or as its clock has
	 * been set.
	 * @param key the instance
	 */
	void writeFromEarlierIncarnation(String key) {
		append(key, this.contentCount++, -1);
	}

	/**
	 * Has an instance write again what it said last, if it is listed.
	 * @param key the instance
	 */
	void renew(String key) {
		log().stream()
			.filter((each) -> each.key().equals(key))
			.reduce((earlier, later) -> later)
			.filter((last) -> last instanceof InstanceRecord.Listed)
			.ifPresent((last) -> log().add(copyTo(last, end())));
	}

	private void append(String key, int content, long bornMillis) {
		log().add(new InstanceRecord.Listed(key, end(), bornMillis, new ServingInstance(key, "pool", "10.0.0.1:80",
				"zone-a", "domain-" + content, false, 4, Set.of(), Optional.empty())));
	}

	void remove(String key) {
		if (listAt(end()).containsKey(key)) {
			log().add(new InstanceRecord.Tombstone(key, end()));
		}
	}

	void truncateHistory() {
		this.firstRetainedPosition = end();
	}

	/**
	 * Brings the store back from a copy.
	 * @param lost how many of the newest records the copy lacks
	 */
	void restore(int lost) {
		final List<InstanceRecord> copy = new ArrayList<>();
		for (final InstanceRecord each : log().subList(0, Math.max(1, log().size() - lost))) {
			copy.add(copyTo(each, position(this.logs.size(), copy.size())));
		}
		this.logs.add(copy);
		this.firstPositions.add(end());
		this.firstRetainedPosition = position(this.logs.size() - 1, 0);
	}

	private static InstanceRecord copyTo(InstanceRecord origin, long position) {
		return (origin instanceof InstanceRecord.Listed entry)
				? new InstanceRecord.Listed(entry.key(), position, entry.startedAtMillis(), entry.instance())
				: new InstanceRecord.Tombstone(origin.key(), position);
	}

	/**
	 * Has the store go away and come back, or settle again.
	 */
	void toggleExpiryUnreliable() {
		this.expiryUnreliable = !this.expiryUnreliable;
		this.daemons.forEach((daemon) -> daemon.resolveExpired(0, this.expiryUnreliable));
	}

	void restart(int daemon) {
		this.daemons.set(daemon, new InstanceListing());
		this.incarnations.set(daemon, this.incarnations.get(daemon) + 1);
		this.responsesInFlight.set(daemon, Optional.empty());
		this.pages.get(daemon).clear();
	}

	/**
	 * Has a daemon read what it lacks, or all where that is not kept any more.
	 * @param daemon the daemon
	 */
	void read(int daemon) {
		final InstanceListing listing = this.daemons.get(daemon);
		final long from = listing.nextOffset();
		if (!listing.known() || from < this.firstRetainedPosition) {
			readSnapshot(daemon);
			return;
		}
		listing.applyRead(0, 0, new ListingDelta(from, end(), log().subList(index(from), log().size())),
				this.expiryUnreliable);
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
	void readSnapshot(int daemon) {
		final Map<String, InstanceRecord> newest = new HashMap<>();
		log().forEach((each) -> newest.put(each.key(), each));
		newest.values().removeIf((each) -> each instanceof InstanceRecord.Tombstone);
		this.daemons.get(daemon)
			.applySnapshot(0, 0, new ListingDelta(end(), end(), List.copyOf(newest.values())), this.expiryUnreliable);
	}

	/**
	 * Has a daemon ask another one, whose answer is on its way then. One that was told in
	 * part asks the same one for the rest.
	 * @param asker the daemon that asks
	 * @param teller the daemon that answers
	 */
	void request(int asker, int teller) {
		final InstanceListing listing = this.daemons.get(asker);
		final ListingPageAssembler told = this.pages.get(asker);
		final int asked = told.responderId().map(Integer::parseInt).orElse(teller);
		final ListingRequest question = new ListingRequest(Integer.toString(asker), 0,
				told.fromOffset(listing.known() ? listing.nextOffset() : 0), told.continuationOffset());
		final Optional<ListingPage> portion = this.daemons.get(asked)
			.deltaSince(question.fromOffset())
			.map((change) -> ListingPage.of(change, question, MAX_RECORDS_PER_PAGE));
		this.responsesInFlight.set(asker, portion.map((each) -> new ListingResponse(Integer.toString(asked), 0, 0, 0,
				Optional.of(each.delta()), each.continuationOffset(), this.incarnations.get(asked))));
	}

	/**
	 * Has the answer to a daemon's question arrive.
	 * @param asker the daemon that asked
	 */
	void deliverResponse(int asker) {
		this.responsesInFlight.get(asker)
			.flatMap((answer) -> this.pages.get(asker).add(answer, answer.delta().orElseThrow()))
			.ifPresent((change) -> this.daemons.get(asker).applyFromPeer(0, 0, change));
		this.responsesInFlight.set(asker, Optional.empty());
	}

	/**
	 * Has a daemon give up what it was told in part.
	 * @param asker the daemon
	 */
	void abandonRequest(int asker) {
		this.responsesInFlight.set(asker, Optional.empty());
		this.pages.get(asker).clear();
	}

	private void requestAllPages(int asker, int teller) {
		abandonRequest(asker);
		do {
			request(asker, teller);
			deliverResponse(asker);
		}
		while (this.pages.get(asker).continuationOffset() > 0);
	}

	/**
	 * Lets all doubts end and all daemons hear of everything.
	 */
	void converge() {
		this.expiryUnreliable = false;
		for (int i = 0; i < this.daemons.size(); i++) {
			read(i);
			for (int other = 0; other < this.daemons.size(); other++) {
				requestAllPages(i, other);
			}
		}
		this.daemons.forEach((daemon) -> daemon.resolveExpired(PAST_CONFIRMATION_NANOS, false));
		for (int i = 0; i < this.daemons.size(); i++) {
			requestAllPages(i, 0);
		}
	}

	/**
	 * Returns the daemons that use another list than the store's at the offset that they
	 * say they know.
	 * @return their numbers, and what they use
	 */
	List<String> daemonsWithWrongList() {
		final List<String> wrong = new ArrayList<>();
		for (int i = 0; i < this.daemons.size(); i++) {
			final InstanceListing daemon = this.daemons.get(i);
			if (daemon.known()
					&& !new HashSet<>(daemon.instances()).equals(new HashSet<>(listAt(daemon.nextOffset()).values()))) {
				wrong.add("daemon " + i + " at " + format(daemon.nextOffset()) + " uses " + daemon.instances());
			}
		}
		return wrong;
	}

	/**
	 * Returns what daemons hold or would tell that is not the store's.
	 * @return a line for each breach
	 */
	List<String> violations() {
		final List<String> breaches = new ArrayList<>();
		for (int i = 0; i < this.daemons.size(); i++) {
			final InstanceListing daemon = this.daemons.get(i);
			if (daemon.known()) {
				addViolations(i, daemon, breaches);
			}
		}
		return breaches;
	}

	private void addViolations(int number, InstanceListing daemon, List<String> breaches) {
		final ListingDelta whole = daemon.deltaSince(0).orElseThrow();
		final String name = "daemon " + number + " at " + format(daemon.nextOffset());
		if (whole.nextOffset() != daemon.nextOffset()
				|| !apply(new HashMap<>(), whole).equals(listAt(daemon.nextOffset()))) {
			breaches.add(name + " holds " + whole);
		}
		for (int era = 0; era < this.logs.size(); era++) {
			for (long from = this.firstPositions.get(era); from <= position(era, this.logs.get(era).size()); from++) {
				final ListingDelta told = daemon.deltaSince(from).orElseThrow();
				if (from <= daemon.nextOffset() && !apply(listAt(from), told).equals(listAt(told.nextOffset()))) {
					breaches.add(name + " tells from " + format(from) + " " + told);
				}
			}
		}
	}

	private static Map<String, ServingInstance> apply(Map<String, ServingInstance> list, ListingDelta change) {
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

	private static String format(long position) {
		return era(position) + ":" + index(position);
	}

}
