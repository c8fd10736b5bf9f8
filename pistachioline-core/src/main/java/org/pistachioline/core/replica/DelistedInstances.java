package org.pistachioline.core.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Remembers instances for a while after the list has dropped them.
 * <p>
 * A head that merely lost the way to the store drops from the list and serves on. A
 * daemon that becomes the planner afterwards sees only the other members. It has to know
 * who their head was and where, to ask it before it takes them. Every daemon keeps this
 * memory, as any may become the planner.
 */
public final class DelistedInstances {

	/**
	 * Longer than any head was seen to serve on without the store, several times over.
	 */
	private static final long RETENTION_NANOS = 60_000_000_000L;

	private final Map<String, ServingInstance> listed = new HashMap<>();

	private final Map<String, Delisted> delisted = new HashMap<>();

	/**
	 * Takes the list.
	 * @param nowNanos the monotonic time
	 * @param instances all listed instances
	 */
	public void update(long nowNanos, Collection<ServingInstance> instances) {
		final Set<String> now = new HashSet<>();
		instances.forEach((instance) -> {
			now.add(instance.id());
			this.delisted.remove(instance.id());
		});
		this.listed.forEach((id, instance) -> {
			if (!now.contains(id)) {
				this.delisted.put(id, new Delisted(instance, nowNanos));
			}
		});
		this.listed.clear();
		instances.forEach((instance) -> this.listed.put(instance.id(), instance));
		this.delisted.values().removeIf((gone) -> nowNanos - gone.sinceNanos() > RETENTION_NANOS);
	}

	/**
	 * Returns the instances that were dropped lately.
	 * @return each as it was listed last
	 */
	public List<ServingInstance> instances() {
		final List<ServingInstance> instances = new ArrayList<>();
		this.delisted.values().forEach((gone) -> instances.add(gone.instance()));
		return instances;
	}

	private record Delisted(ServingInstance instance, long sinceNanos) {

	}

}
