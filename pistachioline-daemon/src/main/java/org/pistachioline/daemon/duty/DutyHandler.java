package org.pistachioline.daemon.duty;

/**
 * Handler of the messages and ticks of a {@link Duty}. It is called by the duty's thread
 * only, so it needs no synchronization.
 *
 * @param <M> the type of messages
 */
public interface DutyHandler<M> {

	/**
	 * Called for each message, in the order in which the ring received them.
	 * @param message the message
	 */
	void onMessage(M message);

	/**
	 * Called at the duty's tick interval, for timeouts and periodic work.
	 */
	void onTick();

}
