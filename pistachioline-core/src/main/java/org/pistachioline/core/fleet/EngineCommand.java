package org.pistachioline.core.fleet;

/**
 * An order together with the engine that is to get it.
 *
 * @param instanceId the instance
 * @param address where it takes orders
 * @param order the order
 */
public record EngineCommand(String instanceId, String address, EngineOrder order) {

}
