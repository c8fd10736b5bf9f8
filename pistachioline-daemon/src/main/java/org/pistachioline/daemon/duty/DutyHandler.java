package org.pistachioline.daemon.duty;

/**
 * What a duty does; one thread calls it.
 *
 * @param <M> the type of message
 */
public interface DutyHandler<M> {

	/**
	 * Handles a message.
	 * @param message the message
	 */
	void onMessage(M message);

	/**
	 * Lets time pass.
	 */
	void onTick();

}
