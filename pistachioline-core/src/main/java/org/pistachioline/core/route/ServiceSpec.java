package org.pistachioline.core.route;

import java.util.Optional;

/**
 * A service that routes lead to.
 *
 * @param name the service's name
 * @param maxConnections how many connections one of its targets takes from all daemons
 * @param engine its engines; empty for a plain service
 */
public record ServiceSpec(String name, int maxConnections, Optional<EngineSpec> engine) {

	/**
	 * Returns whether its instances serve in groups.
	 * @return whether they do
	 */
	public boolean grouped() {
		return this.engine.filter(EngineSpec::grouped).isPresent();
	}

}
