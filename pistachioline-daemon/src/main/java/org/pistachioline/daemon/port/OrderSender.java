package org.pistachioline.daemon.port;

import java.util.concurrent.CompletableFuture;

import org.pistachioline.core.replica.OrderOutcome;
import org.pistachioline.core.replica.ReplicaOrder;
import org.pistachioline.core.replica.ServingInstance;

/**
 * Sends replica orders and liveness probes to instances.
 */
public interface OrderSender {

	/**
	 * Sends an order to its instance.
	 * @param order the order
	 * @param fencingToken the token below which the instance rejects orders from then on
	 * @return the outcome of the order; the future never completes exceptionally
	 */
	CompletableFuture<OrderOutcome> send(ReplicaOrder order, long fencingToken);

	/**
	 * Sets the receiver of the backoffs and shutdowns that instances state in their
	 * responses to orders and probes. Must be called before the start.
	 * @param listener the receiver
	 */
	void setInstanceListener(InstanceListener listener);

	/**
	 * Probes whether an instance is alive.
	 * @param instance the instance
	 * @return what the probe has shown; the future never completes exceptionally
	 */
	CompletableFuture<ProbeResult> probe(ServingInstance instance);

}
