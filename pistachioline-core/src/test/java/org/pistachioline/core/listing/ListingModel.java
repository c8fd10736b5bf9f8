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
 * A model of a few daemons that read one store and update each other, which performs one
 * step at a time in any order. It keeps the whole history of the store to check the
 * daemons' lists against.
 */
final class ListingModel {

	/**
	 * A position holds the store's era in the bits above these, and the record's index in
	 * the log in these.
	 */
	private static final int ERA_BITS = 40;

	/** The page size; the smallest one exercises paging the most. */
	private static final int MAX_RECORDS_PER_PAGE = 1;

	/** Longer than any removal stays unconfirmed. */
	private static final long PAST_CONFIRMATION_NANOS = 60_000_000_000L;

	private final List<InstanceListing> daemons = new ArrayList<>();

	/** The response in transit to each daemon, if any. */
	private final List<Optional<ListingResponse>> responsesInFlight = new ArrayList<>();

	private final List<ListingPageAssembler> pages = new ArrayList<>();

	private final List<Integer> incarnations = new ArrayList<>();

	/** The log of each era; it starts with the records that the backup retained. */
	private final List<List<InstanceRecord>> logs = new ArrayList<>();

	/** The first position of each era that a daemon's list can have. */
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
		// Offset 0 stands for having no list, so no daemon's list may end there.
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
	 * Writes new content for an instance.
	 * @param key the instance
	 */
	void write(String key) {
		append(key, this.contentCount++, 0);
	}

	/**
	 * Writes a record of an earlier incarnation of an instance, as happens when it stops
	 * late or its clock has been set back.
	 * @param key the instance
	 */
	void writeFromEarlierIncarnation(String key) {
		append(key, this.contentCount++, -1);
	}

	/**
	 * Writes the latest content of an instance again, as its heartbeat does, if it is
	 * listed.
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
	 * Restores the store from a backup, which begins a new era.
	 * @param lostRecords how many of the latest records the backup lacks
	 */
	void restore(int lostRecords) {
		final List<InstanceRecord> restored = new ArrayList<>();
		for (final InstanceRecord each : log().subList(0, Math.max(1, log().size() - lostRecords))) {
			restored.add(copyTo(each, position(this.logs.size(), restored.size())));
		}
		this.logs.add(restored);
		this.firstPositions.add(end());
		this.firstRetainedPosition = position(this.logs.size() - 1, 0);
	}

	private static InstanceRecord copyTo(InstanceRecord original, long position) {
		return (original instanceof InstanceRecord.Listed entry)
				? new InstanceRecord.Listed(entry.key(), position, entry.startedAtMillis(), entry.instance())
				: new InstanceRecord.Tombstone(original.key(), position);
	}

	/**
	 * Makes the store unavailable, or available and settled.
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
	 * Lets a daemon read the records that it lacks, or a snapshot if they are no longer
	 * retained.
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
	 * Lets every daemon read the records that it lacks.
	 */
	void readAll() {
		for (int i = 0; i < this.daemons.size(); i++) {
			read(i);
		}
	}

	/**
	 * Lets a daemon read a snapshot.
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
	 * Sends a request and puts the response in transit. A daemon that lacks pages of a
	 * delta requests the next one from the daemon that sent the earlier ones.
	 * @param requester the daemon that asks
	 * @param responder the daemon that answers
	 */
	void request(int requester, int responder) {
		final InstanceListing listing = this.daemons.get(requester);
		final ListingPageAssembler pages = this.pages.get(requester);
		final int askedDaemon = pages.responderId().map(Integer::parseInt).orElse(responder);
		final ListingRequest request = new ListingRequest(Integer.toString(requester), 0,
				pages.fromOffset(listing.known() ? listing.nextOffset() : 0), pages.continuationOffset());
		final Optional<ListingPage> page = this.daemons.get(askedDaemon)
			.deltaSince(request.fromOffset())
			.map((delta) -> ListingPage.of(delta, request, MAX_RECORDS_PER_PAGE));
		this.responsesInFlight.set(requester, page.map((each) -> new ListingResponse(Integer.toString(askedDaemon), 0,
				0, 0, Optional.of(each.delta()), each.continuationOffset(), this.incarnations.get(askedDaemon))));
	}

	/**
	 * Delivers the response in transit to a daemon.
	 * @param requester the daemon that asked
	 */
	void deliverResponse(int requester) {
		this.responsesInFlight.get(requester)
			.flatMap((response) -> this.pages.get(requester).add(response, response.delta().orElseThrow()))
			.ifPresent((delta) -> this.daemons.get(requester).applyFromPeer(0, 0, delta));
		this.responsesInFlight.set(requester, Optional.empty());
	}

	/**
	 * Discards the response in transit to a daemon and the pages it has received.
	 * @param requester the daemon
	 */
	void abandonRequest(int requester) {
		this.responsesInFlight.set(requester, Optional.empty());
		this.pages.get(requester).clear();
	}

	private void requestAllPages(int requester, int responder) {
		abandonRequest(requester);
		do {
			request(requester, responder);
			deliverResponse(requester);
		}
		while (this.pages.get(requester).continuationOffset() > 0);
	}

	/**
	 * Confirms or resolves all removals and brings all daemons up to date.
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
	 * Returns the daemons whose instances in use differ from the store's list at their
	 * offset.
	 * @return a line for each daemon
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
	 * Returns the violations of the invariants of {@link InstanceListing}: lists that
	 * differ from the store's, and deltas that do not lead from the store's list at one
	 * offset to that at another.
	 * @return a line for each violation
	 */
	List<String> violations() {
		final List<String> violations = new ArrayList<>();
		for (int i = 0; i < this.daemons.size(); i++) {
			final InstanceListing daemon = this.daemons.get(i);
			if (daemon.known()) {
				addViolations(i, daemon, violations);
			}
		}
		return violations;
	}

	private void addViolations(int daemonIndex, InstanceListing daemon, List<String> violations) {
		final ListingDelta whole = daemon.deltaSince(0).orElseThrow();
		final String name = "daemon " + daemonIndex + " at " + format(daemon.nextOffset());
		if (whole.nextOffset() != daemon.nextOffset()
				|| !apply(new HashMap<>(), whole).equals(listAt(daemon.nextOffset()))) {
			violations.add(name + " holds " + whole);
		}
		for (int era = 0; era < this.logs.size(); era++) {
			for (long from = this.firstPositions.get(era); from <= position(era, this.logs.get(era).size()); from++) {
				final ListingDelta delta = daemon.deltaSince(from).orElseThrow();
				if (from <= daemon.nextOffset() && !apply(listAt(from), delta).equals(listAt(delta.nextOffset()))) {
					violations.add(name + " sends from " + format(from) + " " + delta);
				}
			}
		}
	}

	private static Map<String, ServingInstance> apply(Map<String, ServingInstance> list, ListingDelta delta) {
		final Map<String, ServingInstance> next = new HashMap<>((delta.fromOffset() == 0) ? Map.of() : list);
		for (final InstanceRecord each : delta.records()) {
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
