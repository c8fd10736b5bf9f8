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
final class RequestClaims {

	private final Claims claims;

	private final Map<Long, Long> claimOffsets = new HashMap<>();

	private final Map<Long, KeyOutcome> storedOutcomes = new HashMap<>();

	RequestClaims(Claims claims) {
		this.claims = claims;
	}

	/**
	 * Notes the verdict on a claim.
	 * @param claimed the verdict
	 * @param held whether its request has not ended
	 */
	void recordResult(TrafficMessage.Claimed claimed, boolean held) {
		if (claimed.result().claimOffset() >= 0 && held) {
			this.claimOffsets.put(claimed.requestId(), claimed.result().claimOffset());
		}
		claimed.result().outcome().ifPresent((outcome) -> this.storedOutcomes.put(claimed.requestId(), outcome));
	}

	Optional<KeyOutcome> storedOutcome(long requestId) {
		return Optional.ofNullable(this.storedOutcomes.get(requestId));
	}

	void removeOutcome(long requestId) {
		this.storedOutcomes.remove(requestId);
	}

	void remove(long requestId) {
		this.claimOffsets.remove(requestId);
	}

	void release(TrafficAction.Release release) {
		this.claimOffsets.remove(release.requestId());
		this.claims.release(release.info(), release.claimOffset());
	}

	/**
	 * Records that nobody knows what came of a claimed request which may have run.
	 * @param exchange the request
	 * @param fail how it ended
	 */
	void settleUnknown(Exchange exchange, TrafficAction.Fail fail) {
		final Long offset = this.claimOffsets.get(fail.requestId());
		if (offset != null && fail.runState() != RunState.NOT_RUN) {
			this.claims.settle(exchange.info(), offset, 0, "", "", true);
		}
	}

	void settle(Exchange exchange, int status, String contentType, String body) {
		final Long offset = this.claimOffsets.get(exchange.info().requestId());
		if (offset != null) {
			this.claims.settle(exchange.info(), offset, status, contentType, body, false);
		}
	}

}
