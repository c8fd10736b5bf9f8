package org.pistachioline.core.backoff;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The instances that want no requests of this daemon. One thread calls it.
 * <p>
 * What an instance asked is kept where it is no target for a while: a head that leaves
 * its group is soon the head of another, and the platform's list may show again an
 * instance that left. Ids of instances are new with each start, so the oldest are
 * forgotten in the end.
 */
public final class BackoffRegistry {

	private static final int MAX_RETAINED = 4_096;

	private final Map<String, InstanceBackoff> backoffs = new LinkedHashMap<>();

	/**
	 * Returns the backoff of an instance, whether it has asked for one or not.
	 * @param instanceId the instance
	 * @return its backoff
	 */
	public InstanceBackoff getOrCreate(String instanceId) {
		return this.backoffs.computeIfAbsent(instanceId, InstanceBackoff::new);
	}

	/**
	 * Takes word that an instance wants nothing for a while.
	 * @param nowNanos the monotonic time
	 * @param instanceId the instance
	 * @param forNanos for how long
	 * @return whether it wanted requests before
	 */
	public boolean onBackoff(long nowNanos, String instanceId, long forNanos) {
		return getOrCreate(instanceId).extend(nowNanos, forNanos);
	}

	/**
	 * Takes word that an instance leaves.
	 * @param instanceId the instance
	 * @return whether that is news
	 */
	public boolean onLeaving(String instanceId) {
		return getOrCreate(instanceId).markLeaving();
	}

	/**
	 * Returns whether an instance leaves.
	 * @param instanceId the instance
	 * @return whether it has said so
	 */
	public boolean isLeaving(String instanceId) {
		final InstanceBackoff known = this.backoffs.get(instanceId);
		return known != null && known.isLeaving();
	}

	/**
	 * Returns whether an instance wants no requests.
	 * @param nowNanos the monotonic time
	 * @param instanceId the instance
	 * @return whether it rests or leaves
	 */
	public boolean isActive(long nowNanos, String instanceId) {
		final InstanceBackoff known = this.backoffs.get(instanceId);
		return known != null && known.isActive(nowNanos);
	}

	/**
	 * Forgets the instances that are no targets and have asked for nothing that still
	 * holds.
	 * @param nowNanos the monotonic time
	 * @param instanceIds those that are targets
	 */
	public void retain(long nowNanos, Set<String> instanceIds) {
		this.backoffs.entrySet()
			.removeIf((entry) -> !instanceIds.contains(entry.getKey()) && !entry.getValue().isActive(nowNanos));
		final Iterator<String> oldest = this.backoffs.keySet().iterator();
		while (this.backoffs.size() > Math.max(MAX_RETAINED, instanceIds.size()) && oldest.hasNext()) {
			if (!instanceIds.contains(oldest.next())) {
				oldest.remove();
			}
		}
	}

	/**
	 * Describes the backoffs that hold, for operators.
	 * @param nowNanos the monotonic time
	 * @return the backoffs
	 */
	public List<BackoffReport> reports(long nowNanos) {
		return this.backoffs.values()
			.stream()
			.filter((known) -> known.isActive(nowNanos))
			.map((known) -> known.report(nowNanos))
			.toList();
	}

}
