package org.pistachioline.core.planner;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.pistachioline.core.state.PlannerEpoch;

/**
 * Decides when this daemon claims a fabric domain.
 * <p>
 * The daemons agree on a planner by rendezvous hashing of those that they think live.
 * Their views differ for a while after each restart; were every difference followed at
 * once, two daemons could take the domain from each other in turn, and each turn costs a
 * hand-over wait. So a live planner is replaced only when another was preferred for some
 * time; one that is gone, at once.
 */
public final class PlannerElection {

	/** Longer than a change of the live daemons takes to go round a small fleet. */
	private static final long PREFERENCE_HOLD_NANOS = 15_000_000_000L;

	private final String selfId;

	private final String writer;

	private final Map<String, Long> preferredSinceNanos = new HashMap<>();

	/**
	 * Creates an election.
	 * @param selfId this daemon's name
	 * @param writer its name as a writer on the log
	 */
	public PlannerElection(String selfId, String writer) {
		this.selfId = selfId;
		this.writer = writer;
	}

	/**
	 * Returns whether to claim a fabric domain now.
	 * @param domain the fabric domain
	 * @param current who plans it; null for nobody
	 * @param liveDaemons the names of the live daemons
	 * @param nowNanos the monotonic time
	 * @return whether to claim it
	 */
	public boolean shouldClaim(String domain, PlannerEpoch current, Set<String> liveDaemons, long nowNanos) {
		final boolean preferred = RendezvousHash.select(domain, liveDaemons).filter(this.selfId::equals).isPresent();
		if (!preferred || (current != null && current.writer().equals(this.writer))) {
			this.preferredSinceNanos.remove(domain);
			return false;
		}
		final long sinceNanos = this.preferredSinceNanos.computeIfAbsent(domain, (key) -> nowNanos);
		if (current == null) {
			return true;
		}
		final String daemon = daemonIdOf(current.writer());
		final boolean gone = daemon.equals(this.selfId) || !liveDaemons.contains(daemon);
		return gone || nowNanos - sinceNanos >= PREFERENCE_HOLD_NANOS;
	}

	/**
	 * Returns the daemon behind a writer.
	 * @param writer the writer's name on the log
	 * @return the daemon's name
	 */
	public static String daemonIdOf(String writer) {
		final int mark = writer.lastIndexOf('#');
		return (mark < 0) ? writer : writer.substring(0, mark);
	}

}
