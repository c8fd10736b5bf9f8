package org.pistachioline.core.route;

import java.util.Optional;

/**
 * A service that receives requests of routes.
 *
 * @param name the service's name
 * @param maxConnections the number of connections that one of its targets accepts from
 * all daemons together
 * @param engine the service's engines; empty for a plain service
 * @param coldStart how its instances behave until they have warmed up; empty if they take
 * their full load at once
 */
public record ServiceSpec(String name, int maxConnections, Optional<EngineSpec> engine, Optional<ColdStart> coldStart) {

	/**
	 * Creates a service whose instances take their full load at once.
	 * @param name the service's name
	 * @param maxConnections the number of connections that one of its targets accepts
	 * @param engine the service's engines; empty for a plain service
	 */
	public ServiceSpec(String name, int maxConnections, Optional<EngineSpec> engine) {
		this(name, maxConnections, engine, Optional.empty());
	}

	/**
	 * Returns whether its instances serve in groups.
	 * @return whether they do
	 */
	public boolean grouped() {
		return this.engine.filter(EngineSpec::grouped).isPresent();
	}

}
