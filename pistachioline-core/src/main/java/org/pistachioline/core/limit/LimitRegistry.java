package org.pistachioline.core.limit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;

import org.pistachioline.core.cold.ColdRegistry;
import org.pistachioline.core.placement.LiveDaemons;

/**
 * The rate limits that instances advertise.
 * <p>
 * An instance advertises its limit in every response while the limit is in force. One
 * response without it ends the limit, but only if its request was sent after the limit
 * was last received, since responses on different connections may arrive out of order.
 * Daemons gossip the latest state, so that those which send nothing to an instance learn
 * of the end as well.
 */
public final class LimitRegistry {

	/**
	 * How long the limit of an instance that is no longer a target is retained after it
	 * was last received; the head of a dissolved group usually soon heads another.
	 */
	private static final long RETENTION_NANOS = 60_000_000_000L;

	private final Map<String, InstanceLimit> limits = new HashMap<>();

	private final ColdRegistry cold = new ColdRegistry();

	private LiveDaemons daemons = LiveDaemons.ALONE;

	/**
	 * Returns the instances that are limited because they are cold.
	 * @return the cold instances
	 */
	public ColdRegistry cold() {
		return this.cold;
	}

	/**
	 * Returns the state of an instance, which may have no limit in force.
	 * @param instanceId the instance
	 * @return its limit
	 */
	public InstanceLimit getOrCreate(String instanceId) {
		return this.limits.computeIfAbsent(instanceId,
				(id) -> new InstanceLimit(id, this.daemons, this.cold.getOrCreate(id)));
	}

	/**
	 * Applies what an instance advertised in a response.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @param sentAtNanos when the request of the response was sent
	 * @param instanceId the instance
	 * @param requestsPerSecond the advertised limit; empty if the response had none
	 * @return true if the limit changed
	 */
	public boolean onResponse(long nowNanos, long sentAtNanos, String instanceId, OptionalDouble requestsPerSecond) {
		final InstanceLimit limit = this.limits.get(instanceId);
		if (limit == null) {
			return false;
		}
		final boolean outdated = requestsPerSecond.isEmpty() && sentAtNanos - limit.latest().receivedAtNanos() < 0;
		return !outdated && limit.update(nowNanos, new AdvertisedLimit(instanceId, requestsPerSecond, nowNanos));
	}

	/**
	 * Applies limits received from a peer.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @param peerLimits the limits known to the peer
	 * @return those that changed a limit
	 */
	public List<AdvertisedLimit> onPeerLimits(long nowNanos, List<AdvertisedLimit> peerLimits) {
		return peerLimits.stream()
			.filter((received) -> getOrCreate(received.instanceId()).onPeerLimit(nowNanos, received))
			.toList();
	}

	/**
	 * Returns the limits to gossip.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the latest state of each instance with a limit that is in force or ended
	 * recently, newest first
	 */
	public List<AdvertisedLimit> latestLimits(long nowNanos) {
		return this.limits.values()
			.stream()
			.filter((limit) -> limit.shouldGossip(nowNanos))
			.map(InstanceLimit::latest)
			.sorted((first, second) -> Long.compare(second.receivedAtNanos() - first.receivedAtNanos(), 0))
			.toList();
	}

	/**
	 * Recomputes all shares if the live daemons changed.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @param live the live daemons
	 */
	public void onLiveDaemons(long nowNanos, LiveDaemons live) {
		this.cold.onLiveDaemons(nowNanos, live);
		if (!live.equals(this.daemons)) {
			this.daemons = live;
			this.limits.values().forEach((limit) -> limit.onLiveDaemons(nowNanos, live));
		}
	}

	/**
	 * Removes instances that are no longer targets and have no recent limit.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @param instanceIds the instances to keep
	 */
	public void retain(long nowNanos, Set<String> instanceIds) {
		this.limits.entrySet()
			.removeIf((entry) -> !instanceIds.contains(entry.getKey()) && (!entry.getValue().isAdvertised()
					|| nowNanos - entry.getValue().latest().receivedAtNanos() > RETENTION_NANOS));
		this.cold.retain(this.limits.keySet());
	}

	/**
	 * Returns the limits in force, as shown to operators.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the reports
	 */
	public List<LimitReport> reports(long nowNanos) {
		return this.limits.values()
			.stream()
			.filter(InstanceLimit::isAdvertised)
			.map((limit) -> limit.report(nowNanos))
			.toList();
	}

}
