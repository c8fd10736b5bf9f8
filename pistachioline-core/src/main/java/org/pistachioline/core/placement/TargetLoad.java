package org.pistachioline.core.placement;

import org.pistachioline.core.backoff.BackoffRegistry;
import org.pistachioline.core.backoff.InstanceBackoff;
import org.pistachioline.core.limit.InstanceLimit;
import org.pistachioline.core.traffic.AttemptOutcome;
import org.pistachioline.core.traffic.TargetView;

/**
 * What one daemon has in flight at a target and how fast it found the target to be,
 * beside the target's last view.
 * <p>
 * Made for several daemons before one target, each with a report that is a second old. A
 * daemon that trusted the report alone would send all its work where the report says
 * "idle", together with all others, and the work would wait in the engine, where no
 * fairness holds. So a daemon may always use an equal part of the slots, and more as far
 * as the report, without its own work at that time, leaves them free; the older the
 * report, the less counts what it leaves free.
 */
public final class TargetLoad {

	private static final long REPORT_VALIDITY_NANOS = 3_000_000_000L;

	/** By then the list shows a group that was closed, and a failure says little. */
	private static final long FAILURE_VALIDITY_NANOS = 1_500_000_000L;

	/** A target that just came takes its full share of work only after this time. */
	private static final long SLOW_START_NANOS = 4_000_000_000L;

	private final InstanceLimit limit;

	private final InstanceBackoff backoff;

	private final PeerInFlightEstimate peerInFlight;

	private final TargetSetEntry setEntry = new TargetSetEntry();

	private final InterTokenLatency interTokenLatency = new InterTokenLatency();

	private TargetView view;

	private long servingSinceNanos;

	private int inFlight;

	private long inFlightTokens;

	private int consecutiveFailures;

	private long lastFailureNanos;

	private long progressAtNanos;

	private long ejectedUntilNanos;

	private int ejections;

	private boolean onProbation;

	/**
	 * Creates the load of a target that was just learnt of and asks for nothing.
	 * @param view the target's view
	 * @param nowNanos the monotonic time
	 */
	public TargetLoad(TargetView view, long nowNanos) {
		this(view, nowNanos, new InstanceLimit(view.instanceId(), LiveDaemons.ALONE),
				new BackoffRegistry().getOrCreate(view.instanceId()));
	}

	/**
	 * Creates the load of a target that was just learnt of.
	 * @param view the target's view
	 * @param nowNanos the monotonic time
	 * @param limit the limit of its instance
	 * @param backoff the backoff that its instance asks for
	 */
	public TargetLoad(TargetView view, long nowNanos, InstanceLimit limit, InstanceBackoff backoff) {
		this.limit = limit;
		this.backoff = backoff;
		this.view = view;
		this.servingSinceNanos = nowNanos;
		this.progressAtNanos = nowNanos;
		this.peerInFlight = new PeerInFlightEstimate(view, nowNanos);
	}

	/**
	 * Takes over a newer view.
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
	 * Skips the slow start, for a target that is at its full speed already.
	 */
	public void skipSlowStart() {
		this.servingSinceNanos -= SLOW_START_NANOS;
	}

	/**
	 * Counts an attempt that starts.
	 * @param nowNanos the monotonic time
	 * @param costTokens the request's cost
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
	 * Notes tokens that an attempt delivered after its first.
	 * @param nowNanos the monotonic time
	 * @param sinceNanos when the attempt's last tokens were noted
	 * @param tokens how many tokens came since
	 * @param first whether the attempt's first token is among them
	 */
	public void onTokens(long nowNanos, long sinceNanos, int tokens, boolean first) {
		this.consecutiveFailures = 0;
		this.progressAtNanos = nowNanos;
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
	 * Counts an attempt that ends.
	 * @param nowNanos the monotonic time
	 * @param costTokens the request's cost
	 * @param how how it ended
	 */
	public void onEnd(long nowNanos, long costTokens, AttemptOutcome how) {
		this.inFlight--;
		this.inFlightTokens -= costTokens;
		if (how == AttemptOutcome.COMPLETE) {
			this.consecutiveFailures = 0;
			this.progressAtNanos = nowNanos;
		}
		else if (how == AttemptOutcome.FAILURE_ANSWERED) {
			this.progressAtNanos = nowNanos;
		}
		else if (how != AttemptOutcome.CANCELLED && how != AttemptOutcome.WITHHELD) {
			this.consecutiveFailures++;
			this.lastFailureNanos = nowNanos;
		}
	}

	/**
	 * Returns how many attempts this daemon may have there.
	 * @param nowNanos the monotonic time
	 * @param daemons the daemons that share the target
	 * @return the number of attempts
	 */
	int limit(long nowNanos, DaemonRank daemons) {
		final int slots = this.view.slots();
		final int equal = daemons.equalShare(slots, this.view.targetId());
		final double unused = slots - this.peerInFlight.attempts() - ((this.peerInFlight.attempts() > 0) ? 1 : 0);
		// An engine that queues has more than its slots already, whatever the figures
		// say.
		final double left = (this.view.reportedWaiting() > 0) ? equal : Math.max(equal, unused);
		final double trustRatio = Math.max(0,
				1 - (double) (nowNanos - this.view.reportedAtNanos()) / REPORT_VALIDITY_NANOS);
		final double limit = equal + trustRatio * (left - equal);
		if (this.onProbation) {
			return 1;
		}
		final double warmRatio = Math.min(1, (double) (nowNanos - this.servingSinceNanos) / SLOW_START_NANOS);
		return (int) Math.round((limit < 1) ? limit : Math.max(1, limit * warmRatio));
	}

	/**
	 * Returns how many attempts this daemon may start there now.
	 * @param nowNanos the monotonic time
	 * @param daemons the daemons that share the target
	 * @return the free slots
	 */
	int freeSlots(long nowNanos, DaemonRank daemons) {
		if (!this.view.serving() || isEjected(nowNanos)) {
			return 0;
		}
		// Whoever may start one where a limit holds may have no part of the slots.
		final int most = this.limit.isLimited() ? maxAttemptsUnderLimit() : limit(nowNanos, daemons);
		return clampToLimit(nowNanos, most - this.inFlight);
	}

	private int maxAttemptsUnderLimit() {
		return this.onProbation ? 1 : this.view.slots();
	}

	private int clampToLimit(long nowNanos, int free) {
		final int most = this.limit.isLimited() ? 1 : Integer.MAX_VALUE;
		return mayStart(nowNanos) ? Math.max(0, Math.min(most, free)) : 0;
	}

	/**
	 * Returns whether the target's instance lets this daemon start an attempt there, with
	 * room or without.
	 * @param atNanos the moment, by the monotonic clock
	 * @return whether it may be started then, as far as is known
	 */
	public boolean mayStart(long atNanos) {
		return this.limit.mayStart(atNanos) && !this.backoff.isActive(atNanos);
	}

	/**
	 * Returns whether the target's instance takes less than it has room for.
	 * @param nowNanos the monotonic time
	 * @return whether it names a limit or wants nothing for a while, or any more
	 */
	boolean isThrottled(long nowNanos) {
		return this.limit.isLimited() || this.backoff.isActive(nowNanos);
	}

	/**
	 * Returns whether one attempt may go there though this daemon has no part of the
	 * slots: it has none there yet, and nothing that it heard lately speaks against it.
	 * @param nowNanos the monotonic time
	 * @return whether one may
	 */
	boolean acceptsExcessAttempt(long nowNanos) {
		final boolean usable = this.view.serving() && !isEjected(nowNanos) && !this.onProbation
				&& !isThrottled(nowNanos);
		final boolean heardFull = nowNanos - this.view.reportedAtNanos() < REPORT_VALIDITY_NANOS
				&& this.view.reportedRunning() + this.view.reportedWaiting() >= this.view.slots();
		return usable && this.inFlight == 0 && !heardFull && !failedRecently(nowNanos);
	}

	/**
	 * Returns whether the last attempts there failed, and so lately that the list may not
	 * show yet why.
	 * @param nowNanos the monotonic time
	 * @return whether they did
	 */
	boolean failedRecently(long nowNanos) {
		return this.consecutiveFailures > 0 && nowNanos - this.lastFailureNanos < FAILURE_VALIDITY_NANOS;
	}

	/**
	 * Returns how many attempts this daemon has there beyond its part.
	 * @param nowNanos the monotonic time
	 * @param daemons the daemons that share the target
	 * @return the number of attempts
	 */
	int excessAttempts(long nowNanos, DaemonRank daemons) {
		return this.limit.isLimited() ? 0 : Math.max(0, this.inFlight - limit(nowNanos, daemons));
	}

	/**
	 * Returns how many slots this daemon has not filled, as though it were alone.
	 * @param nowNanos the monotonic time
	 * @return the free slots
	 */
	int freeSlots(long nowNanos) {
		return this.view.serving() ? clampToLimit(nowNanos, this.view.slots() - this.inFlight) : 0;
	}

	/**
	 * Returns the limit that the target's instance names, if it does.
	 * @return the limit
	 */
	public InstanceLimit limit() {
		return this.limit;
	}

	/**
	 * Returns the backoff that the target's instance asks for, if it does.
	 * @return the backoff
	 */
	public InstanceBackoff backoff() {
		return this.backoff;
	}

	/**
	 * Takes the target out of use for a while; longer each time.
	 * @param nowNanos the monotonic time
	 * @param baseNanos how long the first time
	 * @param mostDoublings how often the time doubles at most
	 */
	void eject(long nowNanos, long baseNanos, int mostDoublings) {
		this.ejectedUntilNanos = nowNanos + (baseNanos << Math.min(mostDoublings, this.ejections));
		this.ejections++;
		this.interTokenLatency.reset();
		this.consecutiveFailures = 0;
		// The way back begins with one attempt at a time: while it is not known whether
		// the target is well again, each further one would be another caller who waits.
		this.onProbation = true;
		this.progressAtNanos = this.ejectedUntilNanos;
	}

	/**
	 * Forgives one ejection, for a target that has behaved since.
	 */
	void decayEjections() {
		this.ejections = Math.max(0, this.ejections - 1);
	}

	/**
	 * Returns whether the target is out of use.
	 * @param nowNanos the monotonic time
	 * @return whether it is ejected
	 */
	public boolean isEjected(long nowNanos) {
		return this.ejectedUntilNanos != 0 && nowNanos < this.ejectedUntilNanos;
	}

	/**
	 * Returns how often the target was ejected without being forgiven.
	 * @return the number of ejections
	 */
	public int ejections() {
		return this.ejections;
	}

	/**
	 * Returns when the target last delivered anything to this daemon.
	 * @return the monotonic time, in nanoseconds
	 */
	public long progressAtNanos() {
		return this.progressAtNanos;
	}

	/**
	 * Returns the time between two tokens, as this daemon saw it.
	 * @return the pace since the target was last taken out of use
	 */
	InterTokenLatency interTokenLatency() {
		return this.interTokenLatency;
	}

	/**
	 * Returns how full the target is, as far as this daemon can know.
	 * @param daemonCount how many daemons share the target
	 * @return its own and the others' attempts for each slot
	 */
	double utilizationRatio(int daemonCount) {
		// What others have is known late; that they do as this daemon does is a guess
		// without noise. Half of each keeps the small differences exact.
		final double byReport = this.inFlight + this.peerInFlight.attempts();
		final double byOwn = (double) this.inFlight * daemonCount;
		return (byReport + byOwn) / 2 / this.view.slots();
	}

	/**
	 * Returns where the target stands in its set; the set keeps it.
	 * @return the place
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
	 * Returns how many attempts of this daemon are in flight there.
	 * @return the number of attempts
	 */
	public int inFlight() {
		return this.inFlight;
	}

	/**
	 * Returns the cost of this daemon's attempts there.
	 * @return the cost in tokens
	 */
	public long inFlightTokens() {
		return this.inFlightTokens;
	}

	/**
	 * Returns how many attempts failed there in a row.
	 * @return the number of failures
	 */
	public int consecutiveFailures() {
		return this.consecutiveFailures;
	}

}
