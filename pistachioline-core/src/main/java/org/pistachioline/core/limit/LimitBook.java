package org.pistachioline.core.limit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;

/**
 * The limits that instances name.
 * <p>
 * An instance names a limit in each answer for as long as it holds. One answer without it
 * ends it, but only if its request was sent after the limit was last heard: answers on
 * different connections overtake each other.
 */
public final class LimitBook {

	private final Map<String, InstanceLimit> limits = new HashMap<>();

	/**
	 * Takes what an instance said in an answer.
	 * @param nowNanos the monotonic time
	 * @param sentAtNanos when the answer's request was sent
	 * @param instanceId the instance
	 * @param requestsPerSecond the limit that it named; empty where it named none
	 * @return whether that changes anything
	 */
	public boolean onAnswer(long nowNanos, long sentAtNanos, String instanceId, OptionalDouble requestsPerSecond) {
		final StatedLimit word = new StatedLimit(instanceId, requestsPerSecond, nowNanos);
		final InstanceLimit known = this.limits.get(instanceId);
		if (known == null) {
			if (requestsPerSecond.isPresent()) {
				this.limits.put(instanceId, new InstanceLimit(word));
			}
			return requestsPerSecond.isPresent();
		}
		final boolean overtaken = requestsPerSecond.isEmpty() && sentAtNanos - known.stated().heardAtNanos() < 0;
		return !overtaken && known.hear(word);
	}

	/**
	 * Counts an attempt that starts.
	 * @param nowNanos the monotonic time
	 * @param instanceId the instance that it goes to
	 */
	public void onStart(long nowNanos, String instanceId) {
		final InstanceLimit known = this.limits.get(instanceId);
		if (known != null && known.isLimited()) {
			known.onStart(nowNanos);
		}
	}

	/**
	 * Forgets the instances that are gone.
	 * @param instanceIds those that are known
	 */
	public void retain(Set<String> instanceIds) {
		this.limits.keySet().retainAll(instanceIds);
	}

	/**
	 * Describes the limits that hold, for operators.
	 * @param nowNanos the monotonic time
	 * @return the limits
	 */
	public List<LimitReport> reports(long nowNanos) {
		return this.limits.values()
			.stream()
			.filter(InstanceLimit::isLimited)
			.map((known) -> known.report(nowNanos))
			.toList();
	}

}
