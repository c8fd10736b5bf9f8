package org.pistachioline.daemon.port;

import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

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
	void setRouteListener(Consumer<RouteTable> receiver);

	/**
	 * Sets what tells of the other daemons; called before the start. Where there are many
	 * of them each asks the platform more seldom, and whoever hears that another has a
	 * newer version asks at once.
	 * @param daemons returns how many daemons live, this one included
	 * @param newestVersion returns the newest version that is in force on another
	 */
	void setFleetView(IntSupplier daemons, LongSupplier newestVersion);

}
