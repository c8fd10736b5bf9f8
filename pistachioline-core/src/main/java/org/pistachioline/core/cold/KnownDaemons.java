package org.pistachioline.core.cold;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.pistachioline.core.placement.LiveDaemons;

/**
 * The daemons among which the permits of cold targets are divided.
 * <p>
 * A daemon that falls silent may be cut off and still send requests. It therefore keeps
 * its permits for ten minutes, unless it announced that it is leaving. Both sides of a
 * partition then divide the permits alike. A daemon that has just started holds none
 * until it has had time to learn of the others and they of it.
 */
final class KnownDaemons {

	private static final long SILENT_RETENTION_NANOS = 600_000_000_000L;

	/**
	 * How long the permits of a leaving daemon stay unused; exceeds the time by which one
	 * daemon learns of its departure before another one.
	 */
	private static final long LEAVING_RETENTION_NANOS = 3_000_000_000L;

	/**
	 * Time after the start in which all others learn of this daemon and the interval of
	 * their last start passes.
	 */
	private static final long START_DELAY_NANOS = 4_000_000_000L;

	/**
	 * Time without a newly discovered daemon after which most daemons are known.
	 */
	private static final long DISCOVERY_QUIET_NANOS = 3_000_000_000L;

	private final Map<String, Long> lastSeenNanos = new HashMap<>();

	private final Map<String, Long> leavingSinceNanos = new HashMap<>();

	private String selfId = "";

	private Set<String> ids = Set.of();

	private boolean started;

	private long startedAtNanos;

	private long discoveredAtNanos;

	private boolean settled;

	private boolean expectsPeers;

	/**
	 * Declares that the fleet has other daemons, so that this one is not alone even if it
	 * has met none.
	 */
	void expectPeers() {
		this.expectsPeers = true;
	}

	/**
	 * Applies the daemons that are known at present.
	 * @param nowNanos the monotonic time
	 * @param live the live daemons that are not leaving
	 * @return whether the daemons that share the permits changed
	 */
	boolean onLiveDaemons(long nowNanos, LiveDaemons live) {
		if (!this.started) {
			this.started = true;
			this.startedAtNanos = nowNanos;
		}
		this.selfId = live.selfId();
		for (final String id : live.ids()) {
			if (this.lastSeenNanos.put(id, nowNanos) == null) {
				this.discoveredAtNanos = nowNanos;
			}
			if (!id.equals(this.selfId)) {
				this.leavingSinceNanos.remove(id);
			}
		}
		return removeGone(nowNanos);
	}

	/**
	 * Applies the daemons that announced that they are leaving.
	 * @param nowNanos the monotonic time
	 * @param leavingIds the leaving daemons, possibly this one
	 * @return whether the daemons that share the permits changed
	 */
	boolean onLeavingDaemons(long nowNanos, Set<String> leavingIds) {
		leavingIds.forEach((id) -> this.leavingSinceNanos.putIfAbsent(id, nowNanos));
		return removeGone(nowNanos);
	}

	private boolean removeGone(long nowNanos) {
		this.leavingSinceNanos.forEach((id, sinceNanos) -> {
			if (nowNanos - sinceNanos >= LEAVING_RETENTION_NANOS) {
				this.lastSeenNanos.remove(id);
			}
		});
		this.lastSeenNanos.values().removeIf((seenAtNanos) -> nowNanos - seenAtNanos > SILENT_RETENTION_NANOS);
		if (this.ids.equals(this.lastSeenNanos.keySet())) {
			return false;
		}
		this.ids = new TreeSet<>(this.lastSeenNanos.keySet());
		this.leavingSinceNanos.keySet().retainAll(retainedLeaving());
		return true;
	}

	// What this daemon itself announced holds until its end.
	private Set<String> retainedLeaving() {
		final Set<String> retained = new HashSet<>(this.ids);
		retained.add(this.selfId);
		return retained;
	}

	/**
	 * Returns whether this daemon may use its permits.
	 * @param nowNanos the monotonic time
	 * @return false if it has just started, is leaving, or has met none of the others
	 */
	boolean mayUsePermits(long nowNanos) {
		if (!this.settled) {
			this.settled = this.started && nowNanos - this.startedAtNanos >= START_DELAY_NANOS
					&& nowNanos - this.discoveredAtNanos >= DISCOVERY_QUIET_NANOS;
		}
		final boolean isolated = this.expectsPeers && this.ids.size() <= 1;
		return this.settled && !isolated && !this.leavingSinceNanos.containsKey(this.selfId);
	}

	/**
	 * Returns the daemons that share the permits.
	 * @return this daemon and all others
	 */
	LiveDaemons daemons() {
		return new LiveDaemons(this.selfId, this.ids);
	}

}
