package org.pistachioline.core.placement;

import org.pistachioline.core.backoff.BackoffRegistry;
import org.pistachioline.core.backoff.InstanceBackoff;
import org.pistachioline.core.limit.InstanceLimit;
import org.pistachioline.core.traffic.AttemptOutcome;
import org.pistachioline.core.traffic.TargetView;

/**
 * The attempts that this daemon has in flight at a target, and the health of the target
 * as this daemon observed it, beside the target's last view.
 * <p>
 * Several daemons send requests to one target, each with a load report that is about a
 * second old. If daemons relied on the report alone, all of them would send their
 * requests to the targets reported idle, and the requests would wait inside the engines,
 * where fair queueing does not apply. Each daemon may therefore always use an equal share
 * of the slots, and more as far as the report, less this daemon's own attempts at that
 * time, shows them unused. The older the report, the less its unused slots count.
 */
public final class TargetLoad {

	private static final long REPORT_VALIDITY_NANOS = 3_000_000_000L;

	/** The time over which the share of a new target rises to its full value. */
	private static final long SLOW_START_NANOS = 4_000_000_000L;

	private final InstanceLimit limit;

	private final InstanceBackoff backoff;

	private final PeerInFlightEstimate peerInFlight;

	private final TargetSetEntry setEntry = new TargetSetEntry();

	private final InterTokenLatency interTokenLatency = new InterTokenLatency();

	private final Ejection ejection = new Ejection();

	private final FailureHistory failures = new FailureHistory();

	private final WarmConnections warmConnections = new WarmConnections();

	private TargetView view;

	private long servingSinceNanos;

	private int inFlight;

	private long inFlightTokens;

	private long progressAtNanos;

	private long outputAtNanos;

	private boolean onProbation;

	/**
	 * Creates the load of a new target without a limit or backoff.
	 * @param view the target's view
	 * @param nowNanos the monotonic time
	 */
	public TargetLoad(TargetView view, long nowNanos) {
		this(view, nowNanos, new InstanceLimit(view.instanceId(), LiveDaemons.ALONE),
				new BackoffRegistry().getOrCreate(view.instanceId()));
	}

	/**
	 * Creates the load of a new target.
	 * @param view the target's view
	 * @param nowNanos the monotonic time
	 * @param limit the limit of its instance
	 * @param backoff the backoff of its instance
	 */
	public TargetLoad(TargetView view, long nowNanos, InstanceLimit limit, InstanceBackoff backoff) {
		this.limit = limit;
		this.backoff = backoff;
		this.view = view;
		this.servingSinceNanos = nowNanos;
		this.progressAtNanos = nowNanos;
		this.outputAtNanos = nowNanos;
		this.peerInFlight = new PeerInFlightEstimate(view, nowNanos);
	}

	/**
	 * Replaces the target's view by a newer one.
	 * @param newView the view
	 * @param nowNanos the monotonic time
	 */
	public void update(TargetView newView, long nowNanos) {
		if (newView.serving() && !this.view.serving()) {
			this.servingSinceNanos = nowNanos;
		}
		this.peerInFlight.update(newView, nowNanos, this.inFlight);
		this.view = newView;
	}

	/**
	 * Skips the slow start, for a target that is warm already.
	 */
	public void skipSlowStart() {
		this.servingSinceNanos -= SLOW_START_NANOS;
	}

	/**
	 * Counts an attempt that starts.
	 * @param nowNanos the monotonic time
	 * @param costTokens the cost of the request, in tokens
	 */
	public void onStart(long nowNanos, long costTokens) {
		if (this.inFlight == 0) {
			this.progressAtNanos = nowNanos;
		}
		this.inFlight++;
		this.inFlightTokens += costTokens;
		this.limit.onStart(nowNanos);
		this.backoff.onStart(nowNanos);
	}

	/**
	 * Records progress of an attempt, and the time between its tokens after the first.
	 * @param nowNanos the monotonic time
	 * @param sinceNanos when the attempt's previous tokens were recorded
	 * @param tokens the number of tokens received since then
	 * @param first whether the attempt's first token is among them
	 */
	public void onTokens(long nowNanos, long sinceNanos, int tokens, boolean first) {
		this.failures.endRun();
		this.progressAtNanos = nowNanos;
		if (first || tokens > 0) {
			this.outputAtNanos = nowNanos;
		}
		if (first || tokens <= 0) {
			return;
		}
		this.interTokenLatency.add((double) (nowNanos - sinceNanos) / tokens);
		if (this.interTokenLatency.samples() >= StragglerEjector.MIN_SAMPLES && this.onProbation) {
			this.onProbation = false;
			this.servingSinceNanos = nowNanos;
		}
	}

	/**
	 * Records that a stream was taken off the target because it was silent. Fewer
	 * requests are sent there for a while, but the target is not ejected, as a sound one
	 * may go on a moment later.
	 * @param nowNanos the monotonic time
	 */
	public void onStall(long nowNanos) {
		this.failures.addStall(nowNanos);
	}

	/**
	 * Leaves a pause of this daemon out of the time without progress.
	 * @param nowNanos the monotonic time at its end
	 * @param pauseNanos its length
	 */
	public void skipPause(long nowNanos, long pauseNanos) {
		if (this.progressAtNanos < nowNanos) {
			this.progressAtNanos = Math.min(nowNanos, this.progressAtNanos + pauseNanos);
		}
	}

	/**
	 * Counts an attempt that ends.
	 * @param nowNanos the monotonic time
	 * @param costTokens the cost of the request, in tokens
	 * @param how how the attempt ended
	 */
	public void onEnd(long nowNanos, long costTokens, AttemptOutcome how) {
		this.inFlight--;
		this.inFlightTokens -= costTokens;
		if (how == AttemptOutcome.COMPLETE) {
			this.failures.endRun();
			this.outputAtNanos = nowNanos;
		}
		if (how == AttemptOutcome.COMPLETE || how == AttemptOutcome.FAILURE_ANSWERED) {
			this.progressAtNanos = nowNanos;
			this.warmConnections.add(nowNanos);
		}
		else if (how != AttemptOutcome.CANCELLED && how != AttemptOutcome.WITHHELD) {
			this.failures.add(nowNanos);
		}
	}

	/**
	 * Returns how many attempts this daemon may have in flight at the target.
	 * @param nowNanos the monotonic time
	 * @param share this daemon's share of the target's slots
	 * @return the number of attempts
	 */
	int attemptLimit(long nowNanos, int share) {
		final int slots = this.view.slots();
		final double unused = slots - this.peerInFlight.attempts() - ((this.peerInFlight.attempts() > 0) ? 1 : 0);
		// An engine with queued requests has no free slot, whatever its figures say.
		final double available = (this.view.reportedWaiting() > 0) ? share : Math.max(share, unused);
		final double trustedLimit = share + trustRatio(nowNanos) * (available - share);
		if (this.onProbation) {
			return 1;
		}
		final double warmRatio = Math.min(1, (double) (nowNanos - this.servingSinceNanos) / SLOW_START_NANOS);
		return (int) Math.round((trustedLimit < 1) ? trustedLimit : Math.max(1, trustedLimit * warmRatio));
	}

	/**
	 * Returns how many attempts this daemon may start at the target now.
	 * @param nowNanos the monotonic time
	 * @param share this daemon's share of the target's slots
	 * @return the number of attempts
	 */
	int freeSlots(long nowNanos, int share) {
		if (!this.view.serving() || this.ejection.isActive(nowNanos)) {
			return 0;
		}
		// Where a limit applies, a daemon with a permit may have no share of the slots.
		final int maxAttempts = this.limit.isLimited() ? maxAttemptsUnderLimit() : attemptLimit(nowNanos, share);
		return clampToLimit(nowNanos, maxAttempts - this.inFlight);
	}

	private int maxAttemptsUnderLimit() {
		return this.onProbation ? 1 : this.view.slots();
	}

	private int clampToLimit(long nowNanos, int free) {
		final int maxAttempts = this.limit.isLimited() ? 1 : Integer.MAX_VALUE;
		return mayStart(nowNanos) ? Math.max(0, Math.min(maxAttempts, free)) : 0;
	}

	/**
	 * Returns whether the limit and the backoff of the target's instance allow an
	 * attempt, regardless of free slots.
	 * @param atNanos the monotonic time of the attempt
	 * @return whether they do, as far as is known now
	 */
	public boolean mayStart(long atNanos) {
		return this.limit.mayStart(atNanos) && !this.backoff.isActive(atNanos);
	}

	/**
	 * Returns whether the target's instance has a limit or is in backoff, so that it
	 * accepts less than its slots allow.
	 * @param nowNanos the monotonic time
	 * @return whether it is throttled; also true for an instance that is leaving
	 */
	boolean isThrottled(long nowNanos) {
		return this.limit.isLimited() || this.backoff.isActive(nowNanos);
	}

	/**
	 * Returns whether one attempt may be sent to the target although this daemon has no
	 * share of its slots. This requires that it has none in flight there and that no
	 * recent report or failure speaks against it.
	 * @param nowNanos the monotonic time
	 * @return whether one may
	 */
	boolean acceptsExcessAttempt(long nowNanos) {
		final boolean usable = this.view.serving() && !this.ejection.isActive(nowNanos) && !this.onProbation
				&& !isThrottled(nowNanos);
		final boolean reportedFull = trustRatio(nowNanos) > 0 && !hasReportedRoom(nowNanos);
		return usable && this.inFlight == 0 && !reportedFull && !this.failures.isRecent(nowNanos);
	}

	/**
	 * Returns how many attempts this daemon has in flight at the target beyond its share.
	 * @param nowNanos the monotonic time
	 * @param share this daemon's share of the target's slots
	 * @return the number of attempts
	 */
	int excessAttempts(long nowNanos, int share) {
		return this.limit.isLimited() ? 0 : Math.max(0, this.inFlight - attemptLimit(nowNanos, share));
	}

	/**
	 * Returns whether the target has recently reported free slots.
	 * @param nowNanos the monotonic time
	 * @return whether its last report still counts and shows some
	 */
	boolean hasReportedRoom(long nowNanos) {
		return trustRatio(nowNanos) > 0
				&& this.view.reportedRunning() + this.view.reportedWaiting() < this.view.slots();
	}

	/**
	 * Returns how many attempts this daemon may start at the target now if no other
	 * daemon uses it.
	 * @param nowNanos the monotonic time
	 * @return the number of attempts
	 */
	int unsharedFreeSlots(long nowNanos) {
		return this.view.serving() ? clampToLimit(nowNanos, this.view.slots() - this.inFlight) : 0;
	}

	int reportedUnusedSlots(long nowNanos) {
		final boolean recent = nowNanos - this.view.reportedAtNanos() < REPORT_VALIDITY_NANOS;
		return (this.view.serving() && recent)
				? Math.max(0, this.view.slots() - this.view.reportedRunning() - this.view.reportedWaiting()) : 0;
	}

	/**
	 * Returns the limit of the target's instance.
	 * @return the limit, which is unlimited until the instance states one
	 */
	public InstanceLimit limit() {
		return this.limit;
	}

	/**
	 * Returns the backoff of the target's instance.
	 * @return the backoff, which is inactive unless the instance asks for one
	 */
	public InstanceBackoff backoff() {
		return this.backoff;
	}

	/**
	 * Ejects the target for a time that doubles with each ejection.
	 * @param nowNanos the monotonic time
	 * @param baseNanos the time of the first ejection, in nanoseconds
	 * @param maxDoublings the bound on doublings
	 */
	void eject(long nowNanos, long baseNanos, int maxDoublings) {
		this.interTokenLatency.reset();
		this.failures.endRun();
		// After the ejection, one attempt at a time is allowed until the target has
		// proved healthy: each further one would be another caller who waits.
		this.onProbation = true;
		this.progressAtNanos = this.ejection.start(nowNanos, baseNanos, maxDoublings);
	}

	/**
	 * Returns the target's ejection.
	 * @return the ejection, active or not
	 */
	Ejection ejection() {
		return this.ejection;
	}

	/**
	 * Returns when the target last made progress on an attempt of this daemon.
	 * @return the monotonic time, in nanoseconds; the end of the ejection where the
	 * target was ejected since
	 */
	public long progressAtNanos() {
		return this.progressAtNanos;
	}

	/**
	 * Returns when the target last delivered output to an attempt of this daemon. Unlike
	 * {@link #progressAtNanos()} it does not depend on when attempts start.
	 * @return the monotonic time; that of the target's discovery if there was no output
	 */
	public long outputAtNanos() {
		return this.outputAtNanos;
	}

	/**
	 * Returns the time between two tokens, as observed by this daemon.
	 * @return the latency since the last ejection
	 */
	InterTokenLatency interTokenLatency() {
		return this.interTokenLatency;
	}

	/**
	 * Returns the estimated utilization of the target's slots.
	 * @param daemonCount the number of daemons that share the target
	 * @return the attempts of all daemons, divided by the slots
	 */
	double utilizationRatio(int daemonCount) {
		// The reported attempts of other daemons are late. The assumption that others
		// have as many as this daemon is inexact but free of noise. The mean of both
		// keeps small differences visible.
		final double byReport = this.inFlight + this.peerInFlight.attempts();
		final double byOwn = (double) this.inFlight * daemonCount;
		return (byReport + byOwn) / 2 / this.view.slots();
	}

	/**
	 * Returns the utilization of the target's slots by its reports, which are late.
	 * @return the attempts of this and of other daemons, divided by the slots
	 */
	double reportedUtilizationRatio() {
		return (this.inFlight + this.peerInFlight.attempts()) / this.view.slots();
	}

	/**
	 * Returns how far the target's last report is trusted.
	 * @param nowNanos the monotonic time
	 * @return 1 for a new report, 0 for one that is too old to count
	 */
	double trustRatio(long nowNanos) {
		return Math.max(0, 1 - (double) (nowNanos - this.view.reportedAtNanos()) / REPORT_VALIDITY_NANOS);
	}

	/**
	 * Returns the target's bookkeeping in its set, which the set maintains.
	 * @return the entry
	 */
	TargetSetEntry setEntry() {
		return this.setEntry;
	}

	/**
	 * Returns the target's last view.
	 * @return the view
	 */
	public TargetView view() {
		return this.view;
	}

	/**
	 * Returns this daemon's attempts in flight at the target.
	 * @return the number of attempts
	 */
	public int inFlight() {
		return this.inFlight;
	}

	/**
	 * Returns the cost of this daemon's attempts in flight at the target.
	 * @return the cost, in tokens
	 */
	public long inFlightTokens() {
		return this.inFlightTokens;
	}

	/**
	 * Returns the history of this daemon's failed attempts.
	 * @return the history
	 */
	FailureHistory failures() {
		return this.failures;
	}

	/**
	 * Returns the idle connections that this daemon presumably has to the target.
	 * @return the connections
	 */
	WarmConnections warmConnections() {
		return this.warmConnections;
	}

}
