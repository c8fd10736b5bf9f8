package org.pistachioline.daemon.port;

import java.util.function.Consumer;

import org.pistachioline.core.route.RouteTable;
import org.pistachioline.daemon.Lifecycle;

/**
 * Follows the operators' configuration. A version is told as a whole, and never one that
 * is older than one told before.
 */
public interface RouteSource extends Lifecycle {

	/**
	 * Sets what takes each new configuration; called before the start.
	 * @param receiver takes it; it must not block
	 */
	void onRoutes(Consumer<RouteTable> receiver);

}
