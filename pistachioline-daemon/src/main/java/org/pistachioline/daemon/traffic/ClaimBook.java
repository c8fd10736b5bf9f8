package org.pistachioline.daemon.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.pistachioline.core.error.RunState;
import org.pistachioline.core.record.KeyOutcome;
import org.pistachioline.core.traffic.TrafficAction;
import org.pistachioline.daemon.claims.Claims;

/**
 * The claims of the requests that a traffic duty holds, and the outcomes that it was told
 * for them. One thread calls it.
 */
final class ClaimBook {

	private final Claims claims;

	private final Map<Long, Long> offsets = new HashMap<>();

	private final Map<Long, KeyOutcome> outcomes = new HashMap<>();

	ClaimBook(Claims claims) {
		this.claims = claims;
	}

	/**
	 * Notes the verdict on a claim.
	 * @param claimed the verdict
	 * @param held whether its request has not ended
	 */
	void note(TrafficMessage.Claimed claimed, boolean held) {
		if (claimed.result().claimOffset() >= 0 && held) {
			this.offsets.put(claimed.requestId(), claimed.result().claimOffset());
		}
		claimed.result().outcome().ifPresent((outcome) -> this.outcomes.put(claimed.requestId(), outcome));
	}

	Optional<KeyOutcome> outcome(long requestId) {
		return Optional.ofNullable(this.outcomes.get(requestId));
	}

	void forgetOutcome(long requestId) {
		this.outcomes.remove(requestId);
	}

	void forget(long requestId) {
		this.offsets.remove(requestId);
	}

	void release(TrafficAction.Release release) {
		this.offsets.remove(release.requestId());
		this.claims.release(release.info(), release.claimOffset());
	}

	/**
	 * Records that nobody knows what came of a claimed request which may have run.
	 * @param exchange the request
	 * @param fail how it ended
	 */
	void settleUnknown(Exchange exchange, TrafficAction.Fail fail) {
		final Long offset = this.offsets.get(fail.requestId());
		if (offset != null && fail.runState() != RunState.NOT_RUN) {
			this.claims.settle(exchange.info(), offset, 0, "", "", true);
		}
	}

	void settle(Exchange exchange, int status, String contentType, String body) {
		final Long offset = this.offsets.get(exchange.info().requestId());
		if (offset != null) {
			this.claims.settle(exchange.info(), offset, status, contentType, body, false);
		}
	}

}
