package org.pistachioline.daemon.port;

/**
 * Receives the backoffs, shutdowns and cold times that instances state in responses of
 * any kind. Implementations must not block.
 */
public interface InstanceListener {

	/**
	 * Called for each response that asks this daemon to send no requests for some time.
	 * @param instanceId the instance
	 * @param forMillis the length of the backoff
	 */
	void onBackoff(String instanceId, long forMillis);

	/**
	 * Called for each response that states that its instance is shutting down.
	 * @param instanceId the instance
	 */
	void onLeaving(String instanceId);

	/**
	 * Called for each response that states that its instance has not warmed up.
	 * @param instanceId the instance
	 * @param remainingMillis how long it stays cold
	 */
	default void onCold(String instanceId, long remainingMillis) {
		// Most listeners do not pace requests.
	}

}
