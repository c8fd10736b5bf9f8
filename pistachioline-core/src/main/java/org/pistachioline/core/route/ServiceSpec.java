package org.pistachioline.core.route;

import java.util.Optional;

/**
 * A service that receives requests of routes.
 *
 * @param name the service's name
 * @param maxConnections the number of connections that one of its targets accepts from
 * all daemons together
 * @param engine the service's engines; empty for a plain service
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
