package org.pistachioline.adapters.platform;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.pistachioline.core.fleet.Instance;

/**
 * The platform's lagging list of live and leaving instances.
 */
public interface InstanceList {

	/**
	 * Reads the list.
	 * @return every instance that the platform lists
	 */
	CompletableFuture<List<Instance>> read();

}
