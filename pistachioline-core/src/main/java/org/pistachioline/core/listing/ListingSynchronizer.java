package org.pistachioline.core.listing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Keeps one daemon's copy of the platform's instance list current, together with the
 * other daemons. It performs no I/O and reads no clock: the caller passes in the time and
 * carries out the returned actions.
 * <p>
 * The platform's list changes constantly, as each of hundreds of instances writes a
 * heartbeat every second. If every daemon read all of it, the load on the platform and
 * the processor time of each daemon would grow with the fleet. Therefore only the readers
 * of the {@link DistributionTree} read from the platform, and every other daemon
 * long-polls its parent: a change is relayed at once, and a daemon sends about two
 * requests a second while nothing changes.
 * <p>
 * A parent may be dead, cut off from the platform or out of date, so every response
 * carries the age of its list. A daemon that does not respond, or whose list is stale, is
 * excluded from the requester's tree for some seconds, and the next daemon in the order
 * takes its place. If both readers fail, the next two take over within one or two
 * seconds, long before all daemons have detected the failure. In the meantime a daemon
 * whose own list becomes stale polls random peers and also reads from the platform, at a
 * rate that limits all daemons together to 100 reads a second.
 */
public final class ListingSynchronizer {

	private static final long NANOS_PER_MILLI = 1_000_000;

	/** The age that is reported while there is no list. */
	public static final long UNKNOWN_AGE_NANOS = Long.MAX_VALUE;

	/**
	 * The planner reads more often, so that broken groups recover sooner.
	 */
	private static final long PLANNER_READ_INTERVAL_NANOS = 200 * NANOS_PER_MILLI;

	/**
	 * The age from which on a planner that relies on another daemon's list reads for
	 * itself. Without changes, a list is up to half a second old: a read interval and the
	 * time for which a request is held.
	 */
	private static final long PLANNER_MAX_AGE_NANOS = 700 * NANOS_PER_MILLI;

	/** A reader retries a failed read after one to two times this time. */
	private static final long MIN_RETRY_NANOS = 200 * NANOS_PER_MILLI;

	/**
	 * The shortest interval, before jitter, between the reads of a daemon that is not a
	 * reader but whose list is stale or missing.
	 */
	private static final long MIN_FALLBACK_READ_INTERVAL_NANOS = 400 * NANOS_PER_MILLI;

	/**
	 * The interval grows by this much with every live daemon, so that the total rate of
	 * such reads is limited.
	 */
	private static final long FALLBACK_READ_NANOS_PER_DAEMON = 20 * NANOS_PER_MILLI;

	/**
	 * The pause between a response and the next request, which limits the number of
	 * responses when changes are frequent.
	 */
	private static final long POLL_PAUSE_NANOS = 100 * NANOS_PER_MILLI;

	/**
	 * How long a daemon that did not respond, or whose list was stale, is left out of the
	 * tree.
	 */
	private static final long EXCLUSION_NANOS = 5_000 * NANOS_PER_MILLI;

	/**
	 * How often the tree is rebuilt; each rebuild sorts the names of all live daemons.
	 */
	private static final long TREE_REFRESH_NANOS = 500 * NANOS_PER_MILLI;

	private final String selfId;

	private final long maxAgeNanos;

	private final ListReadPolicy policy;

	private final UniformRandomProvider random;

	private final InstanceListing listing = new InstanceListing();

	private final PendingListingRequests pendingRequests;

	private final List<ListingAction> actions = new ArrayList<>();

	private DistributionTree tree;

	private long treeBuiltAtNanos;

	private boolean readInProgress;

	private long readStartedAtNanos;

	private long nextReadAtNanos;

	private boolean snapshotNeeded = true;

	private long lastCorrelationId;

	private OutstandingRequest outstanding;

	private final ListingPageAssembler pages = new ListingPageAssembler();

	private long nextRequestAtNanos;

	private final Map<String, Long> excludedSinceNanos = new HashMap<>();

	private Collection<String> liveIds = List.of();

	/**
	 * Creates a synchronizer without a list.
	 * @param selfId this daemon's name
	 * @param maxAgeNanos the age from which on the list is stale and this daemon reads it
	 * itself
	 * @param nowNanos the monotonic time
	 * @param seed the seed of random choices; it must differ between daemons
	 * @param policy which daemons read the platform's list; the same on all daemons
	 */
	public ListingSynchronizer(String selfId, long maxAgeNanos, long nowNanos, long seed, ListReadPolicy policy) {
		this.selfId = selfId;
		this.maxAgeNanos = maxAgeNanos;
		this.policy = policy;
		this.random = RandomSource.SPLIT_MIX_64.create(seed);
		this.tree = DistributionTree.of(selfId, List.of(), policy.readers());
		this.treeBuiltAtNanos = nowNanos - TREE_REFRESH_NANOS;
		this.nextReadAtNanos = nowNanos;
		this.nextRequestAtNanos = nowNanos;
		// Random, so that a late response to a previous incarnation matches no request of
		// this one.
		final long incarnationId = this.random.nextLong() >>> 1;
		this.lastCorrelationId = incarnationId;
		this.pendingRequests = new PendingListingRequests(selfId, incarnationId, this.listing);
	}

	/**
	 * Reads from the platform and polls peers when it is time to.
	 * @param nowNanos the monotonic time
	 * @param liveIds returns the names of the live daemons that are not leaving; called
	 * twice a second
	 * @param isPlanner whether this daemon is the planner
	 * @param expiryUnreliable whether entries may expire although their instances are
	 * alive, because the platform's store is or was recently unavailable
	 * @return the actions to carry out
	 */
	public List<ListingAction> onTick(long nowNanos, Supplier<? extends Collection<String>> liveIds, boolean isPlanner,
			boolean expiryUnreliable) {
		if (nowNanos - this.treeBuiltAtNanos >= TREE_REFRESH_NANOS) {
			this.treeBuiltAtNanos = nowNanos;
			this.liveIds = liveIds.get();
			rebuildTree(nowNanos);
		}
		this.listing.resolveExpired(nowNanos, expiryUnreliable);
		readWhenDue(nowNanos, isPlanner);
		sendRequestWhenDue(nowNanos);
		return takeActions(nowNanos);
	}

	private void rebuildTree(long nowNanos) {
		this.excludedSinceNanos.values().removeIf((excludedAtNanos) -> nowNanos - excludedAtNanos > EXCLUSION_NANOS);
		this.tree = DistributionTree.of(this.selfId,
				this.liveIds.stream().filter((id) -> !this.excludedSinceNanos.containsKey(id)).toList(),
				this.policy.readers());
	}

	private void readWhenDue(long nowNanos, boolean isPlanner) {
		final boolean due = nowNanos - this.nextReadAtNanos >= 0;
		if (this.readInProgress || !due || !(this.tree.isReader() || this.snapshotNeeded || isStale(nowNanos)
				|| plannerReads(nowNanos, isPlanner))) {
			return;
		}
		this.readInProgress = true;
		this.readStartedAtNanos = nowNanos;
		this.nextReadAtNanos = nowNanos + readIntervalNanos(isPlanner);
		this.actions.add(this.snapshotNeeded ? new ListingAction.ReadSnapshot()
				: new ListingAction.ReadDelta(this.listing.nextOffset()));
	}

	private boolean plannerReads(long nowNanos, boolean isPlanner) {
		return isPlanner && (this.policy.plannerReads() || this.listing.ageNanos(nowNanos) > PLANNER_MAX_AGE_NANOS);
	}

	private long readIntervalNanos(boolean isPlanner) {
		if (isPlanner) {
			return PLANNER_READ_INTERVAL_NANOS;
		}
		return this.tree.isReader() ? this.policy.readIntervalNanos() : jitter(fallbackReadIntervalNanos());
	}

	private long fallbackReadIntervalNanos() {
		return Math.max(MIN_FALLBACK_READ_INTERVAL_NANOS, this.liveIds.size() * FALLBACK_READ_NANOS_PER_DAEMON);
	}

	// Keeps daemons that lost their parent at the same time from reading at the same
	// time.
	private long jitter(long nanos) {
		return (long) (nanos * (1 + this.random.nextDouble()) / 2);
	}

	private boolean isStale(long nowNanos) {
		return this.listing.ageNanos(nowNanos) > this.maxAgeNanos;
	}

	private void sendRequestWhenDue(long nowNanos) {
		if (this.outstanding != null
				&& nowNanos - this.outstanding.sentAtNanos() >= PendingListingRequests.RESPONSE_TIMEOUT_NANOS) {
			exclude(nowNanos, this.outstanding.daemonId());
			this.outstanding = null;
			this.pages.clear();
			this.nextRequestAtNanos = nowNanos;
		}
		if (this.outstanding != null || nowNanos - this.nextRequestAtNanos < 0) {
			return;
		}
		final boolean stale = isStale(nowNanos);
		if (this.tree.isReader() && !stale) {
			this.pages.clear();
			return;
		}
		final String daemonId = this.pages.responderId().orElseGet(() -> choosePeer(stale));
		if (!daemonId.isEmpty()) {
			this.lastCorrelationId++;
			this.outstanding = new OutstandingRequest(daemonId, this.lastCorrelationId, nowNanos);
			final long fromOffset = this.listing.known() ? this.listing.nextOffset() : 0;
			this.actions.add(new ListingAction.SendRequest(daemonId, new ListingRequest(this.selfId,
					this.lastCorrelationId, this.pages.fromOffset(fromOffset), this.pages.continuationOffset())));
		}
	}

	// A stale daemon asks a random peer, as all daemons before it in the tree may be
	// stale, too.
	private String choosePeer(boolean stale) {
		return (this.tree.isReader() || stale) ? this.tree.randomPeer(this.random.nextDouble()) : this.tree.parent();
	}

	private void exclude(long nowNanos, String daemonId) {
		this.excludedSinceNanos.put(daemonId, nowNanos);
		rebuildTree(nowNanos);
	}

	/**
	 * Handles a request from another daemon.
	 * @param nowNanos the monotonic time
	 * @param request the request
	 * @return the actions to carry out
	 */
	public List<ListingAction> onRequest(long nowNanos, ListingRequest request) {
		this.pendingRequests.add(nowNanos, request);
		return takeActions(nowNanos);
	}

	/**
	 * Handles a response from another daemon.
	 * @param nowNanos the monotonic time
	 * @param response the response
	 * @return the actions to carry out
	 */
	public List<ListingAction> onResponse(long nowNanos, ListingResponse response) {
		// A response to an earlier request may be older than the list.
		if (this.outstanding == null || this.outstanding.correlationId() != response.correlationId()) {
			return takeActions(nowNanos);
		}
		final long sentAtNanos = this.outstanding.sentAtNanos();
		this.outstanding = null;
		this.nextRequestAtNanos = nowNanos + POLL_PAUSE_NANOS;
		applyResponse(nowNanos, sentAtNanos + response.heldNanos() - response.ageNanos(), response);
		if (response.ageNanos() > this.maxAgeNanos) {
			exclude(nowNanos, response.responderId());
		}
		return takeActions(nowNanos);
	}

	private void applyResponse(long nowNanos, long asOfNanos, ListingResponse response) {
		if (response.delta().isEmpty()) {
			this.pages.clear();
			this.snapshotNeeded = true;
			return;
		}
		this.pages.add(response, response.delta().get()).ifPresent((delta) -> {
			this.listing.applyFromPeer(nowNanos, asOfNanos, delta);
			this.snapshotNeeded = false;
		});
		if (this.pages.continuationOffset() > 0) {
			this.nextRequestAtNanos = nowNanos;
			sendRequestWhenDue(nowNanos);
		}
	}

	/**
	 * Handles the result of a read from the platform.
	 * @param nowNanos the monotonic time
	 * @param read the result
	 * @param expiryUnreliable whether entries may expire although their instances are
	 * alive, because the platform's store is or was recently unavailable
	 * @return the actions to carry out
	 */
	public List<ListingAction> onRead(long nowNanos, ListingRead read, boolean expiryUnreliable) {
		this.readInProgress = false;
		switch (read.outcome()) {
			case SNAPSHOT -> {
				this.snapshotNeeded = false;
				this.listing.applySnapshot(nowNanos, this.readStartedAtNanos, read.delta().orElseThrow(),
						expiryUnreliable);
			}
			case DELTA ->
				this.listing.applyRead(nowNanos, this.readStartedAtNanos, read.delta().orElseThrow(), expiryUnreliable);
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
		this.actions.addAll(this.pendingRequests.answer(nowNanos));
		final List<ListingAction> taken = List.copyOf(this.actions);
		this.actions.clear();
		return taken;
	}

	/**
	 * Returns the upper bound of the list's age.
	 * @param nowNanos the monotonic time
	 * @return the time since the platform read that the list is based on, or
	 * {@link #UNKNOWN_AGE_NANOS} if there is no list
	 */
	public long ageNanos(long nowNanos) {
		return this.listing.ageNanos(nowNanos);
	}

	/**
	 * Returns the first offset whose record is not reflected in the list.
	 * @return the offset
	 */
	long nextOffset() {
		return this.listing.nextOffset();
	}

	/**
	 * Returns whether this daemon reads the platform's list on behalf of others.
	 * @return whether it does
	 */
	public boolean readsForOthers() {
		return this.tree.isReader();
	}

	/**
	 * A request to a peer that has not been answered yet.
	 *
	 * @param daemonId the daemon that the request was sent to
	 * @param correlationId the request's correlation ID
	 * @param sentAtNanos the monotonic time at which it was sent
	 */
	private record OutstandingRequest(String daemonId, long correlationId, long sentAtNanos) {

	}

}
