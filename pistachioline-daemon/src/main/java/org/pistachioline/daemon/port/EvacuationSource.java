package org.pistachioline.daemon.port;

import java.util.function.Consumer;

import org.pistachioline.core.evacuation.EvacuationState;

/**
 * Follows the operators' requests to evacuate availability zones.
 */
@FunctionalInterface
public interface EvacuationSource {

	/** A platform on which operators cannot ask for an evacuation. */
	EvacuationSource NONE = (receiver) -> {
	};

	/**
	 * Sets the receiver of each newer state. Must be called before the start.
	 * @param receiver receives the state; must not block
	 */
	void setEvacuationListener(Consumer<EvacuationState> receiver);

}
