package org.pistachioline.daemon;

import java.util.List;

import org.pistachioline.daemon.duty.Ring;

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

	/**
	 * Returns the part's rings, for metrics and dumps.
	 * @return the rings; empty where it has none
	 */
	default List<Ring<?>> rings() {
		return List.of();
	}

}
