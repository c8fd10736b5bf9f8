package org.pistachioline.core.listing;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Holds other daemons' requests for the instance list until there is a change to send,
 * and answers them from this daemon's list.
 */
final class PendingListingRequests {

	private static final long NANOS_PER_MILLI = 1_000_000;

	/** How long a request is held while there is no change to send. */
	private static final long LONG_POLL_NANOS = 300 * NANOS_PER_MILLI;

	/**
	 * How long a response is waited for, and how long a responder that cannot share its
	 * list keeps a request.
	 */
	static final long RESPONSE_TIMEOUT_NANOS = LONG_POLL_NANOS + 300 * NANOS_PER_MILLI;

	/**
	 * The most records in one response. At about 150 bytes each, with as many tombstones,
	 * they fit into a frame.
	 */
	static final int MAX_RECORDS_PER_PAGE = 1_000;

	/**
	 * The most requests held at once. Further ones are dropped, and their senders ask
	 * another daemon.
	 */
	private static final int MAX_PENDING_REQUESTS = 64;

	private final String selfId;

	private final long incarnationId;

	private final InstanceListing listing;

	private final Map<String, PendingRequest> requests = new LinkedHashMap<>();

	/**
	 * Creates an empty set of requests.
	 * @param selfId this daemon's name
	 * @param incarnationId identifies this run of the daemon in its responses
	 * @param listing this daemon's list
	 */
	PendingListingRequests(String selfId, long incarnationId, InstanceListing listing) {
		this.selfId = selfId;
		this.incarnationId = incarnationId;
		this.listing = listing;
	}

	/**
	 * Holds a request, in place of an earlier one of the same daemon. Drops it if too
	 * many are held.
	 * @param nowNanos the monotonic time
	 * @param request the request
	 */
	void add(long nowNanos, ListingRequest request) {
		if (this.requests.size() < MAX_PENDING_REQUESTS || this.requests.containsKey(request.requesterId())) {
			this.requests.put(request.requesterId(), new PendingRequest(request, nowNanos));
		}
	}

	/**
	 * Answers the requests for which there is a change, and those held for long enough.
	 * @param nowNanos the monotonic time
	 * @return the responses to send
	 */
	List<ListingAction> answer(long nowNanos) {
		final List<ListingAction> responses = new ArrayList<>();
		final boolean removalResolved = this.listing.takeResolved();
		final Iterator<PendingRequest> remaining = this.requests.values().iterator();
		while (remaining.hasNext()) {
			final PendingRequest pending = remaining.next();
			final long heldNanos = nowNanos - pending.receivedAtNanos();
			if (!this.listing.isShareable()) {
				// Dropped without a response, so that the requester times out and turns
				// to another daemon, which may have a list.
				if (heldNanos >= RESPONSE_TIMEOUT_NANOS) {
					remaining.remove();
				}
			}
			else if (removalResolved || heldNanos >= LONG_POLL_NANOS
					|| this.listing.hasChangesSince(pending.request().fromOffset())) {
				remaining.remove();
				responses.add(new ListingAction.SendResponse(pending.request().requesterId(),
						response(nowNanos, heldNanos, pending.request())));
			}
		}
		return responses;
	}

	private ListingResponse response(long nowNanos, long heldNanos, ListingRequest request) {
		final Optional<ListingPage> page = this.listing.deltaSince(request.fromOffset())
			.map((delta) -> ListingPage.of(delta, request, MAX_RECORDS_PER_PAGE));
		return new ListingResponse(this.selfId, request.correlationId(), heldNanos, this.listing.ageNanos(nowNanos),
				page.map(ListingPage::delta), page.map(ListingPage::continuationOffset).orElse(0L), this.incarnationId);
	}

	/**
	 * A request that is held until there is a change to send.
	 *
	 * @param request the request
	 * @param receivedAtNanos the monotonic time at which it was received
	 */
	private record PendingRequest(ListingRequest request, long receivedAtNanos) {

	}

}
