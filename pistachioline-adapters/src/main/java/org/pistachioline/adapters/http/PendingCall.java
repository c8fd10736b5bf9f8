package org.pistachioline.adapters.http;

import java.util.concurrent.CompletionStage;

import org.apache.pekko.http.javadsl.model.HttpResponse;

/**
 * A request on a connection that it has to itself.
 */
public interface PendingCall {

	/**
	 * Returns the answer's head, with its body as a stream.
	 * @return the answer; fails with {@link NotConnectedException} where no connection
	 * was made, and with anything else where the request may have been read
	 */
	CompletionStage<HttpResponse> answer();

	/**
	 * Closes the connection at once, which makes the other side drop the work.
	 */
	void abort();

}
