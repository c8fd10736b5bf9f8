package org.pistachioline.daemon.port;

import java.util.concurrent.CompletableFuture;

import org.pistachioline.core.replica.OrderOutcome;
import org.pistachioline.core.replica.ReplicaOrder;
import org.pistachioline.core.replica.ServingInstance;

/**
 * Gives orders to instances.
 */
public interface OrderSender {

	/**
	 * Gives an order.
	 * @param order the order
	 * @param fencingToken the number of the lease under which it is given
	 * @return what came of it; it never fails
	 */
	CompletableFuture<OrderOutcome> send(ReplicaOrder order, long fencingToken);

	/**
	 * Sets what hears of instances that leave or want nothing for a while, from their
	 * answers to orders and questions; called before the start.
	 * @param listener hears it
	 */
	void setInstanceListener(InstanceListener listener);

	/**
	 * Asks an instance whether it lives.
	 * @param instance the instance
	 * @return whether it answered; it never fails
	 */
	CompletableFuture<Boolean> probe(ServingInstance instance);

}
