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

	private static final long RECENT_NANOS = 4_000_000_000L;

	/** How long the end of a limit is told to other daemons. */
	private static final long TOLD_NANOS = 30_000_000_000L;

	/** More than a heartbeat takes from daemon to daemon. */
	private static final long PEERS_INEXACT_NANOS = 500_000_000L;

	/** Makes up for attempts that start a tick late. */
	private static final long SAVED_NANOS = 200_000_000L;

	/** For how many requests' time nothing is heard before one without permits asks. */
	private static final double SILENT_REQUESTS = 5;

	/**
	 * Where daemons tell each other nothing, those without permits add an eighth at most.
	 */
	private static final double ASKING_SPREAD = 16;

	/** The rate at which an instance is asked that takes less, or nothing. */
	private static final double LEAST_ASKED_PER_SECOND = 0.1;

	private final String instanceId;

	private final Deque<Long> startsNanos = new ArrayDeque<>();

	private StatedLimit stated;

	private boolean everLimited;

	private LiveDaemons daemons;

	private double ownPerSecond;

	private long nextAtNanos;

	private long startedAtNanos;

	private long draws;

	/**
	 * Creates the limit of an instance that has named none.
	 * @param instanceId the instance
	 * @param daemons the live daemons
	 */
	public InstanceLimit(String instanceId, LiveDaemons daemons) {
		this.instanceId = instanceId;
		this.daemons = daemons;
		this.stated = new StatedLimit(instanceId, OptionalDouble.empty(), 0);
	}

	StatedLimit stated() {
		return this.stated;
	}

	/**
	 * Returns whether the instance names a limit.
	 * @return whether it does
	 */
	public boolean isLimited() {
		return this.stated.requestsPerSecond().isPresent();
	}

	/**
	 * Returns whether other daemons are to be told: of a limit that holds, and of one
	 * that ended lately.
	 * @param nowNanos the monotonic time
	 * @return whether they are
	 */
	boolean isTold(long nowNanos) {
		return isLimited() || (this.everLimited && nowNanos - this.stated.heardAtNanos() < TOLD_NANOS);
	}

	/**
	 * Takes what another daemon told. Its time is known less exactly than that of an
	 * answer, and what this daemon told itself comes back a little newer than it was.
	 * @param nowNanos the monotonic time
	 * @param heard what the instance said
	 * @return whether it says something else than the last
	 */
	boolean hearFromPeer(long nowNanos, StatedLimit heard) {
		final boolean newer = !this.everLimited
				|| heard.heardAtNanos() - this.stated.heardAtNanos() > PEERS_INEXACT_NANOS;
		final boolean meant = this.everLimited || heard.requestsPerSecond().isPresent();
		return newer && meant && hear(nowNanos, heard);
	}

	/**
	 * Returns how many requests the instance takes from all daemons together.
	 * @return the requests a second; 0 where it names no limit
	 */
	public double perSecond() {
		return this.stated.requestsPerSecond().orElse(0);
	}

	/**
	 * Returns this daemon's part of the limit.
	 * @return the requests a second
	 */
	public double ownPerSecond() {
		return this.ownPerSecond;
	}

	/**
	 * Takes what the instance said last.
	 * @param nowNanos the monotonic time
	 * @param heard what the instance said
	 * @return whether it says something else than the last
	 */
	boolean hear(long nowNanos, StatedLimit heard) {
		final OptionalDouble before = this.stated.requestsPerSecond();
		this.stated = heard;
		this.everLimited |= heard.requestsPerSecond().isPresent();
		if (before.equals(heard.requestsPerSecond())) {
			return false;
		}
		if (before.isEmpty()) {
			this.startedAtNanos = nowNanos;
			this.nextAtNanos = nowNanos + askingNanos();
			this.ownPerSecond = 0;
		}
		divide(nowNanos);
		return true;
	}

	/**
	 * Takes over which daemons share the limit.
	 * @param nowNanos the monotonic time
	 * @param live the live daemons
	 */
	void share(long nowNanos, LiveDaemons live) {
		this.daemons = live;
		divide(nowNanos);
	}

	private void divide(long nowNanos) {
		if (!isLimited()) {
			return;
		}
		final int permits = PermitDraw.permits(perSecond());
		final double part = perSecond() * PermitDraw.held(this.daemons, this.instanceId, permits) / permits;
		if (part == this.ownPerSecond) {
			return;
		}
		final boolean heldBefore = this.ownPerSecond > 0;
		this.ownPerSecond = part;
		if (part == 0) {
			this.nextAtNanos = this.startedAtNanos + askingNanos();
		}
		else if (heldBefore) {
			this.nextAtNanos = this.startedAtNanos + spacingNanos();
		}
		else {
			// The former holder may have used the permit just now.
			this.nextAtNanos = nowNanos + (long) ((1 + draw()) / 2 * spacingNanos());
		}
	}

	private long spacingNanos() {
		return (long) (NANOS_PER_SECOND / this.ownPerSecond);
	}

	private long askingNanos() {
		final double perSecond = Math.max(LEAST_ASKED_PER_SECOND, perSecond());
		final double requests = SILENT_REQUESTS + draw() * ASKING_SPREAD * this.daemons.ids().size();
		return (long) (requests / perSecond * NANOS_PER_SECOND);
	}

	private double draw() {
		return PermitDraw.unit(this.daemons.selfId(), this.instanceId, this.draws++);
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
		final long heardSinceNanos = Math.max(0, this.stated.heardAtNanos() - this.startedAtNanos);
		return (this.ownPerSecond > 0) ? this.nextAtNanos : this.nextAtNanos + heardSinceNanos;
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
		this.startedAtNanos = nowNanos;
		this.nextAtNanos = (this.ownPerSecond > 0) ? Math.max(nowNanos - SAVED_NANOS, this.nextAtNanos) + spacingNanos()
				: nowNanos + askingNanos();
		this.startsNanos.addLast(nowNanos);
		forgetOld(nowNanos);
	}

	private void forgetOld(long nowNanos) {
		while (!this.startsNanos.isEmpty() && nowNanos - this.startsNanos.peekFirst() > RECENT_NANOS) {
			this.startsNanos.removeFirst();
		}
	}

	LimitReport report(long nowNanos) {
		forgetOld(nowNanos);
		return new LimitReport(this.instanceId, perSecond(), this.ownPerSecond,
				(nowNanos - this.stated.heardAtNanos()) / NANOS_PER_MILLI, this.startsNanos.size());
	}

}
