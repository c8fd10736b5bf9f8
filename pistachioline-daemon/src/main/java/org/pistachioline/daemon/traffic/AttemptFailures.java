package org.pistachioline.daemon.traffic;

import java.util.concurrent.CompletionException;

import org.apache.pekko.stream.BufferOverflowException;

import org.pistachioline.core.traffic.AttemptOutcome;

/**
 * Tells how an attempt ended from the way its call failed.
 */
final class AttemptFailures {

	private AttemptFailures() {
	}

	/**
	 * Classifies a failure before an answer's head.
	 * @param failure the failure
	 * @return not connected only where no connection was made at all
	 */
	static AttemptOutcome classify(Throwable failure) {
		final Throwable cause = (failure instanceof CompletionException && failure.getCause() != null)
				? failure.getCause() : failure;
		final String message = String.valueOf(cause.getMessage());
		final boolean connectFailed = message.startsWith("Tcp command [Connect(");
		// A pool that is full takes no request, so nothing of it was sent.
		final boolean notTaken = cause instanceof BufferOverflowException;
		return (connectFailed || notTaken) ? AttemptOutcome.NOT_CONNECTED : AttemptOutcome.BROKEN;
	}

}
