package org.pistachioline.daemon;

/**
 * A part of the daemon that is started once and stopped once.
 */
public interface Lifecycle {

	/**
	 * Starts the part.
	 */
	void start();

	/**
	 * Stops the part and gives back what it holds.
	 */
	void stop();

}
