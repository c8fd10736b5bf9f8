package org.pistachioline.core.backoff;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The backoffs that instances requested of this daemon. Not thread-safe.
 * <p>
 * A backoff is kept while its instance is not a target: the head of a dissolved group
 * usually soon heads another, and the platform's list may again show an instance that has
 * left. Instance ids are new with each start, so the oldest entries are evicted when
 * there are too many.
 */
public final class BackoffRegistry {

	private static final int MAX_RETAINED = 4_096;

	private final Map<String, InstanceBackoff> backoffs = new LinkedHashMap<>();

	/**
	 * Returns the state of an instance, which may have no backoff in force.
	 * @param instanceId the instance
	 * @return its backoff
	 */
	public InstanceBackoff getOrCreate(String instanceId) {
		return this.backoffs.computeIfAbsent(instanceId, InstanceBackoff::new);
	}

	/**
	 * Records that an instance requested a backoff.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @param instanceId the instance
	 * @param durationNanos the duration in nanoseconds
	 * @return true if no backoff was in force before
	 */
	public boolean onBackoff(long nowNanos, String instanceId, long durationNanos) {
		return getOrCreate(instanceId).extend(nowNanos, durationNanos);
	}

	/**
	 * Records that an instance announced that it is leaving.
	 * @param instanceId the instance
	 * @return true if this was not known
	 */
	public boolean onLeaving(String instanceId) {
		return getOrCreate(instanceId).markLeaving();
	}

	/**
	 * Returns whether an instance announced that it is leaving.
	 * @param instanceId the instance
	 * @return true if it is leaving
	 */
	public boolean isLeaving(String instanceId) {
		final InstanceBackoff backoff = this.backoffs.get(instanceId);
		return backoff != null && backoff.isLeaving();
	}

	/**
	 * Returns whether an instance is to receive no requests.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @param instanceId the instance
	 * @return true if a backoff is in force or the instance is leaving
	 */
	public boolean isActive(long nowNanos, String instanceId) {
		final InstanceBackoff backoff = this.backoffs.get(instanceId);
		return backoff != null && backoff.isActive(nowNanos);
	}

	/**
	 * Removes instances that are not targets and have no backoff in force, then the
	 * oldest entries beyond the size bound.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @param instanceIds the instances that are targets
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
	 * Returns the backoffs in force, as shown to operators.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the reports
	 */
	public List<BackoffReport> reports(long nowNanos) {
		return this.backoffs.values()
			.stream()
			.filter((backoff) -> backoff.isActive(nowNanos))
			.map((backoff) -> backoff.report(nowNanos))
			.toList();
	}

}
