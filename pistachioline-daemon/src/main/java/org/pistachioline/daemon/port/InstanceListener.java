package org.pistachioline.daemon.port;

/**
 * Hears what instances want of this daemon, whatever it was that they answered. It must
 * not block.
 */
public interface InstanceListener {

	/**
	 * Called for each answer that asks this daemon for no requests for a while.
	 * @param instanceId the instance
	 * @param forMillis for how long
	 */
	void onBackoff(String instanceId, long forMillis);

	/**
	 * Called where an answer says that its instance leaves.
	 * @param instanceId the instance
	 */
	void onLeaving(String instanceId);

}
