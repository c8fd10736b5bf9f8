package org.pistachioline.daemon.traffic;

import java.util.concurrent.CompletionException;

import org.apache.pekko.stream.BufferOverflowException;

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
		final String message = String.valueOf(cause.getMessage());
		final boolean connectFailed = message.startsWith("Tcp command [Connect(");
		// A full connection pool rejects a request before any byte of it is sent.
		final boolean rejectedByPool = cause instanceof BufferOverflowException;
		return (connectFailed || rejectedByPool) ? AttemptOutcome.NOT_CONNECTED : AttemptOutcome.BROKEN;
	}

}
