package org.pistachioline.core.limit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;

import org.pistachioline.core.placement.LiveDaemons;

/**
 * The limits that instances name.
 * <p>
 * An instance names a limit in each answer for as long as it holds. One answer without it
 * ends it, but only if its request was sent after the limit was last heard: answers on
 * different connections overtake each other. Daemons tell each other what they heard
 * last, so that those who send nothing there hear of the end.
 */
public final class LimitRegistry {

	/** A head that leaves its group is soon the head of another. */
	private static final long RETENTION_NANOS = 60_000_000_000L;

	private final Map<String, InstanceLimit> limits = new HashMap<>();

	private LiveDaemons daemons = LiveDaemons.ALONE;

	/**
	 * Returns the limit of an instance, whether it names one or not.
	 * @param instanceId the instance
	 * @return its limit
	 */
	public InstanceLimit getOrCreate(String instanceId) {
		return this.limits.computeIfAbsent(instanceId, (id) -> new InstanceLimit(id, this.daemons));
	}

	/**
	 * Takes what an instance said in an answer.
	 * @param nowNanos the monotonic time
	 * @param sentAtNanos when the answer's request was sent
	 * @param instanceId the instance
	 * @param requestsPerSecond the limit that it named; empty where it named none
	 * @return whether that changes anything
	 */
	public boolean onResponse(long nowNanos, long sentAtNanos, String instanceId, OptionalDouble requestsPerSecond) {
		final InstanceLimit known = this.limits.get(instanceId);
		if (known == null) {
			return false;
		}
		final boolean overtaken = requestsPerSecond.isEmpty() && sentAtNanos - known.latest().receivedAtNanos() < 0;
		return !overtaken && known.update(nowNanos, new AdvertisedLimit(instanceId, requestsPerSecond, nowNanos));
	}

	/**
	 * Takes what another daemon told.
	 * @param nowNanos the monotonic time
	 * @param stated what instances said there, or farther away
	 * @return those that change anything
	 */
	public List<AdvertisedLimit> onPeerLimits(long nowNanos, List<AdvertisedLimit> stated) {
		return stated.stream().filter((heard) -> getOrCreate(heard.instanceId()).onPeerLimit(nowNanos, heard)).toList();
	}

	/**
	 * Returns what other daemons are to be told.
	 * @param nowNanos the monotonic time
	 * @return what each instance said last that names a limit, or did so lately; the
	 * newest first
	 */
	public List<AdvertisedLimit> latestLimits(long nowNanos) {
		return this.limits.values()
			.stream()
			.filter((known) -> known.shouldGossip(nowNanos))
			.map(InstanceLimit::latest)
			.sorted((first, second) -> Long.compare(second.receivedAtNanos() - first.receivedAtNanos(), 0))
			.toList();
	}

	/**
	 * Takes over which daemons share the limits.
	 * @param nowNanos the monotonic time
	 * @param live the live daemons
	 */
	public void onLiveDaemons(long nowNanos, LiveDaemons live) {
		if (!live.equals(this.daemons)) {
			this.daemons = live;
			this.limits.values().forEach((known) -> known.onLiveDaemons(nowNanos, live));
		}
	}

	/**
	 * Forgets the instances that have been gone for long.
	 * @param nowNanos the monotonic time
	 * @param instanceIds those that are there
	 */
	public void retain(long nowNanos, Set<String> instanceIds) {
		this.limits.entrySet()
			.removeIf((entry) -> !instanceIds.contains(entry.getKey()) && (!entry.getValue().isLimited()
					|| nowNanos - entry.getValue().latest().receivedAtNanos() > RETENTION_NANOS));
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
