package org.pistachioline.daemon.traffic;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.pistachioline.core.traffic.ClaimVerdict;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.daemon.claims.ClaimResult;
import org.pistachioline.daemon.claims.Claims;

/**
 * Grants no claim. On this platform each attempt of a caller has a unique id and is
 * handled by a single daemon, so no idempotency key has to be claimed.
 */
public final class NoClaims implements Claims {

	@Override
	public CompletableFuture<ClaimResult> claim(RequestInfo info) {
		return CompletableFuture.completedFuture(new ClaimResult(ClaimVerdict.UNAVAILABLE, -1, Optional.empty()));
	}

	@Override
	public CompletableFuture<Void> release(RequestInfo info, long claimOffset) {
		return CompletableFuture.completedFuture(null);
	}

	@Override
	public CompletableFuture<Void> settle(RequestInfo info, long claimOffset, int status, String contentType,
			String body, boolean unknown) {
		return CompletableFuture.completedFuture(null);
	}

}
