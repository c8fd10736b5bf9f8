package org.pistachioline.core.replica;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The instances that have said that they leave.
 * <p>
 * The list may not show it yet, and some instances never tell it; it may even show an
 * instance as ready again whose word to the list was lost. What an instance said itself
 * holds for as long as its id does.
 */
public final class LeavingInstances {

	/** Ids are new with each start, so the oldest belong to instances long gone. */
	private static final int MAX_RETAINED = 4_096;

	private final Set<String> ids = new LinkedHashSet<>();

	/**
	 * Notes that an instance leaves.
	 * @param instanceId the instance
	 * @return whether that is news
	 */
	public boolean add(String instanceId) {
		final boolean news = this.ids.add(instanceId);
		if (this.ids.size() > MAX_RETAINED) {
			final Iterator<String> oldest = this.ids.iterator();
			oldest.next();
			oldest.remove();
		}
		return news;
	}

	/**
	 * Puts right what the list says.
	 * @param listed the listed instances
	 * @return the same instances, with those that leave shown as draining
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
