package org.pistachioline.daemon;

import org.pistachioline.daemon.port.InstanceSource;
import org.pistachioline.daemon.port.OrderSender;
import org.pistachioline.daemon.port.PlannerLease;
import org.pistachioline.daemon.port.RelayProtocol;
import org.pistachioline.daemon.port.RouteSource;

/**
 * The platform, as a daemon that relays by routes sees it.
 *
 * @param routes the operators' configuration
 * @param instances the list of instances
 * @param lease the planner's lease
 * @param orders orders to instances
 * @param dialect the headers of callers and targets
 */
public record RoutingPorts(RouteSource routes, InstanceSource instances, PlannerLease lease, OrderSender orders,
		RelayProtocol dialect) {

}
