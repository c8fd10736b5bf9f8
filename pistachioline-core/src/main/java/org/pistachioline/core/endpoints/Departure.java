package org.pistachioline.core.endpoints;

import java.util.List;

import org.pistachioline.core.peer.PeerStatus;
import org.pistachioline.core.traffic.Drain;
import org.pistachioline.core.traffic.DrainAcceptance;
import org.pistachioline.core.traffic.DrainReport;

/**
 * Decides on which terms a leaving daemon accepts requests, and when it stops doing so.
 * <p>
 * Callers use its address until the endpoint lists that they have cached expire, and for
 * longer if no other daemon serves. It is away for as long whenever it goes. So the first
 * one to leave goes as soon as it refuses most requests, or as all others leave too and
 * wait for it to come back: callers whose connection is refused try another address,
 * while those that are told to retry may come to this one again. The others stay until it
 * is back, if only to tell callers when that will be.
 */
public final class Departure {

	/** Callers cache an endpoint list for up to three times its TTL of one second. */
	private static final long LOOKUP_EXPIRY_MILLIS = 3_000;

	/** Includes the time that a request may be on its way after the expiry. */
	private static final long LINGER_MILLIS = 3_500;

	/**
	 * Estimates are accepted for so long. A stream that outlasts its estimate is cut off,
	 * which callers have to expect only of those that were sent within three seconds of
	 * the signal, and the signal may be noticed late.
	 */
	private static final long ESTIMATES_MILLIS = 2_800;

	/** What the first requests met after the signal says nothing about the others. */
	private static final long MIN_STAY_MILLIS = 500;

	/** The time after which an endpoint list names another daemon. */
	private static final long NEXT_LOOKUP_MILLIS = 100;

	/** A daemon that has ended serves again within a second or two. */
	private static final long RESTART_MILLIS = 1_000;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final long startedAtNanos;

	private final long endsAtNanos;

	private final Successors successors;

	/**
	 * Begins to leave.
	 * @param startedAtNanos when the daemon was told to stop, by the monotonic clock
	 * @param endsAtNanos when its last request must have ended
	 * @param peers the other live daemons at that time
	 */
	public Departure(long startedAtNanos, long endsAtNanos, List<PeerStatus> peers) {
		this.startedAtNanos = startedAtNanos;
		this.endsAtNanos = endsAtNanos;
		this.successors = new Successors(peers);
	}

	/**
	 * Returns the terms on which new requests are accepted.
	 * @param nowNanos the monotonic time
	 * @param peers the other live daemons now
	 * @return the terms
	 */
	public Drain terms(long nowNanos, List<PeerStatus> peers) {
		return drain(peers, acceptance(nowNanos, peers));
	}

	// A caller that still has this daemon's address after the expiry finds another one
	// with its next look-up, so its deadline must fit.
	private DrainAcceptance acceptance(long nowNanos, List<PeerStatus> peers) {
		if (this.successors.serve(peers) && hasPassed(nowNanos, LOOKUP_EXPIRY_MILLIS)) {
			return DrainAcceptance.DEADLINE;
		}
		return hasPassed(nowNanos, ESTIMATES_MILLIS) ? DrainAcceptance.OUTPUT_LIMIT : DrainAcceptance.ESTIMATE;
	}

	/**
	 * Returns the terms after the daemon has stopped accepting requests.
	 * @param peers the other live daemons now
	 * @return the terms
	 */
	public Drain finalTerms(List<PeerStatus> peers) {
		return drain(peers, DrainAcceptance.NOTHING);
	}

	private Drain drain(List<PeerStatus> peers, DrainAcceptance acceptance) {
		return this.successors.serve(peers) ? new Drain(this.endsAtNanos, acceptance, NEXT_LOOKUP_MILLIS, false)
				: new Drain(this.endsAtNanos, acceptance, RESTART_MILLIS, true);
	}

	/**
	 * Returns whether the daemon stops accepting requests.
	 * @param nowNanos the monotonic time
	 * @param peers the other live daemons now
	 * @param report what the daemon does for callers
	 * @return whether it does
	 */
	public boolean isOver(long nowNanos, List<PeerStatus> peers, DrainReport report) {
		if (nowNanos - this.endsAtNanos >= 0) {
			return true;
		}
		if (this.successors.serve(peers)) {
			return hasPassed(nowNanos, LINGER_MILLIS) || this.successors.waitForThisOne(peers);
		}
		return this.successors.isFirst() && hasPassed(nowNanos, MIN_STAY_MILLIS) && report.refusesMost()
				&& holdsOnlyNewRequests(report);
	}

	// While an older request runs, the daemon cannot go, and the short requests that it
	// accepts meanwhile cost nobody anything.
	private static boolean holdsOnlyNewRequests(DrainReport report) {
		return report.oldestActiveNanos() < MIN_STAY_MILLIS * NANOS_PER_MILLI;
	}

	private boolean hasPassed(long nowNanos, long millis) {
		return nowNanos - this.startedAtNanos >= millis * NANOS_PER_MILLI;
	}

}
