package org.pistachioline.core.queueing;

import java.util.List;
import java.util.Optional;
import java.util.function.ToIntFunction;

import org.pistachioline.core.admission.Refusal;
import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.traffic.RequestInfo;

/**
 * Holds the requests that wait for a target and says who goes next.
 */
public interface QueuePolicy {

	/**
	 * Takes over the weights and bounds of a manifest.
	 * @param manifest the manifest in force
	 */
	void configure(Manifest manifest);

	/**
	 * Adds a request, or refuses it.
	 * @param nowNanos the monotonic time
	 * @param info the request
	 * @return the refusal; empty where the request waits
	 */
	Optional<Refusal> offer(long nowNanos, RequestInfo info);

	/**
	 * Takes the next request that can be placed.
	 * @param nowNanos the monotonic time
	 * @param freeSlots how many requests like this one could start now
	 * @return the request, if there is one
	 */
	Optional<RequestInfo> poll(long nowNanos, ToIntFunction<RequestInfo> freeSlots);

	/**
	 * Takes the requests out that cannot be started in time any more.
	 * @param nowNanos the monotonic time
	 * @return those requests
	 */
	List<RequestInfo> expire(long nowNanos);

	/**
	 * Takes a request out.
	 * @param requestId the request
	 */
	void remove(long requestId);

	/**
	 * Notes the first token of a request that left the queue.
	 * @param nowNanos the monotonic time
	 * @param info the request
	 * @param sinceStartNanos how long its target took
	 */
	default void onFirstToken(long nowNanos, RequestInfo info, long sinceStartNanos) {
		// A queue without deadlines learns nothing from it.
	}

	/**
	 * Notes the end of a request, whether it left the queue before or not.
	 * @param nowNanos the monotonic time
	 * @param info the request
	 * @param complete whether it was answered in full
	 * @param outputTokens the tokens that it generated
	 * @param sinceStartNanos how long its last attempt took
	 */
	default void onEnded(long nowNanos, RequestInfo info, boolean complete, int outputTokens, long sinceStartNanos) {
		// A queue without costs learns nothing from it.
	}

	/**
	 * Returns how many requests wait.
	 * @return the number of requests
	 */
	int size();

}
