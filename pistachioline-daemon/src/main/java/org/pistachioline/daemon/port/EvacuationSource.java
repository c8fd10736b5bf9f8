package org.pistachioline.daemon.port;

import java.util.function.Consumer;

import org.pistachioline.core.evacuation.EvacuationReading;

/**
 * Follows the operators' requests to evacuate availability zones.
 */
@FunctionalInterface
public interface EvacuationSource {

	/** A platform on which operators cannot ask for an evacuation. */
	EvacuationSource NONE = (receiver) -> {
	};

	/**
	 * Sets the receiver of all that is read. Must be called before the start.
	 * @param receiver receives each reading; must not block
	 */
	void setEvacuationListener(Consumer<EvacuationReading> receiver);

}
