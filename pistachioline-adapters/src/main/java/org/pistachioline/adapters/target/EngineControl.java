package org.pistachioline.adapters.target;

import java.util.concurrent.CompletableFuture;

import org.pistachioline.core.fleet.EngineOrder;
import org.pistachioline.core.fleet.EngineState;

/**
 * Orders to a model engine, and what it holds.
 */
public interface EngineControl {

	/**
	 * Reads back what an instance holds.
	 * @param address the instance's address
	 * @return what it holds
	 */
	CompletableFuture<EngineState> held(String address);

	/**
	 * Gives an order.
	 * @param address the instance's address
	 * @param order the order
	 * @return whether the engine took it; false where it refused an old fencing number
	 */
	CompletableFuture<Boolean> order(String address, EngineOrder order);

}
