package org.pistachioline.core.queueing;

import java.util.List;
import java.util.Optional;
import java.util.function.ToIntFunction;

import org.pistachioline.core.admission.Refusal;
import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.traffic.RequestInfo;

/**
 * A policy that holds the requests that wait for a target and decides which one is
 * dispatched next.
 */
public interface QueuePolicy {

	/**
	 * Applies the weights and bounds of a manifest.
	 * @param manifest the manifest in force
	 */
	void configure(Manifest manifest);

	/**
	 * Queues a request or refuses it.
	 * @param nowNanos the monotonic time
	 * @param info the request
	 * @return the refusal; empty where the request was queued
	 */
	Optional<Refusal> offer(long nowNanos, RequestInfo info);

	/**
	 * Removes the next request that can be placed.
	 * @param nowNanos the monotonic time
	 * @param freeSlots returns how many requests like the given one could start now
	 * @return the request, if there is one
	 */
	Optional<RequestInfo> poll(long nowNanos, ToIntFunction<RequestInfo> freeSlots);

	/**
	 * Removes the requests that can no longer be started in time.
	 * @param nowNanos the monotonic time
	 * @return the removed requests
	 */
	List<RequestInfo> expire(long nowNanos);

	/**
	 * Removes a request; does nothing where it is not queued.
	 * @param requestId the request
	 */
	void remove(long requestId);

	/**
	 * Handles the first token of a request that was dispatched.
	 * @param nowNanos the monotonic time
	 * @param info the request
	 * @param sinceStartNanos the time since its attempt started
	 */
	default void onFirstToken(long nowNanos, RequestInfo info, long sinceStartNanos) {
		// Only queues that refuse requests by deadline use the time to the first token.
	}

	/**
	 * Handles the end of a request, whether it was dispatched or not.
	 * @param nowNanos the monotonic time
	 * @param info the request
	 * @param complete whether it was answered in full
	 * @param outputTokens the number of tokens that it generated
	 * @param sinceStartNanos the duration of its last attempt
	 */
	default void onEnded(long nowNanos, RequestInfo info, boolean complete, int outputTokens, long sinceStartNanos) {
		// Only queues that charge for requests use their actual cost.
	}

	/**
	 * Returns the number of queued requests.
	 * @return the number of requests
	 */
	int size();

}
