package org.pistachioline.daemon;

import org.pistachioline.daemon.port.EvacuationSource;
import org.pistachioline.daemon.port.InstanceSource;
import org.pistachioline.daemon.port.OrderSender;
import org.pistachioline.daemon.port.PlannerLease;
import org.pistachioline.daemon.port.RelayProtocol;
import org.pistachioline.daemon.port.RouteSource;
import org.pistachioline.daemon.tunnel.TargetConnections;

/**
 * Ports through which a {@link RoutingDaemon} uses the platform.
 *
 * @param routes the source of the operators' configuration
 * @param instances the source of the instance list
 * @param lease the planner's lease
 * @param orders the sender of orders to instances
 * @param dialect the mapping of the headers of callers and targets
 * @param targetConnections the connections to targets
 * @param evacuations the source of the operators' requests to evacuate availability zones
 */
public record RoutingPorts(RouteSource routes, InstanceSource instances, PlannerLease lease, OrderSender orders,
		RelayProtocol dialect, TargetConnections targetConnections, EvacuationSource evacuations) {

}
