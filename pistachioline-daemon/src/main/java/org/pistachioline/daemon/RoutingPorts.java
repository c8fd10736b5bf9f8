package org.pistachioline.daemon;

import java.util.function.Function;

import org.pistachioline.adapters.web.Connector;
import org.pistachioline.adapters.web.WebLoop;
import org.pistachioline.daemon.port.InstanceSource;
import org.pistachioline.daemon.port.OrderSender;
import org.pistachioline.daemon.port.PlannerLease;
import org.pistachioline.daemon.port.RelayProtocol;
import org.pistachioline.daemon.port.RouteSource;

/**
 * Ports through which a {@link RoutingDaemon} uses the platform.
 *
 * @param routes the source of the operators' configuration
 * @param instances the source of the instance list
 * @param lease the planner's lease
 * @param orders the sender of orders to instances
 * @param dialect the mapping of the headers of callers and targets
 * @param targetConnectors creates the connector to targets for a loop
 */
public record RoutingPorts(RouteSource routes, InstanceSource instances, PlannerLease lease, OrderSender orders,
		RelayProtocol dialect, Function<WebLoop, Connector> targetConnectors) {

}
