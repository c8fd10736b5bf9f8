package org.pistachioline.daemon.relay;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.pistachioline.core.route.RouteTable;

/**
 * Supplies the active configuration and remembers when its version was first seen, which
 * is later than its arrival by at most the interval between two calls. Not thread-safe:
 * all calls come from the event loop.
 */
final class ConfigurationAge implements Supplier<RouteTable> {

	private final Supplier<RouteTable> routes;

	private final LongSupplier nanoClock;

	private long version;

	private long seenAtNanos;

	/**
	 * Creates the supplier.
	 * @param routes supplies the active configuration
	 * @param nanoClock the monotonic time, in nanoseconds
	 */
	ConfigurationAge(Supplier<RouteTable> routes, LongSupplier nanoClock) {
		this.routes = routes;
		this.nanoClock = nanoClock;
		this.seenAtNanos = nanoClock.getAsLong();
	}

	@Override
	public RouteTable get() {
		final RouteTable table = this.routes.get();
		if (table.version() != this.version) {
			this.version = table.version();
			this.seenAtNanos = this.nanoClock.getAsLong();
		}
		return table;
	}

	/**
	 * Returns how long the active configuration has been in force on this daemon.
	 * @return the time, in milliseconds; since the start if no configuration is known
	 */
	long ageMillis() {
		get();
		return TimeUnit.NANOSECONDS.toMillis(this.nanoClock.getAsLong() - this.seenAtNanos);
	}

}
