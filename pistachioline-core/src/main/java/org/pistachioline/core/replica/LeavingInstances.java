package org.pistachioline.core.replica;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Records the instances that have announced that they are leaving.
 * <p>
 * The instance list may not show it yet, and some instances never report it there; if an
 * instance's update to the list was lost, the list may even show it as ready again. What
 * an instance itself announced is valid for the lifetime of its id.
 */
public final class LeavingInstances {

	/**
	 * Each start creates a new id, so the oldest ids belong to instances that no longer
	 * exist.
	 */
	private static final int MAX_RETAINED = 4_096;

	private final Set<String> ids = new LinkedHashSet<>();

	/**
	 * Records that an instance is leaving.
	 * @param instanceId the instance
	 * @return whether this was not known before
	 */
	public boolean add(String instanceId) {
		final boolean added = this.ids.add(instanceId);
		if (this.ids.size() > MAX_RETAINED) {
			final Iterator<String> oldest = this.ids.iterator();
			oldest.next();
			oldest.remove();
		}
		return added;
	}

	/**
	 * Overrides the draining state of the listed instances that have announced that they
	 * are leaving.
	 * @param listed the listed instances
	 * @return the same instances, with the leaving ones marked as draining
	 */
	public List<ServingInstance> markDraining(List<ServingInstance> listed) {
		if (this.ids.isEmpty()) {
			return listed;
		}
		return listed.stream()
			.map((instance) -> this.ids.contains(instance.id()) ? instance.asDraining() : instance)
			.toList();
	}

}
