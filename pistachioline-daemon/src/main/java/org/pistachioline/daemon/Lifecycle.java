package org.pistachioline.daemon;

import java.util.List;

import org.pistachioline.daemon.duty.Ring;

/**
 * Component of a daemon that is started once and stopped once.
 */
public interface Lifecycle {

	/**
	 * Starts the component.
	 */
	void start();

	/**
	 * Stops the component and releases its resources.
	 */
	void stop();

	/**
	 * Returns the message rings of the component's duties, for metrics and dumps.
	 * @return the rings; empty where the component has none
	 */
	default List<Ring<?>> rings() {
		return List.of();
	}

}
