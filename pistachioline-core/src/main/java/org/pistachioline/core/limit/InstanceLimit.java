package org.pistachioline.core.limit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalDouble;

import org.pistachioline.core.placement.LiveDaemons;

/**
 * The limit of one instance, and when this daemon may start its next attempt there.
 * <p>
 * A daemon that holds permits starts attempts at their part of the limit, evenly spaced,
 * and saves up next to nothing: what each saves up, all would send together. One that
 * holds none starts one attempt only when nobody has told of the instance for long. Else
 * a limit that is over would hold for ever where the holders have no callers.
 */
public final class InstanceLimit {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private static final double NANOS_PER_SECOND = 1e9;

	private static final long REPORT_WINDOW_NANOS = 4_000_000_000L;

	/** How long the end of a limit is told to other daemons. */
	private static final long END_GOSSIP_NANOS = 30_000_000_000L;

	/** More than a heartbeat takes from daemon to daemon. */
	private static final long PEER_TIME_ERROR_NANOS = 500_000_000L;

	/** Makes up for attempts that start a tick late. */
	private static final long MAX_LATENESS_NANOS = 200_000_000L;

	/** For how many requests' time nothing is heard before one without permits asks. */
	private static final double PROBE_QUIET_REQUESTS = 5;

	/**
	 * Where daemons tell each other nothing, those without permits add an eighth at most.
	 */
	private static final double PROBE_SPREAD_REQUESTS = 16;

	/** The rate at which an instance is asked that takes less, or nothing. */
	private static final double MIN_PROBES_PER_SECOND = 0.1;

	private final String instanceId;

	private final Deque<Long> recentStartsNanos = new ArrayDeque<>();

	private AdvertisedLimit latest;

	private boolean hasBeenLimited;

	private LiveDaemons daemons;

	private double ownRequestsPerSecond;

	private long scheduledStartNanos;

	private long lastStartNanos;

	private long drawCount;

	/**
	 * Creates the limit of an instance that has named none.
	 * @param instanceId the instance
	 * @param daemons the live daemons
	 */
	public InstanceLimit(String instanceId, LiveDaemons daemons) {
		this.instanceId = instanceId;
		this.daemons = daemons;
		this.latest = new AdvertisedLimit(instanceId, OptionalDouble.empty(), 0);
	}

	AdvertisedLimit latest() {
		return this.latest;
	}

	/**
	 * Returns whether the instance names a limit.
	 * @return whether it does
	 */
	public boolean isLimited() {
		return this.latest.requestsPerSecond().isPresent();
	}

	/**
	 * Returns whether other daemons are to be told: of a limit that holds, and of one
	 * that ended lately.
	 * @param nowNanos the monotonic time
	 * @return whether they are
	 */
	boolean shouldGossip(long nowNanos) {
		return isLimited() || (this.hasBeenLimited && nowNanos - this.latest.receivedAtNanos() < END_GOSSIP_NANOS);
	}

	/**
	 * Takes what another daemon told. Its time is known less exactly than that of an
	 * answer, and what this daemon told itself comes back a little newer than it was.
	 * @param nowNanos the monotonic time
	 * @param heard what the instance said
	 * @return whether it says something else than the last
	 */
	boolean onPeerLimit(long nowNanos, AdvertisedLimit heard) {
		final boolean newer = !this.hasBeenLimited
				|| heard.receivedAtNanos() - this.latest.receivedAtNanos() > PEER_TIME_ERROR_NANOS;
		final boolean meant = this.hasBeenLimited || heard.requestsPerSecond().isPresent();
		return newer && meant && update(nowNanos, heard);
	}

	/**
	 * Returns how many requests the instance takes from all daemons together.
	 * @return the requests a second; 0 where it names no limit
	 */
	public double requestsPerSecond() {
		return this.latest.requestsPerSecond().orElse(0);
	}

	/**
	 * Returns this daemon's part of the limit.
	 * @return the requests a second
	 */
	public double ownRequestsPerSecond() {
		return this.ownRequestsPerSecond;
	}

	/**
	 * Takes what the instance said last.
	 * @param nowNanos the monotonic time
	 * @param heard what the instance said
	 * @return whether it says something else than the last
	 */
	boolean update(long nowNanos, AdvertisedLimit heard) {
		final OptionalDouble before = this.latest.requestsPerSecond();
		this.latest = heard;
		this.hasBeenLimited |= heard.requestsPerSecond().isPresent();
		if (before.equals(heard.requestsPerSecond())) {
			return false;
		}
		if (before.isEmpty()) {
			this.lastStartNanos = nowNanos;
			this.scheduledStartNanos = nowNanos + probeDelayNanos();
			this.ownRequestsPerSecond = 0;
		}
		updateShare(nowNanos);
		return true;
	}

	/**
	 * Takes over which daemons share the limit.
	 * @param nowNanos the monotonic time
	 * @param live the live daemons
	 */
	void onLiveDaemons(long nowNanos, LiveDaemons live) {
		this.daemons = live;
		updateShare(nowNanos);
	}

	private void updateShare(long nowNanos) {
		if (!isLimited()) {
			return;
		}
		final int permits = PermitAllocation.permitCount(requestsPerSecond());
		final double part = requestsPerSecond() * PermitAllocation.countHeld(this.daemons, this.instanceId, permits)
				/ permits;
		if (part == this.ownRequestsPerSecond) {
			return;
		}
		final boolean heldBefore = this.ownRequestsPerSecond > 0;
		this.ownRequestsPerSecond = part;
		if (part == 0) {
			this.scheduledStartNanos = this.lastStartNanos + probeDelayNanos();
		}
		else if (heldBefore) {
			this.scheduledStartNanos = this.lastStartNanos + spacingNanos();
		}
		else {
			// The former holder may have used the permit just now.
			this.scheduledStartNanos = nowNanos + (long) ((1 + nextDraw()) / 2 * spacingNanos());
		}
	}

	private long spacingNanos() {
		return (long) (NANOS_PER_SECOND / this.ownRequestsPerSecond);
	}

	private long probeDelayNanos() {
		final double perSecond = Math.max(MIN_PROBES_PER_SECOND, requestsPerSecond());
		final double requests = PROBE_QUIET_REQUESTS + nextDraw() * PROBE_SPREAD_REQUESTS * this.daemons.ids().size();
		return (long) (requests / perSecond * NANOS_PER_SECOND);
	}

	private double nextDraw() {
		return PermitAllocation.uniformDraw(this.daemons.selfId(), this.instanceId, this.drawCount++);
	}

	/**
	 * Returns when this daemon may start its next attempt there.
	 * @return the monotonic time, past or to come; {@link Long#MIN_VALUE} where the
	 * instance names no limit
	 */
	public long nextStartNanos() {
		if (!isLimited()) {
			return Long.MIN_VALUE;
		}
		final long heardSinceNanos = Math.max(0, this.latest.receivedAtNanos() - this.lastStartNanos);
		return (this.ownRequestsPerSecond > 0) ? this.scheduledStartNanos : this.scheduledStartNanos + heardSinceNanos;
	}

	/**
	 * Returns whether this daemon may start an attempt there.
	 * @param nowNanos the monotonic time
	 * @return whether it may
	 */
	public boolean mayStart(long nowNanos) {
		return !isLimited() || nowNanos - nextStartNanos() >= 0;
	}

	/**
	 * Counts an attempt that starts.
	 * @param nowNanos the monotonic time
	 */
	public void onStart(long nowNanos) {
		if (!isLimited()) {
			return;
		}
		this.lastStartNanos = nowNanos;
		this.scheduledStartNanos = (this.ownRequestsPerSecond > 0)
				? Math.max(nowNanos - MAX_LATENESS_NANOS, this.scheduledStartNanos) + spacingNanos()
				: nowNanos + probeDelayNanos();
		this.recentStartsNanos.addLast(nowNanos);
		evictOldStarts(nowNanos);
	}

	private void evictOldStarts(long nowNanos) {
		while (!this.recentStartsNanos.isEmpty()
				&& nowNanos - this.recentStartsNanos.peekFirst() > REPORT_WINDOW_NANOS) {
			this.recentStartsNanos.removeFirst();
		}
	}

	LimitReport report(long nowNanos) {
		evictOldStarts(nowNanos);
		return new LimitReport(this.instanceId, requestsPerSecond(), this.ownRequestsPerSecond,
				(nowNanos - this.latest.receivedAtNanos()) / NANOS_PER_MILLI, this.recentStartsNanos.size());
	}

}
