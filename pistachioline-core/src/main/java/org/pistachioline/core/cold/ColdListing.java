package org.pistachioline.core.cold;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.pistachioline.core.replica.ServingInstance;
import org.pistachioline.core.route.ColdStart;
import org.pistachioline.core.route.RouteTable;
import org.pistachioline.core.route.ServiceSpec;

/**
 * Finds the cold instances in the instance list.
 * <p>
 * An entry says how long its instance stays cold as of the time when it was written. An
 * instance that takes the place of another one at the same address follows a crash and
 * counts as cold from when it is first seen, unless its entry says how long it is.
 */
public final class ColdListing {

	/** How long an address is remembered after its instance was last listed. */
	private static final long ADDRESS_RETENTION_NANOS = 60_000_000_000L;

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final Map<String, ServingInstance> lastEntries = new HashMap<>();

	private final Map<String, Occupant> occupants = new HashMap<>();

	/**
	 * Applies the instance list.
	 * @param nowNanos the monotonic time
	 * @param table the configuration in force
	 * @param instances all listed instances
	 * @return the instances whose new entries show that they are cold
	 */
	public List<ColdTarget> onInstances(long nowNanos, RouteTable table, List<ServingInstance> instances) {
		final List<ColdTarget> found = new ArrayList<>();
		final Map<String, ServingInstance> entries = new HashMap<>();
		for (final ServingInstance instance : instances) {
			final Optional<ColdStart> coldStart = table.service(instance.service()).flatMap(ServiceSpec::coldStart);
			if (coldStart.isEmpty()) {
				continue;
			}
			final long coldMillis = coldMillis(instance, coldStart.get());
			if (coldMillis > 0) {
				found.add(new ColdTarget(instance.id(), nowNanos + coldMillis * NANOS_PER_MILLI));
			}
			entries.put(instance.id(), instance);
			this.occupants.put(instance.address(), new Occupant(instance.id(), nowNanos));
		}
		this.lastEntries.clear();
		this.lastEntries.putAll(entries);
		this.occupants.values().removeIf((occupant) -> nowNanos - occupant.seenAtNanos() > ADDRESS_RETENTION_NANOS);
		return found;
	}

	private long coldMillis(ServingInstance instance, ColdStart coldStart) {
		// Compared by identity: an equal entry may announce another cold time.
		if (this.lastEntries.get(instance.id()) == instance) {
			return 0;
		}
		if (instance.coldRemainingMillis() > 0) {
			return instance.coldRemainingMillis();
		}
		final Occupant previous = this.occupants.get(instance.address());
		// Both lives may be listed for a while, so one that was listed before replaces
		// none.
		final boolean replaces = previous != null && !previous.instanceId().equals(instance.id())
				&& !this.lastEntries.containsKey(instance.id());
		return replaces ? coldStart.durationMillis() : 0;
	}

	/**
	 * The instance that was last seen at an address.
	 *
	 * @param instanceId the instance
	 * @param seenAtNanos when it was last listed, by the monotonic clock
	 */
	private record Occupant(String instanceId, long seenAtNanos) {

	}

}
