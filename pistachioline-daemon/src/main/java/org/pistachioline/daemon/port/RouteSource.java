package org.pistachioline.daemon.port;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

import org.pistachioline.core.route.RouteTable;
import org.pistachioline.daemon.Lifecycle;

/**
 * Follows the operators' configuration. Each version is delivered completely, and never
 * after a newer one.
 */
public interface RouteSource extends Lifecycle {

	/**
	 * Sets the receiver of each new configuration. Must be called before the start.
	 * @param receiver receives the routes; must not block
	 */
	void setRouteListener(Consumer<RouteTable> receiver);

	/**
	 * Sets the view of the other daemons. Must be called before the start. The more
	 * daemons are live, the less often each one polls the platform; a daemon that learns
	 * of a newer version on another daemon reads it at once.
	 * @param liveDaemons returns the number of live daemons, this one included
	 * @param newestVersion returns the newest version that is in force on another daemon
	 */
	void setFleetView(IntSupplier liveDaemons, LongSupplier newestVersion);

	/**
	 * Returns whether the platform failed to answer a read lately, so that reads of other
	 * daemons may still be without an answer. Any thread may ask.
	 * @return whether other daemons should be told of what this one has read
	 */
	boolean isInterrupted();

	/**
	 * Returns the configuration in force, for daemons that the platform does not provide
	 * it to. Any thread may ask.
	 * @return the copy; empty if no configuration is known
	 */
	Optional<ConfigurationCopy> copy();

	/**
	 * Takes a configuration from another daemon. It is checked like one that was read
	 * from the platform, and delivered if it is newer than the one in force. Any thread
	 * may call it; it does not block.
	 * @param copy the configuration
	 * @param daemonId the other daemon
	 */
	void offer(ConfigurationCopy copy, String daemonId);

	/**
	 * Returns how long the platform has not answered the present read. A read waits for a
	 * change, so this is no failure by itself.
	 * @return the time, in milliseconds; -1 if no read is pending
	 */
	long pendingReadMillis();

}
