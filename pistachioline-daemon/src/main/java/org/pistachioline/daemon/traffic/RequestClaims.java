package org.pistachioline.daemon.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.pistachioline.core.error.RunState;
import org.pistachioline.core.record.KeyOutcome;
import org.pistachioline.core.traffic.TrafficAction;
import org.pistachioline.daemon.claims.Claims;

/**
 * The claims granted to the active requests of a traffic duty, and the stored outcomes
 * that claims returned. It is confined to one thread.
 */
final class RequestClaims {

	private final Claims claims;

	private final Map<Long, Long> claimOffsets = new HashMap<>();

	private final Map<Long, KeyOutcome> storedOutcomes = new HashMap<>();

	RequestClaims(Claims claims) {
		this.claims = claims;
	}

	/**
	 * Records the result of a claim.
	 * @param decided the result
	 * @param active whether its request has not ended; no claim offset is kept otherwise
	 */
	void recordResult(TrafficMessage.ClaimDecided decided, boolean active) {
		if (decided.result().claimOffset() >= 0 && active) {
			this.claimOffsets.put(decided.requestId(), decided.result().claimOffset());
		}
		decided.result().outcome().ifPresent((outcome) -> this.storedOutcomes.put(decided.requestId(), outcome));
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
	 * Settles the claim of a failed request with an unknown outcome, if the request may
	 * have run.
	 * @param exchange the request
	 * @param fail how the request failed
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
