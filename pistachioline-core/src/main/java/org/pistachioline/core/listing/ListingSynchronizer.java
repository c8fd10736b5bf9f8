package org.pistachioline.core.listing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Follows the platform's list of instances on one daemon of many, without input, output
 * or a clock.
 * <p>
 * Made for hundreds of daemons before hundreds of instances that write a heartbeat each
 * second. If each daemon reads all of it, calls of the platform and the processor time of
 * each daemon grow with the fleet. So two daemons read, and the others ask one that knows
 * ({@link DistributionTree}). A question is kept until there is something to tell, so a
 * change is told on at once, and calm costs two questions a second.
 * <p>
 * Whoever is asked may be dead, cut off from the platform or late. So each answer says
 * how old its word is. A daemon that does not answer, or knows nothing fresh, is left out
 * of the asker's order for some seconds, in which the next one takes its place: where
 * both readers are gone, the next two read within a second or two, long before all have
 * noticed a death. Meanwhile a daemon whose list gets old asks others, drawn by chance,
 * and reads for itself, though rarely enough that all of them together make a hundred
 * reads a second at most.
 */
public final class ListingSynchronizer {

	private static final long NANOS_PER_MILLI = 1_000_000;

	/** The age of a list of which nothing is known. */
	public static final long UNKNOWN_AGE_NANOS = Long.MAX_VALUE;

	/** A change is known half this time later on average, and told on at once. */
	private static final long READ_INTERVAL_NANOS = 250 * NANOS_PER_MILLI;

	/** The planner acts on what it reads: a group that broke serves again sooner. */
	private static final long PLANNER_READ_INTERVAL_NANOS = 200 * NANOS_PER_MILLI;

	/** A refused or unanswered read is made again after this time, and up to twice it. */
	private static final long MIN_RETRY_NANOS = 200 * NANOS_PER_MILLI;

	/** How often a daemon reads that should be told, at least. */
	private static final long MIN_FALLBACK_READ_INTERVAL_NANOS = 400 * NANOS_PER_MILLI;

	/** Each daemon's part of the time between two reads of daemons that are not told. */
	private static final long FALLBACK_READ_NANOS_PER_DAEMON = 20 * NANOS_PER_MILLI;

	/** How long a question is kept while there is nothing to tell. */
	private static final long LONG_POLL_NANOS = 300 * NANOS_PER_MILLI;

	/**
	 * The time from an answer to the next question bounds what a storm of changes costs.
	 */
	private static final long POLL_PAUSE_NANOS = 100 * NANOS_PER_MILLI;

	/** An answer that is not there by then is not waited for. */
	private static final long RESPONSE_TIMEOUT_NANOS = LONG_POLL_NANOS + 300 * NANOS_PER_MILLI;

	/** How long a daemon that did not answer, or knew nothing fresh, is left out. */
	private static final long EXCLUSION_NANOS = 5_000 * NANOS_PER_MILLI;

	/** Who lives is looked at this often; the order costs a sort of all names. */
	private static final long TREE_REFRESH_NANOS = 500 * NANOS_PER_MILLI;

	/**
	 * How many records one answer holds; at some 150 bytes each, and as many drops again,
	 * it fits into a frame.
	 */
	static final int MAX_RECORDS_PER_PAGE = 1_000;

	/** Daemons that may ask this one at once; more are not kept, and ask elsewhere. */
	private static final int MAX_PENDING_REQUESTS = 64;

	private final String selfId;

	private final long maxAgeNanos;

	private final UniformRandomProvider random;

	private final InstanceListing listing = new InstanceListing();

	private final Map<String, PendingRequest> pendingRequests = new LinkedHashMap<>();

	private final List<ListingAction> actions = new ArrayList<>();

	private DistributionTree tree;

	private long treeBuiltAtNanos;

	private boolean readInProgress;

	private long readStartedAtNanos;

	private long nextReadAtNanos;

	private boolean snapshotNeeded = true;

	private final long incarnationId;

	private long lastCorrelationId;

	private OutstandingRequest outstanding;

	private final ListingPageAssembler pages = new ListingPageAssembler();

	private long nextRequestAtNanos;

	private final Map<String, Long> excludedSinceNanos = new HashMap<>();

	private Collection<String> liveIds = List.of();

	/**
	 * Creates a node that knows nothing.
	 * @param selfId this daemon's name
	 * @param mostAgeNanos how old the list may become before this daemon reads for itself
	 * @param nowNanos the monotonic time
	 * @param seed what makes this daemon's draws differ from the others'
	 */
	public ListingSynchronizer(String selfId, long mostAgeNanos, long nowNanos, long seed) {
		this.selfId = selfId;
		this.maxAgeNanos = mostAgeNanos;
		this.random = RandomSource.SPLIT_MIX_64.create(seed);
		this.tree = DistributionTree.of(selfId, List.of());
		this.treeBuiltAtNanos = nowNanos - TREE_REFRESH_NANOS;
		this.nextReadAtNanos = nowNanos;
		this.nextRequestAtNanos = nowNanos;
		// A late answer to this daemon's former life must match none of its questions.
		this.incarnationId = this.random.nextLong() >>> 1;
		this.lastCorrelationId = this.incarnationId;
	}

	/**
	 * Lets time pass.
	 * @param nowNanos the monotonic time
	 * @param live returns the live daemons that are not leaving; asked twice a second
	 * @param plans whether this daemon plans
	 * @param unsettled whether entries may have lapsed though their instances live
	 * @return what must be done next
	 */
	public List<ListingAction> onTick(long nowNanos, Supplier<? extends Collection<String>> live, boolean plans,
			boolean unsettled) {
		if (nowNanos - this.treeBuiltAtNanos >= TREE_REFRESH_NANOS) {
			this.treeBuiltAtNanos = nowNanos;
			this.liveIds = live.get();
			rebuildTree(nowNanos);
		}
		this.listing.resolveExpired(nowNanos, unsettled);
		readWhenDue(nowNanos, plans);
		sendRequestWhenDue(nowNanos);
		return takeActions(nowNanos);
	}

	private void rebuildTree(long nowNanos) {
		this.excludedSinceNanos.values().removeIf((sinceNanos) -> nowNanos - sinceNanos > EXCLUSION_NANOS);
		this.tree = DistributionTree.of(this.selfId,
				this.liveIds.stream().filter((id) -> !this.excludedSinceNanos.containsKey(id)).toList());
	}

	private void readWhenDue(long nowNanos, boolean plans) {
		final boolean due = nowNanos - this.nextReadAtNanos >= 0;
		if (this.readInProgress || !due
				|| !(plans || this.tree.isReader() || this.snapshotNeeded || isStale(nowNanos))) {
			return;
		}
		this.readInProgress = true;
		this.readStartedAtNanos = nowNanos;
		this.nextReadAtNanos = nowNanos + readIntervalNanos(plans);
		this.actions.add(this.snapshotNeeded ? new ListingAction.ReadSnapshot()
				: new ListingAction.ReadDelta(this.listing.nextOffset()));
	}

	private long readIntervalNanos(boolean plans) {
		if (plans) {
			return PLANNER_READ_INTERVAL_NANOS;
		}
		return this.tree.isReader() ? READ_INTERVAL_NANOS : jitter(fallbackReadIntervalNanos());
	}

	private long fallbackReadIntervalNanos() {
		return Math.max(MIN_FALLBACK_READ_INTERVAL_NANOS, this.liveIds.size() * FALLBACK_READ_NANOS_PER_DAEMON);
	}

	// Spread, so that daemons that lost their source together do not read together.
	private long jitter(long nanos) {
		return (long) (nanos * (1 + this.random.nextDouble()) / 2);
	}

	private boolean isStale(long nowNanos) {
		return this.listing.ageNanos(nowNanos) > this.maxAgeNanos;
	}

	private void sendRequestWhenDue(long nowNanos) {
		if (this.outstanding != null && nowNanos - this.outstanding.sentAtNanos() >= RESPONSE_TIMEOUT_NANOS) {
			exclude(nowNanos, this.outstanding.daemonId());
			this.outstanding = null;
			this.pages.clear();
			this.nextRequestAtNanos = nowNanos;
		}
		if (this.outstanding != null || nowNanos - this.nextRequestAtNanos < 0) {
			return;
		}
		final boolean old = isStale(nowNanos);
		if (this.tree.isReader() && !old) {
			this.pages.clear();
			return;
		}
		final String daemonId = this.pages.responderId().orElseGet(() -> choosePeer(old));
		if (!daemonId.isEmpty()) {
			this.lastCorrelationId++;
			this.outstanding = new OutstandingRequest(daemonId, this.lastCorrelationId, nowNanos);
			final long fromOffset = this.listing.known() ? this.listing.nextOffset() : 0;
			this.actions.add(new ListingAction.SendRequest(daemonId, new ListingRequest(this.selfId,
					this.lastCorrelationId, this.pages.fromOffset(fromOffset), this.pages.continuationOffset())));
		}
	}

	// Whoever is late itself asks at random: those that stand before it may be as late.
	private String choosePeer(boolean old) {
		return (this.tree.isReader() || old) ? this.tree.randomPeer(this.random.nextDouble()) : this.tree.parent();
	}

	private void exclude(long nowNanos, String daemonId) {
		this.excludedSinceNanos.put(daemonId, nowNanos);
		rebuildTree(nowNanos);
	}

	/**
	 * Takes a question of another daemon.
	 * @param nowNanos the monotonic time
	 * @param request the question
	 * @return what must be done next
	 */
	public List<ListingAction> onRequest(long nowNanos, ListingRequest question) {
		if (this.pendingRequests.size() < MAX_PENDING_REQUESTS
				|| this.pendingRequests.containsKey(question.requesterId())) {
			this.pendingRequests.put(question.requesterId(), new PendingRequest(question, nowNanos));
		}
		return takeActions(nowNanos);
	}

	/**
	 * Takes an answer of another daemon.
	 * @param nowNanos the monotonic time
	 * @param answer the answer
	 * @return what must be done next
	 */
	public List<ListingAction> onResponse(long nowNanos, ListingResponse answer) {
		// The answer to an earlier question may be older than what is known by now.
		if (this.outstanding == null || this.outstanding.correlationId() != answer.correlationId()) {
			return takeActions(nowNanos);
		}
		final long askedAtNanos = this.outstanding.sentAtNanos();
		this.outstanding = null;
		this.nextRequestAtNanos = nowNanos + POLL_PAUSE_NANOS;
		applyResponse(nowNanos, askedAtNanos + answer.heldNanos() - answer.ageNanos(), answer);
		if (answer.ageNanos() > this.maxAgeNanos) {
			exclude(nowNanos, answer.responderId());
		}
		return takeActions(nowNanos);
	}

	private void applyResponse(long nowNanos, long toldOfNanos, ListingResponse answer) {
		if (answer.delta().isEmpty()) {
			this.pages.clear();
			this.snapshotNeeded = true;
			return;
		}
		this.pages.add(answer, answer.delta().get()).ifPresent((change) -> {
			this.listing.applyFromPeer(nowNanos, toldOfNanos, change);
			this.snapshotNeeded = false;
		});
		if (this.pages.continuationOffset() > 0) {
			this.nextRequestAtNanos = nowNanos;
			sendRequestWhenDue(nowNanos);
		}
	}

	/**
	 * Takes what came of a read of the platform's list.
	 * @param nowNanos the monotonic time
	 * @param read what came of it
	 * @param unsettled whether entries may have lapsed though their instances live
	 * @return what must be done next
	 */
	public List<ListingAction> onRead(long nowNanos, ListingRead read, boolean unsettled) {
		this.readInProgress = false;
		switch (read.outcome()) {
			case SNAPSHOT -> {
				this.snapshotNeeded = false;
				this.listing.applySnapshot(nowNanos, this.readStartedAtNanos, read.delta().orElseThrow(), unsettled);
			}
			case DELTA ->
				this.listing.applyRead(nowNanos, this.readStartedAtNanos, read.delta().orElseThrow(), unsettled);
			case HISTORY_GONE -> {
				this.snapshotNeeded = true;
				this.nextReadAtNanos = nowNanos;
			}
			case FAILED -> {
				final long retryNanos = this.tree.isReader() ? 2 * MIN_RETRY_NANOS : fallbackReadIntervalNanos();
				this.nextReadAtNanos = Math.max(this.nextReadAtNanos, nowNanos + jitter(retryNanos));
			}
		}
		return takeActions(nowNanos);
	}

	private List<ListingAction> takeActions(long nowNanos) {
		if (this.listing.takeChanged()) {
			this.actions.add(new ListingAction.Publish(this.listing.instances()));
		}
		answerPendingRequests(nowNanos);
		final List<ListingAction> now = List.copyOf(this.actions);
		this.actions.clear();
		return now;
	}

	private void answerPendingRequests(long nowNanos) {
		final boolean settled = this.listing.takeResolved();
		final Iterator<PendingRequest> waiting = this.pendingRequests.values().iterator();
		while (waiting.hasNext()) {
			final PendingRequest each = waiting.next();
			final long keptNanos = nowNanos - each.receivedAtNanos();
			if (!this.listing.isShareable()) {
				// Others may know it; the asker goes to them when this one is silent.
				if (keptNanos >= RESPONSE_TIMEOUT_NANOS) {
					waiting.remove();
				}
			}
			else if (settled || keptNanos >= LONG_POLL_NANOS
					|| this.listing.hasChangesSince(each.request().fromOffset())) {
				waiting.remove();
				this.actions.add(new ListingAction.SendResponse(each.request().requesterId(),
						response(nowNanos, keptNanos, each.request())));
			}
		}
	}

	private ListingResponse response(long nowNanos, long keptNanos, ListingRequest question) {
		final Optional<ListingPage> portion = this.listing.deltaSince(question.fromOffset())
			.map((change) -> ListingPage.of(change, question, MAX_RECORDS_PER_PAGE));
		return new ListingResponse(this.selfId, question.correlationId(), keptNanos, this.listing.ageNanos(nowNanos),
				portion.map(ListingPage::delta), portion.map(ListingPage::continuationOffset).orElse(0L),
				this.incarnationId);
	}

	/**
	 * Returns how old the list is at most.
	 * @param nowNanos the monotonic time
	 * @return the time since the platform was asked for what is known, or
	 * {@link #UNKNOWN_AGE_NANOS}
	 */
	public long ageNanos(long nowNanos) {
		return this.listing.ageNanos(nowNanos);
	}

	/**
	 * Returns the first offset that is not known.
	 * @return the offset
	 */
	long nextOffset() {
		return this.listing.nextOffset();
	}

	/**
	 * Returns whether this daemon reads the platform's list for others.
	 * @return whether it does
	 */
	public boolean readsForOthers() {
		return this.tree.isReader();
	}

	/**
	 * A question that waits for its answer.
	 *
	 * @param daemonId the daemon that was asked
	 * @param correlationId the question's token
	 * @param sentAtNanos when it was asked, by the monotonic clock
	 */
	private record OutstandingRequest(String daemonId, long correlationId, long sentAtNanos) {

	}

	/**
	 * Another daemon's question that is kept until there is something to tell.
	 *
	 * @param request the question
	 * @param receivedAtNanos when it came, by the monotonic clock
	 */
	private record PendingRequest(ListingRequest request, long receivedAtNanos) {

	}

}
