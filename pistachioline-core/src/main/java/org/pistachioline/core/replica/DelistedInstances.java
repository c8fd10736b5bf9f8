package org.pistachioline.core.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Remembers instances for some time after they have disappeared from the instance list.
 * <p>
 * A head that merely loses its connection to the store is delisted but continues to
 * serve. A daemon that becomes the planner afterwards sees only the other members, and
 * needs the identity and address of their head so that it can contact the head before it
 * reassigns them. Every daemon keeps this record, as any of them may become the planner.
 */
public final class DelistedInstances {

	/**
	 * Several times longer than any head has been observed to serve without the store.
	 */
	private static final long RETENTION_NANOS = 60_000_000_000L;

	private final Map<String, ServingInstance> listed = new HashMap<>();

	private final Map<String, Delisted> delisted = new HashMap<>();

	/**
	 * Replaces the instance list and records the instances that are no longer in it.
	 * @param nowNanos the monotonic time
	 * @param instances all listed instances
	 */
	public void update(long nowNanos, Collection<ServingInstance> instances) {
		final Set<String> listedIds = new HashSet<>();
		instances.forEach((instance) -> {
			listedIds.add(instance.id());
			this.delisted.remove(instance.id());
		});
		this.listed.forEach((id, instance) -> {
			if (!listedIds.contains(id)) {
				this.delisted.put(id, new Delisted(instance, nowNanos));
			}
		});
		this.listed.clear();
		instances.forEach((instance) -> this.listed.put(instance.id(), instance));
		this.delisted.values().removeIf((entry) -> nowNanos - entry.sinceNanos() > RETENTION_NANOS);
	}

	/**
	 * Returns the instances that were delisted within the retention period.
	 * @return each instance as it was last listed
	 */
	public List<ServingInstance> instances() {
		final List<ServingInstance> instances = new ArrayList<>();
		this.delisted.values().forEach((entry) -> instances.add(entry.instance()));
		return instances;
	}

	private record Delisted(ServingInstance instance, long sinceNanos) {

	}

}
