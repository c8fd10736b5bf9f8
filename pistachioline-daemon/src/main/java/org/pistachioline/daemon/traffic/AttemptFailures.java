package org.pistachioline.daemon.traffic;

import java.util.concurrent.CompletionException;

import org.pistachioline.adapters.http.NotConnectedException;
import org.pistachioline.core.traffic.AttemptOutcome;

/**
 * Maps the failure of an HTTP call to the outcome of its attempt.
 */
final class AttemptFailures {

	private AttemptFailures() {
	}

	/**
	 * Classifies a failure that occurred before a response head was received.
	 * @param failure the failure
	 * @return {@code NOT_CONNECTED} only if it is certain that no byte was sent; {@code
	 * BROKEN} otherwise
	 */
	static AttemptOutcome classify(Throwable failure) {
		final Throwable cause = (failure instanceof CompletionException && failure.getCause() != null)
				? failure.getCause() : failure;
		return (cause instanceof NotConnectedException) ? AttemptOutcome.NOT_CONNECTED : AttemptOutcome.BROKEN;
	}

}
