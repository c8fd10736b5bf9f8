package org.pistachioline.core.limit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalDouble;

import org.pistachioline.core.cold.ColdPace;
import org.pistachioline.core.cold.ColdRegistry;
import org.pistachioline.core.placement.LiveDaemons;

/**
 * The rate limit of one instance, and the schedule of this daemon's attempts there. While
 * the instance is cold, its {@link ColdPace} limits them as well.
 * <p>
 * A daemon that holds permits starts attempts at its share of the limit, evenly spaced
 * and almost without a burst allowance, since the saved allowances of all daemons could
 * be used at the same moment. A daemon without permits starts a single probe only when
 * nothing has been received from the instance for long. Otherwise a limit that has ended
 * would stay in force if the permit holders have no callers.
 */
public final class InstanceLimit {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private static final double NANOS_PER_SECOND = 1e9;

	private static final long REPORT_WINDOW_NANOS = 4_000_000_000L;

	/** How long the end of a limit is gossiped to other daemons. */
	private static final long END_GOSSIP_NANOS = 30_000_000_000L;

	/**
	 * Error bound of times received from peers; exceeds the delay of a heartbeat between
	 * daemons.
	 */
	private static final long PEER_TIME_ERROR_NANOS = 500_000_000L;

	/**
	 * Lateness of a start that does not delay the next one; compensates for attempts that
	 * start a tick late.
	 */
	private static final long MAX_LATENESS_NANOS = 200_000_000L;

	/**
	 * Time without news before a daemon without permits probes, in requests at the
	 * limit's rate.
	 */
	private static final double PROBE_QUIET_REQUESTS = 5;

	/**
	 * Range of the random extra delay of a probe, in requests at the limit's rate per
	 * daemon. If daemons cannot exchange limits, the probes of all daemons together add
	 * at most an eighth of the limit.
	 */
	private static final double PROBE_SPREAD_REQUESTS = 16;

	/**
	 * Lower bound of the rate from which probe delays are computed, for limits below it.
	 */
	private static final double MIN_PROBES_PER_SECOND = 0.1;

	private final String instanceId;

	private final ColdPace cold;

	private final Deque<Long> recentStartsNanos = new ArrayDeque<>();

	private AdvertisedLimit latest;

	private boolean hasBeenLimited;

	private LiveDaemons daemons;

	private double ownRequestsPerSecond;

	private long scheduledStartNanos;

	private long lastStartNanos;

	private long drawCount;

	/**
	 * Creates the state of an instance that has not advertised a limit.
	 * @param instanceId the instance
	 * @param daemons the live daemons
	 */
	public InstanceLimit(String instanceId, LiveDaemons daemons) {
		this(instanceId, daemons, new ColdRegistry().getOrCreate(instanceId));
	}

	/**
	 * Creates the state of an instance that has not advertised a limit.
	 * @param instanceId the instance
	 * @param daemons the live daemons
	 * @param cold the schedule of attempts while the instance is cold
	 */
	InstanceLimit(String instanceId, LiveDaemons daemons, ColdPace cold) {
		this.instanceId = instanceId;
		this.cold = cold;
		this.daemons = daemons;
		this.latest = new AdvertisedLimit(instanceId, OptionalDouble.empty(), 0);
	}

	AdvertisedLimit latest() {
		return this.latest;
	}

	/**
	 * Returns whether the instance currently advertises a limit or is cold.
	 * @return true if a limit is in force
	 */
	public boolean isLimited() {
		return isAdvertised() || this.cold.isActive();
	}

	boolean isAdvertised() {
		return this.latest.requestsPerSecond().isPresent();
	}

	/**
	 * Returns how long the instance is limited only because it is cold.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the time in nanoseconds; {@link Long#MAX_VALUE} if it advertises a limit
	 */
	public long remainingColdNanos(long nowNanos) {
		return isAdvertised() ? Long.MAX_VALUE : this.cold.untilNanos() - nowNanos;
	}

	/**
	 * Returns whether the latest state is to be gossiped: while a limit is in force, and
	 * for 30 seconds after it ended.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return true if peers should receive it
	 */
	boolean shouldGossip(long nowNanos) {
		return isAdvertised() || (this.hasBeenLimited && nowNanos - this.latest.receivedAtNanos() < END_GOSSIP_NANOS);
	}

	/**
	 * Applies a limit received from a peer if it is clearly newer. Times from peers are
	 * less exact than those of responses, and state that this daemon sent itself returns
	 * looking slightly newer.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @param received what the instance advertised
	 * @return true if the limit changed
	 */
	boolean onPeerLimit(long nowNanos, AdvertisedLimit received) {
		final boolean isNewer = !this.hasBeenLimited
				|| received.receivedAtNanos() - this.latest.receivedAtNanos() > PEER_TIME_ERROR_NANOS;
		final boolean isRelevant = this.hasBeenLimited || received.requestsPerSecond().isPresent();
		return isNewer && isRelevant && update(nowNanos, received);
	}

	/**
	 * Returns the limit for all daemons together.
	 * @return the limit in requests per second; 0 if none is in force
	 */
	public double requestsPerSecond() {
		if (!this.cold.isActive()) {
			return advertisedPerSecond();
		}
		return isAdvertised() ? Math.min(advertisedPerSecond(), this.cold.requestsPerSecond())
				: this.cold.requestsPerSecond();
	}

	private double advertisedPerSecond() {
		return this.latest.requestsPerSecond().orElse(0);
	}

	/**
	 * Returns this daemon's share of the limit.
	 * @return the share in requests per second; 0 if it holds no permit
	 */
	public double ownRequestsPerSecond() {
		if (!this.cold.isActive()) {
			return this.ownRequestsPerSecond;
		}
		return isAdvertised() ? Math.min(this.ownRequestsPerSecond, this.cold.ownRequestsPerSecond())
				: this.cold.ownRequestsPerSecond();
	}

	/**
	 * Replaces the latest advertised limit.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @param received what the instance advertised
	 * @return true if the limit changed
	 */
	boolean update(long nowNanos, AdvertisedLimit received) {
		final OptionalDouble previous = this.latest.requestsPerSecond();
		this.latest = received;
		this.hasBeenLimited |= received.requestsPerSecond().isPresent();
		if (previous.equals(received.requestsPerSecond())) {
			return false;
		}
		if (previous.isEmpty()) {
			this.lastStartNanos = nowNanos;
			this.scheduledStartNanos = nowNanos + probeDelayNanos();
			this.ownRequestsPerSecond = 0;
		}
		updateShare(nowNanos);
		return true;
	}

	/**
	 * Recomputes this daemon's share after a change of the live daemons.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @param liveDaemons the live daemons
	 */
	void onLiveDaemons(long nowNanos, LiveDaemons liveDaemons) {
		this.daemons = liveDaemons;
		updateShare(nowNanos);
	}

	private void updateShare(long nowNanos) {
		if (!isAdvertised()) {
			return;
		}
		final int permits = PermitAllocation.permitCount(advertisedPerSecond());
		final double share = advertisedPerSecond() * PermitAllocation.countHeld(this.daemons, this.instanceId, permits)
				/ permits;
		if (share == this.ownRequestsPerSecond) {
			return;
		}
		final boolean heldPermit = this.ownRequestsPerSecond > 0;
		this.ownRequestsPerSecond = share;
		if (share == 0) {
			this.scheduledStartNanos = this.lastStartNanos + probeDelayNanos();
		}
		else if (heldPermit) {
			this.scheduledStartNanos = this.lastStartNanos + spacingNanos();
		}
		else {
			// The previous holder may have just used the permit.
			this.scheduledStartNanos = nowNanos + (long) ((1 + nextDraw()) / 2 * spacingNanos());
		}
	}

	private long spacingNanos() {
		return (long) (NANOS_PER_SECOND / this.ownRequestsPerSecond);
	}

	private long probeDelayNanos() {
		final double probesPerSecond = Math.max(MIN_PROBES_PER_SECOND, advertisedPerSecond());
		final double requests = PROBE_QUIET_REQUESTS + nextDraw() * PROBE_SPREAD_REQUESTS * this.daemons.ids().size();
		return (long) (requests / probesPerSecond * NANOS_PER_SECOND);
	}

	private double nextDraw() {
		return PermitAllocation.uniformDraw(this.daemons.selfId(), this.instanceId, this.drawCount++);
	}

	/**
	 * Returns the earliest time at which this daemon may start its next attempt on the
	 * instance.
	 * @return the monotonic time in nanoseconds, possibly in the past;
	 * {@link Long#MIN_VALUE} if no limit is in force
	 */
	public long nextStartNanos() {
		if (!isLimited()) {
			return Long.MIN_VALUE;
		}
		if (!isAdvertised()) {
			return this.cold.nextStartNanos();
		}
		final long advertisedNanos = nextAdvertisedStartNanos();
		final boolean coldIsLater = this.cold.isActive() && this.cold.nextStartNanos() - advertisedNanos > 0;
		return coldIsLater ? this.cold.nextStartNanos() : advertisedNanos;
	}

	private long nextAdvertisedStartNanos() {
		// A probe is postponed by any news received since the last start.
		final long postponedNanos = Math.max(0, this.latest.receivedAtNanos() - this.lastStartNanos);
		return (this.ownRequestsPerSecond > 0) ? this.scheduledStartNanos : this.scheduledStartNanos + postponedNanos;
	}

	/**
	 * Returns whether this daemon may start an attempt on the instance now.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return true if the limit allows it
	 */
	public boolean mayStart(long nowNanos) {
		return !isLimited() || nowNanos - nextStartNanos() >= 0;
	}

	/**
	 * Records the start of an attempt and schedules the next one.
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void onStart(long nowNanos) {
		this.cold.onStart(nowNanos);
		if (!isAdvertised()) {
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
		return new LimitReport(this.instanceId, advertisedPerSecond(), this.ownRequestsPerSecond,
				(nowNanos - this.latest.receivedAtNanos()) / NANOS_PER_MILLI, this.recentStartsNanos.size());
	}

}
