package org.pistachioline.core.planner;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.pistachioline.core.state.PlannerEpoch;

/**
 * Decides when this daemon claims the planner role of a fabric domain.
 * <p>
 * The daemons agree on a planner by rendezvous hashing over the live daemons. Their views
 * of the live daemons differ for some time after each restart. If every difference led to
 * a claim at once, two daemons could take the domain from each other in turn, and each
 * change costs a hand-over wait. A live planner is therefore replaced only after another
 * daemon was preferred for some time; a failed one is replaced at once.
 */
public final class PlannerElection {

	/**
	 * Longer than gossip needs to spread a change of the live daemons through a small
	 * fleet.
	 */
	private static final long PREFERENCE_HOLD_NANOS = 15_000_000_000L;

	private final String selfId;

	private final String writer;

	private final Map<String, Long> preferredSinceNanos = new HashMap<>();

	/**
	 * Creates an election.
	 * @param selfId this daemon's id
	 * @param writer this daemon's writer name on the log
	 */
	public PlannerElection(String selfId, String writer) {
		this.selfId = selfId;
		this.writer = writer;
	}

	/**
	 * Returns whether to claim a fabric domain now.
	 * @param domain the fabric domain
	 * @param current its current planner; null if it has none
	 * @param liveDaemons the ids of the live daemons
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
		final String currentId = daemonIdOf(current.writer());
		final boolean failed = currentId.equals(this.selfId) || !liveDaemons.contains(currentId);
		return failed || nowNanos - sinceNanos >= PREFERENCE_HOLD_NANOS;
	}

	/**
	 * Returns the id of the daemon that uses a writer name.
	 * @param writer the writer name on the log
	 * @return the daemon's id
	 */
	public static String daemonIdOf(String writer) {
		final int separator = writer.lastIndexOf('#');
		return (separator < 0) ? writer : writer.substring(0, separator);
	}

}
