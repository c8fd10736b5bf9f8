package org.pistachioline.core.fleet;

/**
 * An order with the engine that it is addressed to.
 *
 * @param instanceId the id of the instance
 * @param address the address at which the engine accepts orders
 * @param order the order
 */
public record EngineCommand(String instanceId, String address, EngineOrder order) {

}
